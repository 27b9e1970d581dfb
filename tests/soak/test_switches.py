"""The switches of the stand-ins: the table of the proofs, and how a soak draws and shrinks them."""

import asyncio
import pathlib
import random
import re
import shutil
import tempfile
import unittest
from collections.abc import Sequence

import httptools

from lycheepin.gateway.store_entries import UnreadableEntry
from lycheepin.names import RegionName, ZoneName
from lycheepin.platform.entries import decode_entry
from soak.mutants import MUTANTS
from soak.switching import (
    MAX_DRAWN,
    MIN_DRAWN,
    ActiveSwitch,
    draw_switches,
    shrink_switches,
)
from standins.hostile import HostileEndpoint
from standins.messages import request
from standins.odd_entries import build_odd_entry
from standins.servers import EndpointStandIn, ReceivedRequest, build_answer
from standins.switches import SWITCHES, SwitchBoard
from tests.gateway.deployment import HOST

ROOT = pathlib.Path(__file__).resolve().parents[2]
SECONDS = 20.0


class Table(unittest.TestCase):
    # Guards against a promise of the pages that nothing plays, though the proofs say so.
    def test_table_of_the_proofs_has_the_switches_that_there_are(self) -> None:
        text = (ROOT / "docs" / "PROOFS.md").read_text(encoding="utf-8")
        rows = re.findall(r"^\|[^|]*\| `([a-z]+\.[a-z-]+)` \|", text, re.MULTILINE)
        self.assertEqual(sorted(rows), sorted(SWITCHES))

    def test_each_switch_is_asked_for_by_a_stand_in(self) -> None:
        sources = [
            path.read_text(encoding="utf-8")
            for folder in ("standins", "soak")
            for path in (ROOT / folder).glob("*.py")
            if path.name != "switches.py"
        ]
        missing = [name for name in SWITCHES if not any(f'"{name}"' in text for text in sources)]
        self.assertEqual(missing, [])


class Draw(unittest.TestCase):
    def test_draw_is_the_same_for_a_seed_and_covers_all_switches(self) -> None:
        drawn = {seed: draw_switches(seed, SECONDS) for seed in range(200)}
        self.assertEqual(drawn[3], draw_switches(3, SECONDS))
        names = {switch.name for switches in drawn.values() for switch in switches}
        self.assertEqual(names, set(SWITCHES))
        for switches in drawn.values():
            self.assertTrue(MIN_DRAWN <= len(switches) <= MAX_DRAWN)
            self.assertTrue(all(0 <= s.start_s < s.end_s <= SECONDS for s in switches))

    def test_switch_is_read_as_it_is_written(self) -> None:
        for seed in range(50):
            for switch in draw_switches(seed, SECONDS):
                self.assertEqual(ActiveSwitch.parse(str(switch)), switch)
        with self.assertRaises(ValueError):
            ActiveSwitch.parse("store.none=1@0-1")

    def test_board_has_the_doses_that_were_set(self) -> None:
        board = SwitchBoard(1)
        self.assertFalse(board.happens("endpoint.early"))
        self.assertEqual(board.count("store.short-history", 9), 9)
        board.set_dose("store.short-history", 0)
        self.assertEqual(board.count("store.short-history", 9), 0)
        board.set_dose("endpoint.early", 0.5)
        happened = sum(board.happens("endpoint.early") for _ in range(1000))
        self.assertTrue(400 < happened < 600)
        board.turn_off("endpoint.early")
        self.assertEqual(board.dose("endpoint.early"), 0.0)


class Shrink(unittest.IsolatedAsyncioTestCase):
    async def test_only_the_switches_that_are_needed_are_kept(self) -> None:
        switches = draw_switches(5, SECONDS)
        needed = {switches[0], switches[-1]}
        tries = 0

        async def fails(fewer: Sequence[ActiveSwitch]) -> bool:
            nonlocal tries
            tries += 1
            return needed <= set(fewer) and tries % 2 == 0

        self.assertEqual(set(await shrink_switches(switches, fails)), needed)


class OddEntries(unittest.TestCase):
    def test_odd_entries_name_no_endpoint(self) -> None:
        source = random.Random(7)
        entry = EndpointStandIn(HOST).build_entry("z") | {"address": f"{HOST}:80"}
        zones = {ZoneName("z"): RegionName("r")}
        for _ in range(5000):
            value = build_odd_entry(source, entry)
            self.assertIsInstance(decode_entry("servers/a", value, zones), UnreadableEntry, value)


class Mutants(unittest.TestCase):
    def test_each_mutant_changes_the_code_as_it_is(self) -> None:
        for mutant in MUTANTS:
            with tempfile.TemporaryDirectory() as name:
                path = pathlib.Path(name) / "lycheepin" / mutant.path
                path.parent.mkdir(parents=True)
                shutil.copy(ROOT / "lycheepin" / mutant.path, path)
                mutant.apply(pathlib.Path(name))
                self.assertIn(mutant.new, path.read_text(encoding="utf-8"))


class Bodies:
    """Collects the bodies of the answers on a connection, without interim ones."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.bodies: list[bytes] = []

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        if self.parser.get_status_code() >= 200:
            self.bodies.append(b"")

    def on_body(self, body: bytes) -> None:
        """Called by the parser."""
        self.bodies[-1] += body


class HostileEndpoints(unittest.IsolatedAsyncioTestCase):
    # Guards against a fault of the stand-in: an added answer that becomes a part of the body.
    async def test_answers_keep_their_bodies_in_whatever_way_they_are_sent(self) -> None:
        async def script(received: ReceivedRequest) -> bytes:
            return build_answer(received, 200, b"0123456789") * 2

        for name in ("endpoint.chunks", "endpoint.interim", "endpoint.odd-headers"):
            board = SwitchBoard(3)
            board.set_dose(name, 1.0)
            endpoint = HostileEndpoint(HOST, board, script)
            await endpoint.start()
            self.addCleanup(endpoint.close)
            reader, writer = await asyncio.open_connection(HOST, endpoint.port)
            writer.write(request())
            answers = Bodies()
            async with asyncio.timeout(20):
                while len(b"".join(answers.bodies)) < 20:
                    answers.parser.feed_data(await reader.read(1000))
            writer.close()
            self.assertEqual(answers.bodies, [b"0123456789"] * 2, name)
