"""Stand-ins for the platform, endpoints and callers; never imported by the product."""
