"""Tests of how long a byte stream waits for a peer that takes nothing."""

import socket
import struct
import unittest
from unittest.mock import MagicMock, patch

from radishstile.http import stream as module
from radishstile.http.stream import ByteStream

SLOW_MS, USUAL_MS = 60_000, 3000


class UserTimeoutTest(unittest.TestCase):
    def find_timeout(self, queued, in_flight, acknowledged_ms):
        """Return the user timeout in ms, given what the kernel tells."""
        raw = MagicMock()
        raw.getsockopt.return_value = struct.pack(
            "24xI28xI", in_flight, acknowledged_ms
        )
        stream = ByteStream()
        transport = MagicMock()
        transport.get_extra_info.return_value = raw
        transport.get_write_buffer_size.return_value = 0
        transport.is_closing.return_value = False
        stream.connection_made(transport)
        stream.write(b"x" * 1000)
        content = struct.pack("i", queued)
        with patch.object(module.fcntl, "ioctl", return_value=content):
            stream.adapt_user_timeout()
        level, option, timeout_ms = raw.setsockopt.call_args.args
        self.assertEqual(
            (level, option), (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        )
        return timeout_ms

    def test_peer_without_space_has_more_time_than_one_that_is_gone(self):
        # Guards against steady readers that the kernel cuts off, and against
        # connections that outlive a partition: the requests that they bring
        # are those of callers that have left.
        self.assertEqual(self.find_timeout(500, 0, 5000), SLOW_MS)
        self.assertEqual(self.find_timeout(500, 3, 200), SLOW_MS)
        self.assertEqual(self.find_timeout(500, 3, 2000), USUAL_MS)
        self.assertEqual(self.find_timeout(0, 0, 5000), USUAL_MS)
