"""Models of the coordination protocols, checked exhaustively within stated bounds.

Their transitions call the decision functions of the package itself, not copies of their rules.
"""
