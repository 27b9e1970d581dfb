"""A gateway is stopped as planned while clients that pipeline wait for their first answer."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib2"))

from bed import FRONT, Answer, Bed, _parse, build_config, run_case  # noqa: E402

ZONES = {"gc-mixco": "guatemala-central"}
SIZE = 540_000
REQUESTS = 5
DEADLINE_MS = 4_869
SECOND_AFTER_S, READ_AFTER_S = 0.9, 1.0


async def pipeline(bed: Bed, host: str, number: int) -> list[Answer]:
    """Sends two requests on one connection, the second before it reads, and reads two answers."""
    loop = asyncio.get_running_loop()
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32 * 1024)
    connection.setblocking(False)
    answers = [Answer(), Answer()]

    def build(request_id: str, size: int) -> bytes:
        target = f"/recipe/video?work=480&size={size}"
        bed.note(event="sent", request=request_id, target=target)
        return (
            f"GET {target} HTTP/1.1\r\nHost: media.example\r\nRequest-Id: {request_id}\r\n"
            f"Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
        ).encode()

    started_s = loop.time()
    received = bytearray()
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            await loop.sock_connect(connection, (host, FRONT))
            await loop.sock_sendall(connection, build(f"a{number}", SIZE))
            await asyncio.sleep(SECOND_AFTER_S)
            await loop.sock_sendall(connection, build(f"b{number}", 100))
            await asyncio.sleep(READ_AFTER_S - SECOND_AFTER_S)
            for answer in answers:
                while not _parse(received, answer):
                    chunk = await loop.sock_recv(connection, 65536)
                    if not chunk:
                        answer.end = "closed"
                        break
                    received += chunk
                answer.took_s = loop.time() - started_s
                if not answer.is_complete or answer.headers.get("connection") == "close":
                    break
                end = received.find(b"\r\n\r\n") + 4 + int(answer.headers["content-length"])
                del received[:end]
    except TimeoutError:
        answer.end = "gave up"
    except OSError as error:
        answer.end = f"reset: {error!r}"
        answer.took_s = loop.time() - started_s
    finally:
        connection.close()
    for name, answer in zip("ab", answers, strict=True):
        bed.note(event="answer", request=f"{name}{number}", status=answer.status, end=answer.end,
                 body_bytes=len(answer.body), took_s=round(answer.took_s, 3),
                 connection=answer.headers.get("connection"))
    return answers


async def play(bed: Bed, trouble: bool) -> list[str]:
    config = build_config(
        {"recipe": {"host": "media.example", "prefix": "/recipe/", "kind": "download",
                    "service": "recetario", "timeoutMs": DEADLINE_MS}},
        ("recetario",),
    )
    await bed.start_store(config)
    host = bed.start_gateway(0, ZONES, "gc-mixco")
    address = bed.start_backend("i-1")
    bed.register("i-1", address, "recetario", "gc-mixco")
    await bed.wait_ready(host)
    await asyncio.sleep(1.0)
    for number in range(3):
        await bed.send(host, "/recipe/video?work=480&size=100", f"warm{number}", DEADLINE_MS)
    clients = [asyncio.create_task(pipeline(bed, host, n)) for n in range(REQUESTS)]
    await asyncio.sleep(0.2)
    if trouble:
        bed.send_signal("gateway-0", signal.SIGTERM)
    results = await asyncio.gather(*clients)
    answered = {x["request"] for x in bed.read_runs() if x["event"] == "answered"}
    return [
        f"LOST: a{n} was passed on and its backend answered it; the client got {len(first.body)} of"
        f" {SIZE} bytes, then: {first.end}, {first.took_s:.2f} s after it had sent the request"
        for n, (first, _) in enumerate(results)
        if f"a{n}" in answered and not first.is_complete and first.took_s < DEADLINE_MS / 1000 - 0.2
    ]


raise SystemExit(run_case(str(pathlib.Path(__file__).parent), play))
