"""Clients that read slowly but steadily lose their answers."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lab_2"))

from lab import Backend, Caller, Lab, run_case  # noqa: E402

# `bundle-fetch` of `large/kowhai-slips-large.toml`: answers of up to 540,000
# bytes, a deadline of 10 s.
SIZE = 540_000
DEADLINE_MS = 10_000
CLIENTS = 8
# A slow client has a receive buffer of this size and reads without a pause of
# more than 50 ms, 80 KB a second: it has the whole answer after 7 s.
BUFFER_BYTES = 24_576
READ_BYTES = 4096
PAUSE_S = 0.05


async def play(lab: Lab) -> bool:
    """Fetch bundles while the settings file of the host changes."""
    route = lab.configuration["routes"]["r-load"]
    route.update(timeout_s=DEADLINE_MS / 1000, target_latency_s=1.2)
    backends = [
        Backend(lab.record, f"i-{n}", f"127.8.0.{n}") for n in (1, 2, 3)
    ]
    for backend in backends:
        backend.size = SIZE
    await lab.start(["akl-a", "akl-a"], backends)
    host = lab.hosts[1]
    host.write_settings()
    host.signal(signal.SIGHUP)
    lab.record.add(f"SIGHUP to {host.name}")
    await asyncio.sleep(0.2)
    results = await asyncio.gather(
        *(fetch(lab, host, f"d-{number}") for number in range(CLIENTS))
    )
    ran = {name for backend in backends for name in backend.runs}
    lost = sum(
        not is_whole and f"d-{number}" in ran
        for number, is_whole in enumerate(results)
    )
    print(f"cut before the deadline: {lost} of {CLIENTS}")
    return not lost


async def fetch(lab: Lab, host, request_id: str) -> bool:
    """Return False if the answer was cut off before the deadline."""
    size = BUFFER_BYTES if lab.has_trouble else None
    caller = await Caller.connect(lab.record, host, size)
    began_at = time.monotonic()
    caller.send(request_id, path="/load/1", deadline_ms=DEADLINE_MS)
    received = 0
    head = b""
    ended = "whole"
    while received < SIZE + len(head):
        try:
            part = await caller.reader.read(READ_BYTES)
        except ConnectionError:
            part = b""
        if not part:
            ended = "cut"
            break
        if not head:
            head = part[: part.index(b"\r\n\r\n") + 4]
        received += len(part)
        if lab.has_trouble:
            await asyncio.sleep(PAUSE_S)
    took_s = time.monotonic() - began_at
    lab.record.add(
        f"client gets {request_id}: {ended}, {received - len(head)} bytes of"
        f" {SIZE} in {took_s:.2f} s"
    )
    caller.close()
    return ended == "whole" or took_s >= DEADLINE_MS / 1000


if __name__ == "__main__":
    run_case(FOLDER, play)
