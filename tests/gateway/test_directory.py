import asyncio
import json
import unittest

from lycheepin.gateway.directory import DaemonRecord, Directory
from lycheepin.gateway.relay import RELAY_PATH
from lycheepin.gateway.settings import SocketAddress
from lycheepin.names import DaemonName, RegionName, ZoneName
from tests.gateway.deployment import HOST, DeploymentCase, read_answer, request


class FindAddresses(unittest.TestCase):
    """Selection of the daemons of a zone by link bandwidth and processors."""

    def _find(self, *daemons: tuple[float, float]) -> list[int]:
        """Returns the numbers of the daemons that a look-up returns.

        Each daemon is given as its link bandwidth in Mbit/s and its processors.
        """
        directory = Directory()
        for number, (link_mbps, processors) in enumerate(daemons):
            address = SocketAddress(HOST, number)
            name, zone, region = DaemonName(f"d{number}"), ZoneName("z"), RegionName("r")
            directory.register(
                DaemonRecord(name, 1, zone, region, address, address, link_mbps, processors)
            )
        return [
            address.port for address in directory.find_addresses(ZoneName("z"), RegionName("r"))
        ]

    def test_narrow_links_are_left_out_if_wide_ones_can_carry_the_load(self) -> None:
        self.assertEqual(self._find((10, 0.4), (200, 2), (10, 0.4), (200, 2)), [1, 3])

    def test_all_daemons_are_returned_if_only_one_link_is_wide(self) -> None:
        self.assertEqual(self._find((10, 0.4), (200, 2), (10, 0.4)), [0, 1, 2])

    def test_all_daemons_are_returned_if_wide_links_have_few_processors(self) -> None:
        self.assertEqual(self._find((10, 2), (200, 0.4), (10, 2), (200, 0.4)), [0, 1, 2, 3])

    def test_all_daemons_are_returned_if_links_are_equal_or_unknown(self) -> None:
        self.assertEqual(self._find((5, 1), (5, 1), (5, 1)), [0, 1, 2])
        self.assertEqual(self._find((0, 0), (0, 0)), [0, 1])


class CarrierSet(unittest.TestCase):
    def test_carriers_are_the_daemons_that_look_ups_return_in_any_zone(self) -> None:
        directory = Directory()

        def register(zone: str, number: int, link_mbps: float) -> DaemonName:
            name = DaemonName(f"{zone}-{number}")
            address = SocketAddress(HOST, number)
            directory.register(
                DaemonRecord(
                    name, 1, ZoneName(zone), RegionName("r"), address, address, link_mbps, 1.0
                )
            )
            return name

        for zone in ("z1", "z2"):
            for number in range(4):
                register(zone, number, 200.0 if number < 2 else 10.0)
        self.assertEqual(directory.carriers, ("z1-0", "z1-1", "z2-0", "z2-1"))
        self.assertIs(directory.carriers, directory.carriers)
        directory.remove(DaemonName("z1-0"))
        self.assertEqual(directory.carriers, ("z1-1", "z1-2", "z1-3", "z2-0", "z2-1"))


class ManagementCalls(DeploymentCase):
    async def _get(self, address: SocketAddress, path: str) -> tuple[int, bytes]:
        """Returns the status and body of the answer to a GET request."""
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        status, _, body = await read_answer(reader)
        writer.close()
        return status, body

    async def test_look_up_returns_daemons_of_the_zone_else_all(self) -> None:
        first = await self.add_gateway("daemon-1")
        await self.add_gateway("daemon-2")
        south = await self.add_gateway(
            "daemon-3", zone=ZoneName("south-1"), region=RegionName("south")
        )
        await self.wait_until(lambda: len(first.directory.names) == 3)
        path = "/api/resolve?name=a.example&region=south&zone=south-1"
        status, body = await self._get(first.settings.directory, path)
        answer = json.loads(body)
        self.assertEqual(status, 200)
        self.assertEqual(answer["addresses"], [str(south.settings.front)])
        self.assertLessEqual(answer["ttlS"], 5)
        path = "/api/resolve?name=a.example&region=nowhere&zone=nowhere"
        _, body = await self._get(first.settings.directory, path)
        self.assertEqual(len(json.loads(body)["addresses"]), 3)

    async def test_malformed_poll_of_a_follower_is_answered_with_400(self) -> None:
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        for query in ("after=x", "after=1&wait_ms=soon"):
            status, _ = await self._get(gateway.settings.control, f"{RELAY_PATH}?{query}")
            self.assertEqual(status, 400, query)

    async def test_poll_of_a_build_that_knows_revisions_only_gets_no_positions(self) -> None:
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        status, _ = await self._get(gateway.settings.control, "/relay?after=5&wait_ms=0")
        self.assertEqual(status, 404)

    async def test_ready_and_metrics_are_served_and_other_paths_are_404(self) -> None:
        await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        self.assertEqual((await self._get(gateway.settings.ready, "/api/ready"))[0], 200)
        await self.send_request(gateway, request())
        _, text = await self._get(gateway.settings.metrics, "/metrics")
        self.assertIn(b'lycheepin_answers_total{kind="200"} 1', text)
        self.assertEqual((await self._get(gateway.settings.ready, "/else"))[0], 404)


class Shutdown(DeploymentCase):
    async def test_running_request_is_completed_and_daemon_leaves_the_directory(self) -> None:
        release = asyncio.Event()

        async def slow(received: object) -> bytes:
            from standins.servers import build_answer

            await release.wait()
            return build_answer(received)  # type: ignore[arg-type]

        endpoint = await self.add_endpoint("a", slow)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        answer = asyncio.create_task(self.send_request(gateway, request("/order/1", "POST")))
        await self.wait_until(lambda: endpoint.received_requests)
        gateway.stop()
        await self.wait_until(lambda: gateway.draining)
        self.assertFalse(gateway.ready)
        self.assertEqual(gateway.find_addresses(ZoneName("north-1"), RegionName("north")), [])
        await self.wait_until(lambda: "lycheepin/daemons/daemon-1" not in self.store.items)
        release.set()
        status, headers, _ = await answer
        self.assertEqual((status, headers["connection"]), (200, "close"))
        await self.wait_until(lambda: gateway.log.counts.get("stopped"))
