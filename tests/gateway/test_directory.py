import asyncio
import json
import unittest

from lycheepin.gateway.directory import DaemonRecord, Directory
from lycheepin.gateway.settings import SocketAddress
from lycheepin.names import DaemonName, RegionName, ZoneName
from tests.gateway.deployment import HOST, DeploymentCase, read_answer, request


class Naming(unittest.TestCase):
    """Which daemons of a zone are named, by the width of their links and their processors."""

    def _named(self, *daemons: tuple[float, float]) -> list[int]:
        """Returns the ports that are named of daemons with some links and processors."""
        directory = Directory()
        for port, (link_mbps, processors) in enumerate(daemons):
            address = SocketAddress(HOST, port)
            name, zone, region = DaemonName(f"d{port}"), ZoneName("z"), RegionName("r")
            directory.register(
                DaemonRecord(name, 1, zone, region, address, address, link_mbps, processors)
            )
        return [
            address.port for address in directory.find_addresses(ZoneName("z"), RegionName("r"))
        ]

    def test_narrow_links_are_left_out_while_wide_ones_can_carry_the_load(self) -> None:
        self.assertEqual(self._named((10, 0.4), (200, 2), (10, 0.4), (200, 2)), [1, 3])

    def test_one_wide_link_alone_is_not_enough(self) -> None:
        self.assertEqual(self._named((10, 0.4), (200, 2), (10, 0.4)), [0, 1, 2])

    def test_wide_links_with_few_processors_are_not_enough(self) -> None:
        self.assertEqual(self._named((10, 2), (200, 0.4), (10, 2), (200, 0.4)), [0, 1, 2, 3])

    def test_equal_or_unknown_links_are_all_named(self) -> None:
        self.assertEqual(self._named((5, 1), (5, 1), (5, 1)), [0, 1, 2])
        self.assertEqual(self._named((0, 0), (0, 0)), [0, 1])


class Calls(DeploymentCase):
    async def _call(self, address: SocketAddress, path: str) -> tuple[int, bytes]:
        """Returns status and body of a call."""
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        status, _, body = await read_answer(reader)
        writer.close()
        return status, body

    async def test_look_up_names_running_daemons_of_the_callers_zone_first(self) -> None:
        first = await self.add_gateway("daemon-1")
        await self.add_gateway("daemon-2")
        south = await self.add_gateway(
            "daemon-3", zone=ZoneName("south-1"), region=RegionName("south")
        )
        await self.wait_until(lambda: len(first.directory.names) == 3)
        path = "/api/resolve?name=a.example&region=south&zone=south-1"
        status, body = await self._call(first.settings.directory, path)
        answer = json.loads(body)
        self.assertEqual(status, 200)
        self.assertEqual(answer["addresses"], [str(south.settings.front)])
        self.assertLessEqual(answer["ttlS"], 5)
        path = "/api/resolve?name=a.example&region=nowhere&zone=nowhere"
        _, body = await self._call(first.settings.directory, path)
        self.assertEqual(len(json.loads(body)["addresses"]), 3)

    async def test_ready_and_metrics(self) -> None:
        await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.ready(gateway)
        self.assertEqual((await self._call(gateway.settings.ready, "/api/ready"))[0], 200)
        await self.send_request(gateway, request())
        _, text = await self._call(gateway.settings.metrics, "/metrics")
        self.assertIn(b'lycheepin_answers_total{kind="200"} 1', text)
        self.assertEqual((await self._call(gateway.settings.ready, "/else"))[0], 404)


class Shutdown(DeploymentCase):
    async def test_running_request_is_finished_and_the_daemon_is_named_no_more(self) -> None:
        release = asyncio.Event()

        async def slow(arrival: object) -> bytes:
            from standins.servers import answer_with

            await release.wait()
            return answer_with(arrival)  # type: ignore[arg-type]

        endpoint = await self.add_endpoint("a", slow)
        gateway = await self.add_gateway()
        await self.ready(gateway)
        asked = asyncio.create_task(self.send_request(gateway, request("/order/1", "POST")))
        await self.wait_until(lambda: endpoint.arrivals)
        gateway.stop()
        await self.wait_until(lambda: gateway.stopping)
        self.assertFalse(gateway.ready)
        self.assertEqual(gateway.find_addresses(ZoneName("north-1"), RegionName("north")), [])
        await self.wait_until(lambda: "lycheepin/daemons/daemon-1" not in self.store.items)
        release.set()
        status, headers, _ = await asked
        self.assertEqual((status, headers["connection"]), (200, "close"))
        await self.wait_until(lambda: gateway.log.counts.get("stopped"))
