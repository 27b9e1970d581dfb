"""Cluster of daemons: membership, replicated documents and the datagram format."""
