"""Starts a gateway on the users' platform."""

import os
import signal
from typing import Any

__all__ = ["main"]


def _exit_immediately(signum: int, frame: Any) -> None:
    """Exits without cleanup; used before the gateway starts to serve."""
    os._exit(0)


# Signals may arrive while the modules below are imported, which takes most of the startup time.
# SIGHUP can be ignored because the settings are read only after the imports, and SIGTERM can exit
# because there are no requests to drain yet. The gateway later installs its own handlers.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, _exit_immediately)

from lycheepin.platform.gateway import main  # noqa: E402

if __name__ == "__main__":
    raise SystemExit(main())
