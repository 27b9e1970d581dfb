"""The fault matrix: every fault at every step of each flow, checked by independent records."""
