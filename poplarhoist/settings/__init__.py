"""Settings of a site: attrs classes, TOML loader and validation."""
