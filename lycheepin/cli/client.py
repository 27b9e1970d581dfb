"""HTTP client of the command line for the operator API of a daemon.

The HTTP library may resend a call on its own. Every call is therefore a read, or a change with an
id by which the daemon recognizes a repeat.
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

PATH_PREFIX = "/_lycheepin/"
CALL_TIMEOUT_S = 10.0


@dataclass(frozen=True)
class ClientError:
    """The error of a call: `kind` is the daemon's error kind, or `unreachable`."""

    kind: str
    message: str


class DaemonClient:
    """A client for the daemon at an address of the form `host:port`.

    A `workspace_key` is sent as the key of a caller about whom something is asked.
    """

    def __init__(self, address: str, operator_key: str = "", workspace_key: str = "") -> None:
        self._base_url = f"http://{address}"
        self._operator_key = operator_key
        self._workspace_key = workspace_key

    def get(self, path: str, **query: str | int) -> Any:
        """Returns the decoded JSON answer to a GET request, or a ClientError."""
        query_string = f"?{urlencode(query)}" if query else ""
        return asyncio.run(self._call("GET", PATH_PREFIX + path + query_string, None))

    def post(self, path: str, value: Any) -> Any:
        """Posts a value as JSON and returns the decoded JSON answer, or a ClientError."""
        return asyncio.run(self._call("POST", PATH_PREFIX + path, value))

    async def _call(self, method: str, target: str, value: Any) -> Any:
        """Sends a request and returns the decoded JSON answer, or a ClientError."""
        headers = (
            [(b"lycheepin-operator-key", self._operator_key.encode())] if self._operator_key else []
        )
        if self._workspace_key:
            headers.append((b"Authorization", b"Bearer " + self._workspace_key.encode()))
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_S),
                ClientSession(base_url=self._base_url) as session,
            ):
                if method == "GET":
                    response = await session.get(target, headers=headers)
                else:
                    content = Content(b"application/json", json.dumps(value).encode())
                    response = await session.post(target, content, headers=headers)
                body = json.loads(await response.read() or b"null")
        except (OSError, TimeoutError, ValueError, ConnectionError) as error:
            return ClientError("unreachable", f"{self._base_url}: {error!r}")
        except Exception as error:  # The HTTP library has its own error types.
            return ClientError("unreachable", f"{self._base_url}: {error!r}")
        if response.status == 200:
            return body
        fields = body if isinstance(body, dict) else {}
        return ClientError(fields.get("kind", "error"), fields.get("message", str(response)))
