"""Entry point of the program."""

import sys

from lycheepin.cli.commands import main

__all__ = ["main"]

if __name__ == "__main__":
    sys.exit(main())
