"""lycheepin: global traffic steering across merged fleets."""

__all__ = ["__version__"]

__version__ = "0.1.0"
