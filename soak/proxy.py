"""A loopback proxy that disturbs connections: delays, resets, silence, one way only."""

from __future__ import annotations

import asyncio
from enum import Enum

from lycheepin.gateway.settings import SocketAddress

__all__ = ["Proxy", "Way"]

# Bytes that are passed on at once.
CHUNK_BYTES = 64 * 1024
# Time in seconds by which a delaying proxy holds each part back.
DELAY_S = 0.15


class Way(Enum):
    """How a proxy treats its connections."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONLY_OUT = "only_out"
    ONLY_BACK = "only_back"


# Ways that hold bytes back in the direction to the target, and in the other one.
_HOLD_OUT = (Way.SILENT, Way.ONLY_BACK)
_HOLD_BACK = (Way.SILENT, Way.ONLY_OUT)


class Proxy:
    """Passes TCP connections on to one target. Bytes held back arrive late, as over a cut link.

    Callers are told apart by their hosts, so one of them may be disturbed and the others not.
    """

    def __init__(self, target: SocketAddress) -> None:
        self.target = target
        self._way = Way.PASS
        self._ways: dict[str, Way] = {}
        self.address = target
        self._server: asyncio.Server | None = None
        self._writers: dict[asyncio.StreamWriter, str] = {}
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listens on a free port of the target's host."""
        self._server = await asyncio.start_server(self._serve, self.target.host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = SocketAddress(self.target.host, port)

    def set_way(self, way: Way, host: str | None = None) -> None:
        """Treats the connections of one host, or of all, in another way from now on."""
        if host is None:
            self._way = way
            self._ways.clear()
        else:
            self._ways[host] = way
        if way is Way.RESET:
            self.reset(host)
        self._changed.set()
        self._changed = asyncio.Event()

    def reset(self, host: str | None = None) -> None:
        """Resets the open connections of one host, or of all."""
        for writer, caller in list(self._writers.items()):
            if host in (None, caller):
                writer.transport.abort()

    def _way_of(self, host: str) -> Way:
        """Returns how the connections of a host are treated."""
        return self._ways.get(host, self._way)

    def close(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        host: str = writer.get_extra_info("peername")[0]
        self._writers[writer] = host
        onward: asyncio.StreamWriter | None = None
        try:
            if self._way_of(host) is Way.RESET:
                return
            far, onward = await asyncio.open_connection(self.target.host, self.target.port)
            self._writers[onward] = host
            await asyncio.gather(
                self._pump(reader, onward, host, _HOLD_OUT),
                self._pump(far, writer, host, _HOLD_BACK),
            )
        except (OSError, asyncio.CancelledError):
            return  # one side has left, or the soak ends: the other side is reset as well
        finally:
            for side in (writer, onward):
                if side is not None:
                    self._writers.pop(side, None)
                    side.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        host: str,
        held: tuple[Way, ...],
    ) -> None:
        """Passes one direction on until its end, which ends the other direction too."""
        while data := await reader.read(CHUNK_BYTES):
            while self._way_of(host) in held:
                await self._changed.wait()
            if self._way_of(host) is Way.DELAY:
                await asyncio.sleep(DELAY_S)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
