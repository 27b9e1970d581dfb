"""Steering decisions: plain synchronous code without sockets, clocks or randomness."""
