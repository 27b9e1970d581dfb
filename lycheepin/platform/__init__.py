"""Adapters to the platform: store and VM list."""
