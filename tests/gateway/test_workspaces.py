"""Keys of workspaces at a gateway: who is served, and what the endpoints see of it."""

from __future__ import annotations

from typing import Any

from standins.messages import configuration
from standins.servers import EndpointStandIn
from tests.gateway.deployment import DeploymentCase

WORKSPACES: dict[str, Any] = {
    "alpha": {"apiKeys": ["alpha-1", "alpha-2"], "priority": 0, "ratePerS": 0, "burst": 0},
    "beta": {"apiKeys": ["beta-1"], "homeRegions": ["south"]},
}


def build_configuration(version: int = 1, **workspaces: Any) -> dict[str, Any]:
    document = configuration(version)
    document["routes"]["open"] = document["routes"]["read"] | {"prefix": "/open/", "public": True}
    return document | {"tenants": WORKSPACES | workspaces}


def build_request(target: str, *headers: str, method: str = "GET") -> bytes:
    lines = [f"{method} {target} HTTP/1.1", "Host: a.example", "Request-Id: r1", "Deadline-Ms: 900"]
    return "\r\n".join([*lines, *headers]).encode() + b"\r\n\r\n"


class WorkspaceKeyTest(DeploymentCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store.put("op/config", build_configuration())
        self.endpoint: EndpointStandIn = await self.add_endpoint("one")
        self.gateway = await self.add_gateway()
        await self.wait_until_ready(self.gateway)

    async def ask(self, target: str, *headers: str) -> int:
        status, _, _ = await self.send_request(self.gateway, build_request(target, *headers))
        return status

    async def test_endpoint_gets_the_name_and_not_the_key(self) -> None:
        for key in ("alpha-1", "alpha-2"):
            self.assertEqual(await self.ask("/read/1", f"authorization: bearer {key}"), 200)
            seen = self.endpoint.received_requests[-1].headers
            self.assertEqual(seen["tenant"], "alpha")
            self.assertNotIn("authorization", seen)

    async def test_name_that_the_caller_sent_does_not_count(self) -> None:
        headers = ("Tenant: beta", "Authorization: Bearer alpha-1", "tenant: gamma")
        self.assertEqual(await self.ask("/read/1", *headers), 200)
        self.assertEqual(self.endpoint.received_requests[-1].headers["tenant"], "alpha")
        self.assertEqual(await self.ask("/open/1", "Tenant: beta"), 200)
        self.assertNotIn("tenant", self.endpoint.received_requests[-1].headers)

    async def test_without_a_valid_key_nothing_runs(self) -> None:
        odd: tuple[tuple[str, ...], ...] = (
            (),
            ("Authorization: Bearer nobody",),
            ("Authorization: Bearer",),
            ("Authorization:",),
            ("Authorization: Basic alpha-1",),
            ("Authorization: Bearer alpha-1", "Authorization: Bearer alpha-1"),
            ("Authorization: Bearer ALPHA-1",),
        )
        for headers in odd:
            self.assertEqual(await self.ask("/read/1", *headers), 401, headers)
        self.assertEqual(self.endpoint.received_requests, [])

    async def test_public_route_needs_no_key_and_passes_none_on(self) -> None:
        for headers in ((), ("Authorization: Bearer nobody",), ("Authorization: Bearer alpha-1",)):
            self.assertEqual(await self.ask("/open/1", *headers), 200)
            self.assertNotIn("authorization", self.endpoint.received_requests[-1].headers)
        self.assertEqual(self.endpoint.received_requests[-1].headers["tenant"], "alpha")

    async def test_keys_move_with_the_version(self) -> None:
        changed = {"alpha": {"apiKeys": ["alpha-2"]}, "gamma": {"apiKeys": ["alpha-1"]}}
        self.store.put("op/config", build_configuration(2, **changed))
        await self.wait_until(lambda: self.gateway.state.table.version == 2)
        self.assertEqual(await self.ask("/read/1", "Authorization: Bearer alpha-1"), 200)
        self.assertEqual(self.endpoint.received_requests[-1].headers["tenant"], "gamma")
        self.store.put("op/config", build_configuration(1))
        self.store.put(
            "op/config",
            build_configuration(3, gamma={"apiKeys": []}, **{"alpha": {"apiKeys": ["alpha-2"]}}),
        )
        await self.wait_until(lambda: self.gateway.state.table.version == 3)
        self.assertEqual(await self.ask("/read/1", "Authorization: Bearer alpha-1"), 401)

    # Guards against any key being served, and passed on, once no workspace is left (review/8).
    async def test_without_any_workspace_every_key_is_unknown(self) -> None:
        follower = await self.add_gateway("daemon-2", seeds=(self.gateway.settings.control,))
        await self.wait_until_ready(follower)
        self.store.put("op/config", build_configuration(2) | {"tenants": {}})
        for gateway in (self.gateway, follower):
            await self.wait_until(lambda g=gateway: g.state.table.version == 2)
            for key in ("alpha-1", "nobody"):
                content = build_request("/read/1", f"Authorization: Bearer {key}")
                status, _, _ = await self.send_request(gateway, content)
                self.assertEqual(status, 401)
        self.assertEqual(self.endpoint.received_requests, [])
        self.assertEqual(await self.ask("/open/1", "Authorization: Bearer alpha-1"), 200)
        self.assertNotIn("authorization", self.endpoint.received_requests[-1].headers)

    # Guards against a malformed table of workspaces replacing the one in force.
    async def test_malformed_workspaces_leave_the_version_before_in_force(self) -> None:
        self.store.put("op/config", build_configuration(2) | {"tenants": None})
        self.store.put("op/evacuate/south-1", {})
        await self.wait_until(lambda: self.gateway.registry.evacuated_zones)
        self.assertEqual(self.gateway.state.table.version, 1)
        self.assertEqual(await self.ask("/read/1", "Authorization: Bearer nobody"), 401)
        self.assertEqual(await self.ask("/read/1", "Authorization: Bearer alpha-1"), 200)

    async def test_homes_of_route_and_workspace_both_bind(self) -> None:
        self.assertEqual(await self.ask("/read/1", "Authorization: Bearer beta-1"), 503)
        south = await self.add_endpoint("two", zone="south-1")
        await self.wait_until_ready(self.gateway)
        self.assertEqual(await self.ask("/read/1", "Authorization: Bearer beta-1"), 200)
        self.assertEqual(len(south.received_requests), 1)
        document = build_configuration(2)
        document["routes"]["read"]["homeRegions"] = ["north"]
        self.store.put("op/config", document)
        await self.wait_until(lambda: self.gateway.state.table.version == 2)
        self.assertEqual(await self.ask("/read/1", "Authorization: Bearer beta-1"), 503)
        self.assertEqual(len(south.received_requests), 1)

    async def test_keys_are_in_no_log_line_and_no_metric(self) -> None:
        lines: list[str] = []
        self.gateway.log._emit_line = lambda event, fields: lines.append(f"{event} {fields}")
        for key in ("alpha-1", "nobody-1"):
            await self.ask("/read/1", f"Authorization: Bearer {key}")
        await self.ask("/none/1", "Authorization: Bearer alpha-1")
        metrics = self.gateway.metrics.to_prometheus(self.gateway.collect_gauges())
        self.assertTrue(lines)
        for text in (*lines, metrics):
            self.assertNotIn("alpha-1", text)
            self.assertNotIn("nobody-1", text)


class WithoutWorkspacesTest(DeploymentCase):
    async def test_credentials_belong_to_the_endpoint(self) -> None:
        endpoint = await self.add_endpoint("one")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        content = build_request("/read/1", "Authorization: Bearer its-own", "Tenant: theirs")
        status, _, _ = await self.send_request(gateway, content)
        self.assertEqual(status, 200)
        seen = endpoint.received_requests[-1].headers
        self.assertEqual((seen["authorization"], seen["tenant"]), ("Bearer its-own", "theirs"))
