import asyncio
import unittest

from lycheepin.gateway.load_report import LoadReport, decode_load_report
from standins.servers import ReceivedRequest, build_answer
from tests.gateway.deployment import DeploymentCase, request


class Decoding(unittest.TestCase):
    def test_three_four_and_more_figures_are_read(self) -> None:
        for value, slowness in (
            (b"3,1,8", None),
            (b" 3 ,\t1, 8 ", None),
            (b"3,1,8,250", 2.5),
            (b"3,1,8, 62.5 ", 0.625),
            (b"3,1,8,100,7,x,,", 1.0),
        ):
            self.assertEqual(decode_load_report(value), LoadReport(3, 1, 8, slowness), value)

    def test_bad_fourth_figure_leaves_the_first_three(self) -> None:
        for bad in ("", " ", "0", "-250", "x", "nan", "inf", "1e3", "250%", "9" * 12, "9" * 400):
            report = decode_load_report(f"3,1,8,{bad}".encode())
            self.assertEqual(report, LoadReport(3, 1, 8, None), bad)

    def test_report_whose_first_three_figures_cannot_be_read_says_nothing(self) -> None:
        for value in ("", ",", "3,1", "3,,8,250", "3,-1,8,250", "x,1,8,100", "3;1;8", "3,1,1e9"):
            self.assertIsNone(decode_load_report(value.encode()), value)


class FourFigures(DeploymentCase):
    """A fourth figure made the whole report unreadable: refusals counted as for lack of slots."""

    async def test_all_figures_of_a_report_reach_the_endpoint_that_sent_it(self) -> None:
        async def refuse(received: ReceivedRequest) -> bytes:
            load = "1,0,4,400"
            return build_answer(received, 503, Not_Executed="1", Server_Load=load)

        await self.add_endpoint("a", refuse, slots=4)
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        await self.send_request(gateway, request("/order/1", "POST", "r1"))
        endpoint = next(iter(gateway.registry.all()))
        self.assertTrue(endpoint.reports_slowness)
        now_s = asyncio.get_running_loop().time()
        self.assertLess(endpoint.other_requests(now_s), 1.0, "three of its four slots were free")
