"""Entry point of a gateway on the users' platform."""

import os
import signal
from typing import Any

__all__ = ["main"]


def _end_at_once(number: int, frame: Any) -> None:
    """Ends a process that has not begun to serve."""
    os._exit(0)


# Signals may arrive while the modules below are loaded, which takes most of the start: settings
# are read after it anyway, and there is nothing to drain yet. The gateway sets its own handlers.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, _end_at_once)

from lycheepin.platform.gateway import main  # noqa: E402

if __name__ == "__main__":
    raise SystemExit(main())
