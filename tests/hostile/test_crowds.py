"""Crowds of clients that would take a daemon's memory or sockets, inside the limits and outside."""

from __future__ import annotations

import itertools
import string

from standins.messages import request
from tests.hostile.crowds import CONTROL_PORT, KB, MAX_HEADER_BYTES, MB, HostileCase

# Clients of a crowd that takes memory, and of one that takes more sockets than the machine has.
CROWD, MANY = 80, 200
UPLOAD = request("/order/1", "POST", Deadline_Ms="60000").replace(b"Content-Length: 0\r\n", b"")
CHUNKED = UPLOAD[:-2] + b"Transfer-Encoding: chunked\r\n\r\n"
LARGE_CHUNK = b"%x\r\n" % (64 * KB) + b"x" * (64 * KB) + b"\r\n"
# Names of two characters: with an empty value, the shortest lines that all differ.
NAMES = ["".join(pair).encode() for pair in itertools.product(string.ascii_lowercase, repeat=2)]


def build_head(lines: list[bytes]) -> bytes:
    """Returns a request whose head, filled with lines, has the largest legal size."""
    head = bytearray(request("/read/slow", Deadline_Ms="60000")[:-2])
    for line in itertools.cycle(lines):
        if len(head) + len(line) + 2 > MAX_HEADER_BYTES:
            break
        head += line
    return bytes(head) + b"\r\n"


class CrowdsThatTakeMemory(HostileCase):
    async def test_legal_heads_of_short_and_of_odd_lines(self) -> None:
        short = build_head([name + b":\r\n" for name in NAMES])
        odd = build_head([name + b": \t \r\n" for name in NAMES] + [b"a:\r\n", b"!~: \xff\r\n"])
        await self.send_crowd(CROWD, lambda number: (short, odd)[number % 2] * 4)
        await self.assert_holds()

    async def test_chunked_bodies_in_large_chunks_without_their_end(self) -> None:
        body = LARGE_CHUNK * 15 + b"ffff\r\nx"
        await self.send_crowd(CROWD, lambda number: CHUNKED + body)
        await self.assert_holds()

    async def test_chunked_bodies_in_chunks_of_one_byte_without_their_end(self) -> None:
        body = b"1\r\nx\r\n" * 60_000 + b"1\r\n"
        await self.send_crowd(CROWD, lambda number: CHUNKED + body)
        await self.assert_holds()

    async def test_heads_over_the_limit_and_without_end(self) -> None:
        endless = [b"a:\r\n" * (MB // 4), b"X-A: " + b"a" * MB, NAMES[0] * (MB // 2)]
        await self.send_crowd(CROWD, lambda number: UPLOAD[:-2] + endless[number % 3])
        await self.assert_holds()

    async def test_empty_lines_without_end_before_a_request(self) -> None:
        await self.send_crowd(CROWD, lambda number: b"\r\n" * (MB // 2))
        await self.assert_holds()

    async def test_bursts_of_small_requests_whose_answers_are_not_read(self) -> None:
        burst = b"GET /read/1 HTTP/1.1\r\nHost: a.example\r\n\r\n" * 6000
        await self.send_crowd(CROWD, lambda number: burst)
        await self.assert_holds()

    async def test_large_answers_that_are_not_read(self) -> None:
        asked = request("/read/large", Deadline_Ms="60000") * 3
        await self.send_crowd(CROWD, lambda number: asked)
        await self.assert_holds()


class CrowdsThatTakeSockets(HostileCase):
    async def test_connections_that_stay_idle(self) -> None:
        await self.send_crowd(MANY, lambda number: b"")
        await self.assert_holds()

    async def test_connections_that_stay_idle_at_the_port_for_daemons(self) -> None:
        await self.send_crowd(MANY, lambda number: b"", CONTROL_PORT)
        await self.assert_holds()

    async def test_heads_that_stop_in_their_first_line(self) -> None:
        await self.send_crowd(MANY, lambda number: b"GET /read")
        await self.assert_holds()

    async def test_bodies_that_do_not_come(self) -> None:
        await self.send_crowd(MANY, lambda number: CHUNKED)
        await self.assert_holds()


class ReadersThatStopped(HostileCase):
    memory_mb, max_fds = 200, 1200

    async def test_300_readers_that_stopped_take_less_than_half_of_the_memory(self) -> None:
        asked = request("/read/large", Deadline_Ms="60000")
        await self.send_crowd(300, lambda number: asked)
        await self.assert_holds(memory_share=0.5)
