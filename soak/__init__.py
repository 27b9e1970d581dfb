"""Soak test of the gateway: injects random faults by seed and checks its guarantees throughout."""
