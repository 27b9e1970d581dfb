"""A loopback TCP proxy that delays, resets or stalls connections, in one or both directions."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable
from enum import Enum

from lycheepin.gateway.settings import SocketAddress
from standins.servers import reset_connection

__all__ = ["Proxy", "ProxyMode"]

# Maximum bytes that are forwarded at once.
CHUNK_BYTES = 64 * 1024
# Delay of each chunk in the mode DELAY.
CHUNK_DELAY_S = 0.15
# Interval in seconds of the checks for a reset after the end of a stream.
WATCH_INTERVAL_S = 0.02


class ProxyMode(Enum):
    """How a proxy forwards the bytes of its connections."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    STALL = "silent"
    ONLY_TO_TARGET = "only_out"
    ONLY_FROM_TARGET = "only_back"


# Modes that hold back bytes to the target, and bytes from the target.
_MODES_HOLDING_TO_TARGET = (ProxyMode.STALL, ProxyMode.ONLY_FROM_TARGET)
_MODES_HOLDING_FROM_TARGET = (ProxyMode.STALL, ProxyMode.ONLY_TO_TARGET)


class Proxy:
    """Forwards TCP connections to one target. Bytes held back arrive late, as over a cut link.

    The mode can be set for each source host separately.
    """

    def __init__(self, target: SocketAddress) -> None:
        self.target = target
        self._default_mode = ProxyMode.PASS
        self._host_modes: dict[str, ProxyMode] = {}
        self.address = target
        self._server: asyncio.Server | None = None
        self._writers: dict[asyncio.StreamWriter, str] = {}
        self._silenced: set[asyncio.StreamWriter] = set()
        self._mode_changed = asyncio.Event()

    async def start(self) -> None:
        """Listens on a free port of the target's host."""
        self._server = await asyncio.start_server(self._forward_connection, self.target.host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = SocketAddress(self.target.host, port)

    def set_mode(self, mode: ProxyMode, host: str | None = None) -> None:
        """Sets the mode of all connections from one host, or from all hosts."""
        if host is None:
            self._default_mode = mode
            self._host_modes.clear()
        else:
            self._host_modes[host] = mode
        if mode is ProxyMode.RESET:
            self.reset(host)
        self._mode_changed.set()
        self._mode_changed = asyncio.Event()

    def reset(self, host: str | None = None) -> None:
        """Resets the open connections from one host, or from all hosts."""
        for writer, source_host in list(self._writers.items()):
            if host in (None, source_host):
                reset_connection(writer)

    def silence_open(self) -> None:
        """Lets the open connections go silent for good, without a reset; new ones work."""
        self._silenced |= self._writers.keys()
        self._mode_changed.set()
        self._mode_changed = asyncio.Event()

    def _get_mode(self, host: str) -> ProxyMode:
        """Returns the mode of the connections from a host."""
        return self._host_modes.get(host, self._default_mode)

    def close(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    async def _forward_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forwards one accepted connection to the target, in both directions."""
        host: str = writer.get_extra_info("peername")[0]
        self._writers[writer] = host
        target_writer: asyncio.StreamWriter | None = None
        try:
            if self._get_mode(host) is ProxyMode.RESET:
                return
            target_reader, target_writer = await asyncio.open_connection(
                self.target.host, self.target.port
            )
            self._writers[target_writer] = host
            sending = asyncio.ensure_future(
                self._forward_direction(reader, target_writer, host, _MODES_HOLDING_TO_TARGET)
            )
            receiving = self._forward_direction(
                target_reader, writer, host, _MODES_HOLDING_FROM_TARGET
            )
            await asyncio.gather(sending, _watch_reset(receiving, target_writer, sending))
        except (ConnectionResetError, BrokenPipeError):
            for connection_writer in (writer, target_writer):
                if connection_writer is not None:
                    reset_connection(connection_writer)
        except (OSError, asyncio.CancelledError):
            return  # one side has closed, or the soak ends: both sides are closed
        finally:
            for connection_writer in (writer, target_writer):
                if connection_writer is not None:
                    self._writers.pop(connection_writer, None)
                    self._silenced.discard(connection_writer)
                    connection_writer.transport.abort()

    async def _forward_direction(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        host: str,
        holding_modes: tuple[ProxyMode, ...],
    ) -> None:
        """Forwards one direction until end of file, and then closes it for writing."""
        while data := await reader.read(CHUNK_BYTES):
            while self._get_mode(host) in holding_modes or writer in self._silenced:
                await self._mode_changed.wait()
            if self._get_mode(host) is ProxyMode.DELAY:
                await asyncio.sleep(CHUNK_DELAY_S)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()


async def _watch_reset(
    receiving: Awaitable[None], writer: asyncio.StreamWriter, sending: asyncio.Future[None]
) -> None:
    """Receives from a target, and raises ConnectionResetError if it resets after that.

    Nothing else would notice, as nothing is read any more. Returns when `sending` to it has ended.
    """
    await receiving
    while not sending.done():
        await asyncio.wait({sending}, timeout=WATCH_INTERVAL_S)
        connection = writer.get_extra_info("socket")
        if connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            raise ConnectionResetError
