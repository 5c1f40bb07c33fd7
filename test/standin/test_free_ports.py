"""Tests of drawing free ports."""

import random
import socket
import unittest
from unittest import mock

from standin.free_ports import _PORT_RANGE, find_free_ports


class FreePortsTest(unittest.TestCase):
    """Guards against test runs side by side that draw the same port.

    Both bind it only later, when their servers start, and one of them fails.
    """

    def draw(self, *numbers):
        rng = mock.Mock(choice=mock.Mock(side_effect=numbers))
        with mock.patch.object(random, "SystemRandom", lambda: rng):
            return find_free_ports(1)

    def test_drawn_port_is_not_drawn_again(self):
        first, second = find_free_ports(2)
        self.assertEqual(self.draw(first, second, 31_999), [31_999])

    def test_port_reserved_by_another_process_is_left_out(self):
        with socket.socket(type=socket.SOCK_DGRAM) as reservation:
            reservation.bind(("127.0.0.1", 0))
            port = reservation.getsockname()[1]
            self.assertEqual(self.draw(port, 31_998), [31_998])

    def test_port_of_a_server_is_left_out(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            port = server.getsockname()[1]
            self.assertEqual(self.draw(port, 31_997), [31_997])

    def test_server_can_listen_on_a_reserved_port(self):
        (port,) = find_free_ports(1)
        self.assertIn(port, _PORT_RANGE)
        with socket.create_server(("127.0.0.1", port)):
            pass
