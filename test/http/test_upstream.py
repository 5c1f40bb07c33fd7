"""Tests of the bytes that are forwarded between callers and upstreams."""

import asyncio

from radishstile.http import headers as names
from test._common import PausedTestCase
from test.daemon._fleet import ADDRESS, Fleet

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
LARGE_BYTES = 5_000_000


class ScriptedUpstream:
    """Answers each request with the same bytes and records its head."""

    def __init__(self):
        self.answer = ANSWER
        self.heads: list[bytes] = []
        self.is_closing = False

    async def serve(self, reader, writer) -> None:
        """Serve one connection."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if head.startswith((b"GET /health", b"GET /load")):
                    answer = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0"
                    writer.write(answer + b"\r\n\r\n")
                    continue
                self.heads.append(head)
                writer.write(self.answer)
                if self.is_closing:
                    writer.close()
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


class ForwardingTest(PausedTestCase):
    """Requests and answers are unchanged except for hop-by-hop headers."""

    async def asyncSetUp(self):
        self.upstream = ScriptedUpstream()
        self.fleet = await self.enterAsyncContext(Fleet(2))
        server = await asyncio.start_server(self.upstream.serve, ADDRESS)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        patch = {
            "groups": {
                "sliparchive": {
                    "upstreams": {
                        "archive-1": None,
                        "archive-2": {"port": port},
                    }
                }
            }
        }
        await self.fleet.operate("patch", from_version=3, patch=patch)
        for host in self.fleet.hosts:
            await self.fleet.wait(
                lambda host=host: self.fleet.is_ready(host), "not ready"
            )

    async def send(self, method: str, path: str, lines=(), host="") -> bytes:
        """Return the complete answer to a request, as bytes."""
        port = self.fleet.ports[host or self.fleet.hosts[0]][1]
        reader, writer = await asyncio.open_connection(ADDRESS, port)
        lines = [*lines, "Connection: close"]
        writer.write(self.format_head(method, path, lines))
        answer = await reader.read()
        writer.close()
        return answer

    def format_head(self, method: str, path: str, lines=()) -> bytes:
        """Return the head of a request with a valid key."""
        key = names.BEARER_PREFIX + self.fleet.keys["employer"]
        lines = [f"{method} {path} HTTP/1.1", "Host: x", *lines]
        return "\r\n".join(
            [*lines, f"{names.AUTHORIZATION}: {key}", "", ""]
        ).encode()

    async def test_forwards_paths_unchanged(self):
        path = "/slips/%C3%A9%20%2B?a=%2F&b=1+2&c=%zz"
        for host in self.fleet.hosts:
            answer = await self.send("GET", path, host=host)
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
        lines = [head.partition(b"\r\n")[0] for head in self.upstream.heads]
        self.assertEqual(lines, [f"GET {path} HTTP/1.1".encode()] * 2)

    async def test_drops_hop_by_hop_headers_and_the_key(self):
        sent = ["Connection: X-Hop, close", "X-Hop: 1", "TE: trailers"]
        sent += ["X-Workspace: other", "X-Tag: a", "X-Tag: b"]
        self.upstream.answer = (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: X-Back\r\n"
            b"X-Back: 1\r\nX-Radishstile-Outcome: not-run\r\n\r\nok"
        )
        for host in self.fleet.hosts:
            answer = await self.send("GET", "/slips/1", sent, host)
            self.assertNotIn(b"X-Back", answer)
            self.assertIn(b"X-Radishstile-Outcome: ran", answer)
            head = self.upstream.heads.pop().lower()
            for hidden in (b"x-hop", b"te: ", b"authorization", b"other"):
                self.assertNotIn(hidden, head)
            self.assertIn(b"x-tag: a\r\nx-tag: b\r\n", head)
            self.assertIn(b"x-workspace: employer\r\n", head)

    async def test_keeps_the_length_and_repeated_headers(self):
        self.upstream.answer = (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
            b"Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n\r\nok"
        )
        for host in self.fleet.hosts:
            answer = await self.send("GET", "/slips/1", host=host)
            self.assertIn(b"Content-Length: 2\r\n", answer)
            self.assertIn(b"Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n", answer)
            self.assertTrue(answer.endswith(b"\r\n\r\nok"), answer)

    async def test_answer_with_status_000_is_lost(self):
        # Guards against numbers that are no status, passed on as answers.
        for status in (b"000", b"099", b"600", b"999"):
            self.upstream.answer = ANSWER.replace(b"200", status, 1)
            with self.subTest(status):
                answer = await self.send("GET", "/slips/1")
                self.assertRegex(answer, rb"^HTTP/1.1 50[23] ")

    async def test_forwards_chunked_answers(self):
        self.upstream.answer = (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nok\r\n0\r\n\r\n"
        )
        for host in self.fleet.hosts:
            answer = await self.send("GET", "/slips/1", host=host)
            self.assertNotIn(b"Content-Length", answer)
            self.assertTrue(answer.endswith(b"2\r\nok\r\n0\r\n\r\n"))

    async def test_answers_a_head_request_without_a_body(self):
        self.upstream.answer = ANSWER.removesuffix(b"ok")
        for host in self.fleet.hosts:
            answer = await self.send("HEAD", "/slips/1", host=host)
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
            self.assertIn(b"Content-Length: 2\r\n", answer)
            self.assertTrue(answer.endswith(b"\r\n\r\n"), answer)

    async def test_forwards_answers_without_a_body(self):
        for status in (b"204 No Content", b"304 Not Modified"):
            head = b"HTTP/1.1 " + status + b'\r\nETag: "1"\r\n\r\n'
            self.upstream.answer = head
            for host in self.fleet.hosts:
                answer = await self.send("GET", "/slips/1", host=host)
                self.assertTrue(answer.startswith(head[:12]), answer)
                self.assertIn(b'ETag: "1"', answer)
                self.assertNotIn(b"Transfer-Encoding", answer)
                self.assertTrue(answer.endswith(b"\r\n\r\n"), answer)

    async def test_aborts_an_answer_shorter_than_its_length(self):
        size = LARGE_BYTES
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n"
        self.upstream.answer = head.encode() + bytes(size // 2)
        self.upstream.is_closing = True
        for host in self.fleet.hosts:
            answer = await self.send("GET", "/slips/1", host=host)
            self.assertIn(f"Content-Length: {size}\r\n".encode(), answer)
            self.assertLess(len(answer), size)
        self.assertEqual(len(self.upstream.heads), 2)

    async def test_serves_pipelined_requests(self):
        port = self.fleet.ports[self.fleet.hosts[0]][1]
        reader, writer = await asyncio.open_connection(ADDRESS, port)
        refused = ["Content-Length: 5"]
        writer.write(
            self.format_head("POST", "/nowhere", refused)
            + b"12345"
            + self.format_head("GET", "/slips/1")
            + self.format_head("GET", "/slips/2")
        )
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertIn(b" 404 ", head)
        for number in (b"1", b"2"):
            await reader.readuntil(b"HTTP/1.1 200")
            await reader.readuntil(b"\r\n\r\nok")
            line = b"GET /slips/" + number + b" HTTP/1.1"
            self.assertTrue(self.upstream.heads.pop(0).startswith(line))
        writer.close()

    async def test_serves_the_next_request_after_refusing_an_unread_body(self):
        port = self.fleet.ports[self.fleet.hosts[0]][1]
        reader, writer = await asyncio.open_connection(ADDRESS, port)
        size = 300_000
        refused = [f"Content-Length: {size}"]
        writer.write(self.format_head("POST", "/nowhere", refused))
        writer.write(bytes(size // 2))
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertIn(b" 404 ", head)
        writer.write(bytes(size // 2))
        writer.write(self.format_head("GET", "/slips/1"))
        await reader.readuntil(b"HTTP/1.1 200")
        await reader.readuntil(b"\r\n\r\nok")
        writer.close()

    async def test_streams_large_answers_across_hosts(self):
        for host in self.fleet.hosts:
            path = f"/payruns/1?size={LARGE_BYTES}"
            sent = await self.fleet.send("GET", path, host=host)
            self.assertEqual((sent.status, sent.outcome), (200, "ran"))
            self.assertEqual(sent.body, bytes(LARGE_BYTES))
