"""Adapters to the key-value store and the list of VMs, over lycheepin's own HTTP interface."""
