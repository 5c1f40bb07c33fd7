"""Tests of drawing free ports."""

import itertools
import random
import socket
import unittest
from unittest import mock

from standin.free_ports import _PORT_RANGE, find_free_ports


class FreePortsTest(unittest.TestCase):
    """Guards against test runs side by side that draw the same port.

    Both bind it only later, when their servers start, and one of them fails.
    """

    def assert_left_out(self, *ports):
        """Draw `ports` first, and check that none of them is returned."""
        draws = itertools.chain(ports, reversed(_PORT_RANGE))
        rng = mock.Mock(choice=mock.Mock(side_effect=draws))
        with mock.patch.object(random, "SystemRandom", lambda: rng):
            (found,) = find_free_ports(1)
        self.assertNotIn(found, ports)
        self.assertIn(found, _PORT_RANGE)

    def test_drawn_port_is_not_drawn_again(self):
        first, second = find_free_ports(2)
        self.assert_left_out(first, second)

    def test_port_reserved_by_another_process_is_left_out(self):
        with socket.socket(type=socket.SOCK_DGRAM) as reservation:
            reservation.bind(("127.0.0.1", 0))
            port = reservation.getsockname()[1]
            self.assert_left_out(port)

    def test_port_of_a_server_is_left_out(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            port = server.getsockname()[1]
            self.assert_left_out(port)

    def test_server_can_listen_on_a_reserved_port(self):
        (port,) = find_free_ports(1)
        self.assertIn(port, _PORT_RANGE)
        with socket.create_server(("127.0.0.1", port)):
            pass
