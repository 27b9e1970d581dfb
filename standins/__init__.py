"""Stand-ins for the platform, endpoints and callers in tests; `lycheepin` does not import them."""
