"""Reading and writing HTTP/1.1 messages on asyncio streams."""

import asyncio

CHUNK_BYTES = 65_536


class Message:
    """A request or an answer; header names are in lower case."""

    def __init__(self, first_line: str, headers: dict[str, str], body: bytes):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first_line.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first_line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message, or None if the stream ended before it.

    Raises `ConnectionError` if the stream ends inside it.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first_line, *lines = head.decode("latin-1").split("\r\n")[:-2]
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = await _read_chunks(reader)
        else:
            length = int(headers.get("content-length", 0))
            body = await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise ConnectionResetError("the stream ended early") from error
    return Message(first_line, headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body


def encode_message(
    first_line: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return a message with the length of its body."""
    lines = [first_line]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
