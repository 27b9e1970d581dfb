"""A caller's connection for tests that send no answer."""

from __future__ import annotations

from lycheepin.transport.incoming import IncomingRequest

__all__ = ["UnusedConnection"]


class UnusedConnection:
    """A connection on which nothing is sent."""

    caller_host = "127.0.0.1"

    def write(self, data: bytes) -> None:
        raise AssertionError("nothing is written")

    async def drain(self) -> None:
        raise AssertionError("nothing is written")

    def resume_reading(self, buffered: int) -> None:
        return

    def observe_held(self) -> None:
        return

    def closes_after(self, request: IncomingRequest) -> bool:
        return False

    def end_answer(self, request: IncomingRequest) -> None:
        raise AssertionError("nothing is answered")

    def abort(self) -> None:
        raise AssertionError("nothing is aborted")
