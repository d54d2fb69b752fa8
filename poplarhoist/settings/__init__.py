"""Settings of a site: attrs models, TOML loader and checks."""
