"""The command `explain` for requests to a gateway."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import pathlib
import tempfile
import unittest
from unittest import mock

from lycheepin.cli.commands import EXIT_OK, EXIT_REFUSED, EXIT_UNREACHABLE, EXIT_USAGE, main
from tests.gateway.deployment import DeploymentCase
from tests.gateway.test_workspaces import build_configuration
from tests.steering.test_explaining import Daemon

# How lines begin that the command prints to standard error; the event loop of the test also writes
# there, of callbacks that take long.
OWN_LINES = ("lycheepin:", "usage:", "Traceback")
REQUEST = ("--host", "a.example", "--path", "/read/1?q=2", "--object", "7")


def run(*arguments: str, typed: str = "") -> tuple[int, str, str]:
    """Returns the exit status of `explain` and what it prints to each stream."""
    output, errors = io.StringIO(), io.StringIO()
    with (
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(errors),
        mock.patch("sys.stdin", io.StringIO(typed)),
    ):
        try:
            status = main(["explain", *arguments])
        except SystemExit as error:  # argparse
            status = int(str(error.code))
    return status, output.getvalue(), errors.getvalue()


class ExplainFromFile(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.saved = str(self.folder / "state.json")
        pathlib.Path(self.saved).write_bytes(Daemon().capture(1.0).encode())

    def test_saved_state_is_explained_as_text_and_as_json(self) -> None:
        status, text, _ = run("--state", self.saved, *REQUEST, "--workspace", "alpha")
        self.assertEqual(status, EXIT_OK)
        for part in ("version 5", "read (idempotent)", "alpha", "quota 5", "goes to", "south-1"):
            self.assertIn(part, text)
        status, text, _ = run("--state", self.saved, *REQUEST, "--workspace", "alpha", "--json")
        (service,) = json.loads(text)["explanation"]["services"]
        self.assertEqual((status, len(service["candidates"])), (EXIT_OK, 6))
        status, text, _ = run(
            "--state", "-", *REQUEST, typed=pathlib.Path(self.saved).read_text(encoding="utf-8")
        )
        self.assertEqual(status, EXIT_OK)
        self.assertIn("401 unknown_key", text)

    def test_bad_input_gets_an_error_and_a_status(self) -> None:
        flawed = self.folder / "flawed.json"
        flawed.write_text('{"form": 1}', encoding="utf-8")
        key = self.folder / "key"
        key.write_text("two\nlines", encoding="utf-8")
        on_saved = ("--state", self.saved, *REQUEST)
        for arguments, expected in (
            (("--state", str(flawed), *REQUEST), EXIT_REFUSED),
            (("--state", str(self.folder / "none"), *REQUEST), EXIT_REFUSED),
            (("--state", self.saved), EXIT_USAGE),
            (("fleet/service",), EXIT_USAGE),
            (("fleet/service", "127.0.0.1", *on_saved), EXIT_USAGE),
            ((*on_saved, "--gateway", "127.0.0.1:1"), EXIT_USAGE),
            ((*on_saved, "--time-left", "0"), EXIT_USAGE),
            ((*on_saved, "--time-left", "soon"), EXIT_USAGE),
            ((*on_saved, "--save", str(self.folder / "none" / "x")), EXIT_REFUSED),
            ((*on_saved, "--workspace-key-file", str(key)), EXIT_REFUSED),
            ((*on_saved, "--workspace-key-file", "-"), EXIT_REFUSED),
            (("--gateway", "127.0.0.1:1", *REQUEST), EXIT_UNREACHABLE),
            (("--gateway", "nowhere", *REQUEST), EXIT_UNREACHABLE),
        ):
            with self.subTest(arguments):
                status, text, errors = run(*arguments)
                self.assertEqual((status, text), (expected, ""))
                self.assertTrue(errors.strip())
                self.assertNotIn("Traceback", errors)


class ExplainFromGateway(DeploymentCase):
    async def test_gateway_is_asked_and_sends_nothing(self) -> None:
        self.store.put("op/config", build_configuration())
        endpoint = await self.add_endpoint("one")
        gateway = await self.add_gateway()
        await self.wait_until_ready(gateway)
        control = ("--gateway", str(gateway.settings.control))
        with tempfile.TemporaryDirectory() as folder:
            saved = str(pathlib.Path(folder) / "state.json")
            for arguments, typed, expected in (
                (("--workspace", "alpha"), "", "goes to one"),
                (("--workspace-key-file", "-"), "alpha-2\n", "goes to one"),
                (("--workspace-key-file", "-"), "nobody\n", "401"),
                (("--workspace", "beta", "--save", saved), "", "503 no_capacity"),
                ((), "", "401"),
            ):
                with self.subTest(arguments, typed=typed):
                    status, text, errors = await asyncio.to_thread(
                        run, *control, *REQUEST, *arguments, typed=typed
                    )
                    printed = [line for line in errors.splitlines() if line.startswith(OWN_LINES)]
                    self.assertEqual((status, printed), (EXIT_OK, []))
                    self.assertIn(expected, text)
                    self.assertNotIn("alpha-2", text)
            self.assertNotIn("alpha-2", pathlib.Path(saved).read_text(encoding="utf-8"))
            _, text, _ = run("--state", saved, *REQUEST, "--workspace", "alpha")
            self.assertIn("goes to one", text)
        self.assertEqual(endpoint.received_requests, [])
        self.assertEqual(gateway.metrics.to_prometheus({}).count("answers"), 0)
