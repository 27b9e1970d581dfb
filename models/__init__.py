"""Specifications of the core protocol, checked exhaustively within stated bounds.

The transitions call the product's own decision functions, so what is checked is what runs.
"""
