"""What each listener of a gateway answers, and to whom it says nothing."""

from __future__ import annotations

import asyncio
import zlib

from lycheepin.gateway.explaining import STATE_PATH
from lycheepin.gateway.relay import RELAY_PATH
from lycheepin.gateway.settings import SocketAddress
from standins.messages import find_free_address, read_answer
from tests.gateway.deployment import DeploymentCase
from tests.gateway.test_workspaces import build_configuration

KEY = "alpha-1"
# Each path of the listeners other than that of callers, with its query.
PATHS = {
    "ready": "/api/ready",
    "directory": "/api/resolve?name=a.example&region=north&zone=north-1",
    "metrics": "/metrics",
    "relay": f"{RELAY_PATH}?era=0&after=0",
    "state": STATE_PATH,
}
# What each listener answers (DEPLOY.md, "Settings of a process"); everything else is 404 there.
ANSWERED = {
    "ready": {"ready"},
    "directory": {"directory"},
    "metrics": {"metrics"},
    "control": {"relay", "state"},
}


def contains_key(content: bytes) -> bool:
    """Returns whether a key of a workspace stands in a message, or in what is compressed in it."""
    starts = [n for n in range(len(content)) if content[n : n + 1] == b"x"]
    parts = [content]
    for start in starts:
        try:
            parts.append(zlib.decompressobj().decompress(content[start:]))
        except zlib.error:
            continue
    return any(KEY.encode() in part for part in parts)


class EachListener(DeploymentCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store.put("op/config", build_configuration())
        await self.add_endpoint("one")

    async def _ask(self, address: SocketAddress, path: str) -> tuple[int, bytes]:
        reader, writer = await asyncio.open_connection(address.host, address.port)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: a.example\r\n\r\n".encode())
            async with asyncio.timeout(20.0):
                status, _, body = await read_answer(reader)
        finally:
            writer.close()
        return status, body

    # Guards against anybody who reaches the directory reading the keys of all workspaces: the poll
    # of a daemon's followers was answered on each listener.
    async def test_paths_of_other_listeners_are_not_found(self) -> None:
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        for listener, answered in ANSWERED.items():
            for name, path in PATHS.items():
                with self.subTest(listener=listener, path=name):
                    status, body = await self._ask(getattr(gateway.settings, listener), path)
                    self.assertEqual(status, 200 if name in answered else 404)
                    self.assertEqual(contains_key(body), (listener, name) == ("control", "relay"))

    async def test_callers_reach_no_path_of_the_other_listeners(self) -> None:
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        for name, path in PATHS.items():
            status, body = await self._ask(gateway.settings.front, path)
            self.assertEqual(status, 404, name)
            self.assertFalse(contains_key(body))

    async def test_listeners_at_one_address_answer_the_paths_of_each(self) -> None:
        shared = find_free_address()
        gateway = await self.add_gateway(ready=shared, directory=shared)
        await self.wait_until_ready(gateway)
        for name, path in PATHS.items():
            status, _ = await self._ask(shared, path)
            self.assertEqual(status, 200 if name in ("ready", "directory") else 404, name)
