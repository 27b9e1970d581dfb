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


class _Server(uvicorn.Server):
    """A server without signal handlers of its own."""

    @contextmanager
    def capture_signals(self) -> Any:
        """Does nothing."""
        yield


def serve(app: Asgi, addresses: Iterable[tuple[str, int]]) -> None:
    """Serves until SIGTERM."""

    async def main() -> None:
        config = uvicorn.Config(
            app, http="httptools", loop="asyncio", ws="none", lifespan="off", log_config=None,
            log_level="critical", access_log=False, timeout_keep_alive=60,
        )  # fmt: skip
        server = _Server(config)
        loop = asyncio.get_running_loop()

        def stop() -> None:
            server.should_exit = True
            server.force_exit = True

        loop.add_signal_handler(signal.SIGTERM, stop)
        loop.add_signal_handler(signal.SIGINT, stop)
        await server.serve(sockets=[_listen(*address) for address in addresses])

    asyncio.run(main())


def _listen(host: str, port: int) -> socket.socket:
    """Returns a listening socket."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(1024)
    return listener


async def read_body(receive: Any) -> bytes | None:
    """Returns a whole body; None when the sender left before its end."""
    parts = []
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            return None
        parts.append(event["body"])
        if not event.get("more_body"):
            return b"".join(parts)


async def reply(send: Any, status: int, body: bytes = b"", **headers: str) -> None:
    """Sends a whole answer."""
    pairs = [(name.replace("_", "-").encode(), value.encode()) for name, value in headers.items()]
    pairs.append((b"content-length", str(len(body)).encode()))
    await send({"type": "http.response.start", "status": status, "headers": pairs})
    await send({"type": "http.response.body", "body": body})
