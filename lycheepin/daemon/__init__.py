"""The daemon process: network input and output around the decision code."""
