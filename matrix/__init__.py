"""The fault matrix: every fault at every step of each flow, judged by independent records."""
