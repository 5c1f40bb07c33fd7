"""Tests of what strangers and malformed peers are answered."""

import asyncio
from unittest.mock import patch

from radishstile.wire import handshake
from radishstile.wire.codec import Envelope, decode, encode
from radishstile.wire.frames import FRAME_LIMIT_BYTES, build_frame, read_frame
from radishstile.wire.messages.control import Hello, Proof
from radishstile.wire.messages.fleet import Heartbeat, HeartbeatReply
from test.wire._common import SECRET_BYTES, PeerTestCase, make_member


async def echo(message, exchange):
    await exchange.send(HeartbeatReply(statement=message.statement))


def make_hello(protocol: int = handshake.PROTOCOL) -> Hello:
    member = make_member("a").to_record()
    return Hello(
        protocol=protocol, member=member, nonce=bytes(32), credit_parts=16
    )


def make_frame(message, exchange: int = 0, incarnation: int = 1) -> bytes:
    return build_frame(encode(Envelope(incarnation, exchange, message)))


class HandshakeTest(PeerTestCase):
    async def asyncSetUp(self):
        self.client, self.server = await self.connect(echo)
        self.counters = self.server._counters

    async def dial(self):
        return await asyncio.open_connection("127.0.0.1", self.server.port)

    async def prove(self, reader, writer, proof: bytes | None = None):
        mine = make_hello()
        writer.write(make_frame(mine))
        theirs = decode_message(await read_frame(reader))
        proof = proof or handshake.sign(SECRET_BYTES, "dialler", mine, theirs)
        writer.write(make_frame(Proof(digest=proof)))
        return mine, theirs

    async def check_refused(self, reader, handshakes=0, frames=0):
        """Check that the stream ended and that the other peer is well."""
        async with asyncio.timeout(10):
            await reader.read()
        self.assertTrue(reader.at_eof())
        self.assertEqual(self.counters.refused_handshakes, handshakes)
        self.assertEqual(self.counters.refused_frames, frames)
        reply = await self.client.ask(Heartbeat(statement=[1]), 5)
        self.assertEqual(reply.statement, [1])
        self.assertEqual(self.client._counters.reconnects, 0)

    async def test_proved_peer_is_heard(self):
        reader, writer = await self.dial()
        await self.prove(reader, writer)
        await read_frame(reader)
        writer.write(make_frame(Heartbeat(statement=[5]), exchange=1))
        reply = decode_message(await read_frame(reader))
        self.assertEqual(reply.statement, [5])
        writer.close()

    async def test_wrong_protocol(self):
        reader, writer = await self.dial()
        writer.write(make_frame(make_hello(protocol=99)))
        await self.check_refused(reader, handshakes=1)

    async def test_wrong_proof_gets_no_proof(self):
        reader, writer = await self.dial()
        await self.prove(reader, writer, proof=bytes(32))
        self.assertEqual(await reader.read(), b"")
        await self.check_refused(reader, handshakes=1)

    async def test_proof_of_the_listener_cannot_be_sent_back(self):
        reader, writer = await self.dial()
        mine = make_hello()
        writer.write(make_frame(mine))
        theirs = decode_message(await read_frame(reader))
        proof = handshake.sign(SECRET_BYTES, "listener", mine, theirs)
        writer.write(make_frame(Proof(digest=proof)))
        await self.check_refused(reader, handshakes=1)

    async def test_message_before_the_proof_is_not_heard(self):
        reader, writer = await self.dial()
        writer.write(make_frame(Heartbeat(statement=[5]), exchange=1))
        await self.check_refused(reader, handshakes=1)

    async def test_large_frame_before_the_proof(self):
        reader, writer = await self.dial()
        writer.write((5000).to_bytes(4, "big"))
        await self.check_refused(reader, handshakes=1)

    async def test_malformed_member(self):
        hello = make_hello()
        hello.member["peer_port"] = "80"
        reader, writer = await self.dial()
        writer.write(make_frame(hello))
        await self.check_refused(reader, handshakes=1)

    async def test_silent_stranger_is_closed_after_five_seconds(self):
        reader, _ = await self.dial()
        start = self.now
        await self.check_refused(reader, handshakes=1)
        self.assertAlmostEqual(self.now - start, 5.0, delta=0.2)

    async def test_bad_frames_of_a_proved_peer_end_its_connection(self):
        too_large = (FRAME_LIMIT_BYTES + 1).to_bytes(4, "big")
        unknown_type = build_frame(b"\x94\x01\x01\xcd\x03\xe7\x90")
        foreign = make_frame(Heartbeat(statement=[5]), 1, incarnation=2)
        for count, frame in enumerate((too_large, unknown_type, foreign), 1):
            reader, writer = await self.dial()
            await self.prove(reader, writer)
            await read_frame(reader)
            writer.write(frame)
            await self.check_refused(reader, frames=count)

    async def test_dialler_with_wrong_secret_never_connects(self):
        stranger = self.start_client(self.server.port, secret="guess")
        with self.assertRaises(TimeoutError):
            await stranger.wait_connected(1)
        self.assertIsNone(stranger.peer_member)
        self.assertGreater(stranger._counters.refused_handshakes, 0)
        self.assertGreater(self.counters.refused_handshakes, 0)

    async def test_dialler_refuses_another_host_at_the_address(self):
        client = self.start_client(self.server.port, host="c")
        with self.assertRaises(TimeoutError):
            await client.wait_connected(1)
        self.assertIsNone(client.peer_member)

    async def test_newer_incarnation_is_shown(self):
        await self.server.stop()
        self.server._me = make_member("b", self.client.peer.peer_port, 2)
        self.server._is_stopping = False
        await self.server.start()
        await self.client.wait_connected(20)
        self.assertEqual(self.client.peer.incarnation, 1)
        self.assertEqual(self.client.peer_incarnation, 2)

    async def test_one_log_line_for_a_peer_that_stays_away(self):
        await self.server.stop()
        with patch("radishstile.wire.client.logger") as logger:
            await asyncio.sleep(100)
        self.assertLessEqual(logger.warning.call_count, 2)


def decode_message(content: bytes):
    return decode(content).message
