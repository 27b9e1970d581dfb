"""Experiments with the steering core in virtual time: a model of a deployment and its load."""
