"""Measurements of speed, scaling and steering policy, written to build/measure/."""
