"""Adapter to the users' platform: settings, entries, store calls, words; no decisions."""
