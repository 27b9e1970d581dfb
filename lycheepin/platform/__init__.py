"""Adapter to the users' platform: its settings, store entries, store API and header names.

It translates and makes no routing decisions.
"""
