"""Requests under which endpoints crash: how a daemon knows them, and tells the others."""
