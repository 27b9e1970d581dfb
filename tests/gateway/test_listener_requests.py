"""Requests on one connection: offers to upgrade it, and what follows a request on it."""

from __future__ import annotations

import asyncio

from tests.gateway.deployment import DeploymentCase, read_answer, request

H2C = {"Connection": "Upgrade, HTTP2-Settings", "Upgrade": "h2c", "HTTP2_Settings": "AAMAAABk"}


class OffersToUpgrade(DeploymentCase):
    # Guards against clients that offer HTTP/2 by default being refused with 400.
    async def test_request_that_offers_an_upgrade_is_served_without_it(self) -> None:
        endpoint = await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        front = gateway.settings.front
        reader, writer = await asyncio.open_connection(front.host, front.port)
        offered = [
            request("/read/1", "GET", "r0", **H2C),
            request("/read/2", "GET", "r1", **H2C),
            request("/read/1", "GET", "r2"),
        ]
        for number, content in enumerate([*offered, b"".join(offered)]):
            writer.write(content)
            for identifier in [f"r{number}"] if number < 3 else ["r0", "r1", "r2"]:
                status, headers, _ = await read_answer(reader)
                self.assertEqual((status, headers["request-id"]), (200, identifier))
        writer.close()
        self.assertEqual(len(endpoint.received_requests), 6)
        self.assertFalse(any("upgrade" in r.headers for r in endpoint.received_requests))

    # Guards against the body of such a request being read as the next request.
    async def test_offer_to_upgrade_with_a_body_is_refused(self) -> None:
        endpoint = await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        hidden = request("/order/2", "POST", "r2")
        for headers in (H2C, H2C | {"Content_Length": "0"}):
            content = request("/order/1", "POST", "r1", hidden, **headers)
            status, _, _ = await self.send_request(gateway, content)
            self.assertEqual(status, 400)
        self.assertEqual(endpoint.received_requests, [])

    async def test_connect_is_refused(self) -> None:
        await self.add_endpoint("a")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        content = request("a.example:443", "CONNECT", "r1")
        status, _, _ = await self.send_request(gateway, content)
        self.assertEqual(status, 400)
