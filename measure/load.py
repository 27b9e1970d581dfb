"""Closed-loop HTTP load on persistent connections, with the latencies of its requests."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from lycheepin.transport.connection import Connection

__all__ = ["LoadResult", "run_load"]


@dataclass(frozen=True)
class LoadResult:
    """Successful answers per second, latencies in milliseconds, and answers other than 200."""

    per_second: float
    p50_ms: float
    p99_ms: float
    failures: int


async def run_load(
    source: str, host: str, port: int, request_head: bytes, connections: int, duration_s: float
) -> LoadResult:
    """Sends requests sequentially on each connection for `duration_s` and returns the result."""
    histogram = HdrHistogram(1, 60_000_000, 3)
    answer_counts = [0, 0]
    end_s = time.monotonic() + duration_s

    async def send_requests() -> None:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(Connection, host, port, local_addr=(source, 0))
        while time.monotonic() < end_s:
            started_s = time.monotonic()
            connection.send_request_head(request_head)
            answer = await connection.head()
            async for _ in connection.body():
                pass
            histogram.record_value(max(1, int((time.monotonic() - started_s) * 1e6)))
            answer_counts[answer.status != 200] += 1
        connection.close()

    started_s = time.monotonic()
    await asyncio.gather(*(send_requests() for _ in range(connections)))
    elapsed_s = time.monotonic() - started_s
    return LoadResult(
        answer_counts[0] / elapsed_s,
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(99) / 1000,
        answer_counts[1],
    )
