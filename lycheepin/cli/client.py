"""Calls of the command line to a daemon.

The HTTP client may send a call again by itself; every call here is a read, or a change that
carries an id by which a repeat is recognised.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

from blacksheep import Content
from blacksheep.client import ClientSession

__all__ = ["ClientError", "DaemonClient"]

PREFIX = "/_lycheepin/"
TIMEOUT_S = 10.0


@dataclass(frozen=True)
class ClientError:
    """Why there is no answer; `kind` is the daemon's, or `unreachable`."""

    kind: str
    message: str


class DaemonClient:
    """One daemon, by `host:port`."""

    def __init__(self, address: str, operator_key: str = "") -> None:
        self._base = f"http://{address}"
        self._key = operator_key

    def get(self, path: str, **query: str | int) -> Any:
        """Returns the JSON answer of a read, or a ClientError."""
        words = f"?{urlencode(query)}" if query else ""
        return asyncio.run(self._call("GET", PREFIX + path + words, None))

    def post(self, path: str, value: Any) -> Any:
        """Returns the JSON answer of a change, or a ClientError."""
        return asyncio.run(self._call("POST", PREFIX + path, value))

    async def _call(self, method: str, target: str, value: Any) -> Any:
        """Returns the JSON answer, or a ClientError."""
        headers = [(b"lycheepin-operator-key", self._key.encode())] if self._key else []
        try:
            async with asyncio.timeout(TIMEOUT_S), ClientSession(base_url=self._base) as session:
                if method == "GET":
                    response = await session.get(target, headers=headers)
                else:
                    content = Content(b"application/json", json.dumps(value).encode())
                    response = await session.post(target, content, headers=headers)
                body = json.loads(await response.read() or b"null")
        except (OSError, TimeoutError, ValueError, ConnectionError) as error:
            return ClientError("unreachable", f"{self._base}: {error!r}")
        except Exception as error:  # The client library has error types of its own.
            return ClientError("unreachable", f"{self._base}: {error!r}")
        if response.status != 200:
            return ClientError(body.get("kind", "error"), body.get("message", str(response)))
        return body
