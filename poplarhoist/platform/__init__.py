"""Translation between the product and the users' platform; no decisions and no state."""
