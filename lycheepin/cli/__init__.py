"""Command line of lycheepin."""
