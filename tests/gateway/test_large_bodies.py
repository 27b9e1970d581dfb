"""Bodies around the size up to which they are buffered, which arrive in any pieces at any time."""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections.abc import Iterator

from lycheepin.gateway.process import Gateway
from lycheepin.transport.incoming import (
    MAX_BUFFERED_BODY_BYTES,
    BodyStart,
    IncomingRequest,
    WholeBody,
)
from tests.gateway.connections import UnusedConnection
from tests.gateway.deployment import DeploymentCase

LIMIT = MAX_BUFFERED_BODY_BYTES
SIZES = (0, 1, LIMIT - 1, LIMIT, LIMIT + 1, LIMIT + 2, LIMIT + 70_000, 3 * LIMIT)


class CallerConnection(UnusedConnection):
    """A connection of a caller that takes its answer."""

    def write(self, data: bytes) -> None:
        return

    async def drain(self) -> None:
        return

    def end_answer(self, request: IncomingRequest) -> None:
        return


def split(body: bytes, numbers: random.Random) -> Iterator[bytes]:
    """Yields a body in pieces: whole, at the limit, with the last byte alone, or at random."""
    ends = {len(body)}
    match numbers.randrange(4):
        case 1:
            ends.add(LIMIT)
        case 2:
            ends.add(len(body) - 1)
        case 3:
            ends |= {numbers.randrange(len(body) + 1) for _ in range(20)}
    start = 0
    for end in sorted(end for end in ends if 0 < end <= len(body)):
        yield body[start:end]
        start = end


class LargeBodies(DeploymentCase):
    def _begin_request(self, body: bytes, number: int, chunked: bool) -> IncomingRequest:
        """Returns an upload whose body has not arrived yet."""
        headers = {b"host": b"a.example", b"request-id": b"r%d" % number, b"deadline-ms": b"9000"}
        if chunked:
            headers[b"transfer-encoding"] = b"chunked"
        else:
            headers[b"content-length"] = b"%d" % len(body)
        request = IncomingRequest(CallerConnection(), asyncio.get_running_loop().time())
        request.method, request.target = b"POST", b"/order/%d" % number
        request.headers, request.headers_by_name = list(headers.items()), headers
        return request

    async def _send(
        self, gateway: Gateway, request: IncomingRequest, body: bytes, numbers: random.Random
    ) -> None:
        """Handles a request whose body arrives before, or in part while an attempt is made."""
        pieces = list(split(body, numbers))
        at_once = numbers.randrange(len(pieces) + 1) if numbers.random() < 0.5 else len(pieces)
        for piece in pieces[:at_once]:
            request.feed_body(piece)
        if at_once == len(pieces):
            request.end_body()
        handling = asyncio.create_task(gateway._handler.handle_request(request))
        for piece in pieces[at_once:]:
            await asyncio.sleep(0)
            request.feed_body(piece)
        request.end_body()
        await handling

    # Guards against a first part that passes for the whole body: the upload is cut and
    # answered with success (review/2).
    async def test_endpoints_get_the_bytes_that_were_sent(self) -> None:
        endpoint = await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        numbers = random.Random(2)
        for number in range(80):
            body = numbers.randbytes(SIZES[number % len(SIZES)])
            request = self._begin_request(body, number, chunked=numbers.random() < 0.5)
            await self._send(gateway, request, body, numbers)
            received = endpoint.received_requests[-1]
            digests = [hashlib.sha256(part).hexdigest() for part in (received.body, body)]
            self.assertEqual(digests[0], digests[1], (number, len(received.body), len(body)))
        self.assertEqual(len(endpoint.received_requests), 80)

    async def test_only_a_body_that_has_ended_is_whole(self) -> None:
        for size in SIZES:
            body = random.Random(size).randbytes(size)
            request = self._begin_request(body, 0, chunked=True)
            for piece in split(body, random.Random(3)):
                request.feed_body(piece)
            request.end_body()
            match await request.read_up_to(LIMIT):
                case WholeBody(content=content):
                    self.assertEqual(content, body)
                case BodyStart(content=content):
                    self.assertGreater(len(content), LIMIT)
                    rest = b"".join([chunk async for chunk in _read_rest(request)])
                    self.assertEqual(content + rest, body)


async def _read_rest(request: IncomingRequest):  # type: ignore[no-untyped-def]
    while chunk := await request.read_chunk():
        yield chunk
