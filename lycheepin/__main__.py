"""Runs the command line; the entry point of `python -m lycheepin`."""

import sys

from lycheepin.cli.commands import main

__all__ = ["main"]

if __name__ == "__main__":
    sys.exit(main())
