"""Adapters to the store and VM list of lycheepin's own interface."""
