"""Entry point of a gateway on the users' platform."""

import sys

from lycheepin.platform.gateway import main

__all__ = ["main"]

if __name__ == "__main__":
    sys.exit(main())
