"""Tests of the daemon process' sockets."""

import socket
import unittest

from lycheepin.daemon.process import listen


class ListenTest(unittest.TestCase):
    def test_listener_names_tcp_so_that_small_writes_are_not_delayed(self) -> None:
        listener = listen("127.77.0.2", 0)
        self.addCleanup(listener.close)
        self.assertEqual(listener.proto, socket.IPPROTO_TCP)

    def test_second_process_at_the_same_address_is_refused(self) -> None:
        listener = listen("127.77.0.2", 0)
        self.addCleanup(listener.close)
        with self.assertRaises(OSError):
            listen("127.77.0.2", listener.getsockname()[1])
