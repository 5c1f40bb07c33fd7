"""A planned stop cuts answers that a pipelining client still receives."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lab_2"))

from lab import (  # noqa: E402
    Backend,
    Caller,
    Lab,
    Message,
    run_case,
)

# `bundle-fetch` of `sites/kowhai-slips.toml`: answers of up to 540,000 bytes,
# a deadline of 2,500 ms; `payrun-lookup`: 3,000 ms.
SIZE = 160_000
DEADLINE_MS = 2500
LOOKUP_DEADLINE_MS = 3000
GRACE_S = 6
CLIENTS = 8
# A client reads 4 KiB each 40 ms, 100 KB a second, without a pause.
BUFFER_BYTES = 24_576
READ_BYTES = 4096
PAUSE_S = 0.04
# From the SIGTERM to the first request, and to the further one behind it.
FIRST_S = 0.3
FURTHER_S = 0.8


class Press(Backend):
    """A backend with long answers on the download route."""

    async def answer(self, request: Message, writer) -> None:
        """Write an answer of the route's size."""
        size = SIZE if "/load/" in request.first else 1500
        writer.write(self.format(request, 200, b"x" * size))
        await writer.drain()


class Client:
    """A client that reads slowly but steadily, and pipelines."""

    def __init__(self, lab: Lab, host, number: int):
        self.lab = lab
        self.host = host
        self.names = [f"{kind}-{number}" for kind in ("load", "look", "next")]
        self.whole: set[str] = set()
        self._received = bytearray()
        self._caller: Caller | None = None

    async def keep(self) -> None:
        """Open a connection and use it once."""
        self._caller = await Caller.connect(
            self.lab.record, self.host, BUFFER_BYTES
        )
        name = f"keep-{self.names[0]}"
        self._caller.send(name, deadline_ms=LOOKUP_DEADLINE_MS)
        await self._caller.receive(name, 3)

    async def run(self) -> None:
        """Send two requests and a further one, and read all the time."""
        self._send(0, "/load/1", DEADLINE_MS)
        self._send(1, "/read/1", LOOKUP_DEADLINE_MS)
        reading = asyncio.create_task(self._read())
        await asyncio.sleep(FURTHER_S - FIRST_S)
        # A client stops once it has seen that the connection ends.
        if b"connection: close" not in self._received.lower():
            self._send(2, "/read/2", LOOKUP_DEADLINE_MS)
        await reading
        self._caller.close()

    def _send(self, step: int, path: str, deadline_ms: int) -> None:
        name = self.names[step]
        self._caller.send(name, path=path, deadline_ms=deadline_ms)

    async def _read(self) -> None:
        began_at = time.monotonic()
        reader = self._caller.reader
        ended = "all answers received"
        while not self._take_answers():
            try:
                part = await asyncio.wait_for(reader.read(READ_BYTES), 3)
            except ConnectionError:
                part = b""
            except TimeoutError:
                ended = "no more bytes"
                break
            if not part:
                ended = "closed"
                break
            self._received += part
            await asyncio.sleep(PAUSE_S)
        took_s = time.monotonic() - began_at
        self.lab.record.add(
            f"client of {self.names[0]}: {ended} after {took_s:.2f} s, whole:"
            f" {sorted(self.whole)}, left over: {len(self._received)} bytes"
        )

    def _take_answers(self) -> bool:
        """Take whole answers off what was received; return if it is all."""
        while True:
            head, separator, rest = bytes(self._received).partition(
                b"\r\n\r\n"
            )
            if not separator:
                break
            fields = dict(
                line.lower().split(b": ", 1)
                for line in head.split(b"\r\n")[1:]
            )
            size = int(fields[b"content-length"])
            if len(rest) < size:
                break
            self.whole.add(fields.get(b"x-request-id", b"").decode())
            del self._received[: len(head) + 4 + size]
            if fields.get(b"connection") == b"close":
                return True
        return set(self.names) <= self.whole


async def play(lab: Lab) -> bool:
    """Stop a host while clients receive their answers."""
    backends = [Press(lab.record, f"i-{n}", f"127.8.0.{n}") for n in (1, 2, 3)]
    await lab.start(["akl-a", "akl-a"], backends)
    host = lab.hosts[1]
    clients = [Client(lab, host, number) for number in range(CLIENTS)]
    await asyncio.gather(*(client.keep() for client in clients))
    if lab.has_trouble:
        lab.record.add(f"SIGTERM to {host.name}")
        host.signal(signal.SIGTERM)
        asyncio.get_running_loop().call_later(GRACE_S, kill, host)
    await asyncio.sleep(FIRST_S)
    await asyncio.gather(*(client.run() for client in clients))
    ran = {name for backend in backends for name in backend.runs}
    lost = [
        name
        for client in clients
        for name in client.names
        if name in ran and name not in client.whole
    ]
    text = f"run and not answered whole: {len(lost)} {sorted(lost)}"
    lab.record.add(text)
    print(text)
    return not lost


def kill(host) -> None:
    """Kill the process as the platform does at the end of `grace_s`."""
    if host.process.returncode is None:
        host.signal(signal.SIGKILL)


if __name__ == "__main__":
    run_case(FOLDER, play)
