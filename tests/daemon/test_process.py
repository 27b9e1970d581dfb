"""Tests of the listening socket of the daemon process."""

import socket
import unittest

from lycheepin.daemon.process import listen


class ListenTest(unittest.TestCase):
    def test_listener_uses_ipproto_tcp_so_that_asyncio_sets_nodelay(self) -> None:
        listener = listen("127.77.0.2", 0)
        self.addCleanup(listener.close)
        self.assertEqual(listener.proto, socket.IPPROTO_TCP)

    def test_listening_twice_at_one_address_raises_os_error(self) -> None:
        listener = listen("127.77.0.2", 0)
        self.addCleanup(listener.close)
        with self.assertRaises(OSError):
            listen("127.77.0.2", listener.getsockname()[1])
