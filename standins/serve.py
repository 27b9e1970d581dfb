"""Runs a small ASGI application on several loopback addresses in one process."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import Awaitable, Callable, Iterable
from contextlib import contextmanager
from typing import Any

import uvicorn

__all__ = ["Asgi", "read_body", "reply", "serve"]

Asgi = Callable[[dict[str, Any], Any, Any], Awaitable[None]]


class _ServerWithoutSignals(uvicorn.Server):
    """A uvicorn server that leaves the signal handlers to `serve`."""

    @contextmanager
    def capture_signals(self) -> Any:
        """Installs no signal handlers."""
        yield


def serve(app: Asgi, addresses: Iterable[tuple[str, int]]) -> None:
    """Serves an application on some addresses until SIGTERM or SIGINT."""

    async def run_server() -> None:
        config = uvicorn.Config(
            app, http="httptools", loop="asyncio", ws="none", lifespan="off", log_config=None,
            log_level="critical", access_log=False, timeout_keep_alive=60,
        )  # fmt: skip
        server = _ServerWithoutSignals(config)
        loop = asyncio.get_running_loop()

        def request_exit() -> None:
            server.should_exit = True
            server.force_exit = True

        loop.add_signal_handler(signal.SIGTERM, request_exit)
        loop.add_signal_handler(signal.SIGINT, request_exit)
        await server.serve(sockets=[_listen(*address) for address in addresses])

    asyncio.run(run_server())


def _listen(host: str, port: int) -> socket.socket:
    """Returns a TCP socket that listens on an address."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(1024)
    return listener


async def read_body(receive: Any) -> bytes | None:
    """Returns a request's whole body, or None when its sender disconnects before the end."""
    parts = []
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            return None
        parts.append(event["body"])
        if not event.get("more_body"):
            return b"".join(parts)


async def reply(send: Any, status: int, body: bytes = b"", **headers: str) -> None:
    """Sends a complete answer; an underscore in a header's name stands for a hyphen."""
    header_pairs = [
        (name.replace("_", "-").encode(), value.encode()) for name, value in headers.items()
    ]
    header_pairs.append((b"content-length", str(len(body)).encode()))
    await send({"type": "http.response.start", "status": status, "headers": header_pairs})
    await send({"type": "http.response.body", "body": body})
