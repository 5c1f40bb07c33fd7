"""A planned stop with the large site's `grace_s` cuts accepted requests."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lab_2"))

from lab import BOUNDS, Backend, Caller, Lab, run_case  # noqa: E402

# `large/kowhai-slips-large.toml`: `grace_s` 10. A `print-order`, which is
# unsafe, has 2,960 ms of work on average and 8,880 ms at most, a route's
# timeout of 5 s and a deadline of 15 s.
GRACE_S = 10
WORK_S = 4.5
TIMEOUT_S = 5.0
DEADLINE_MS = 15_000
# Requests are sent from here to there after the SIGTERM, in seconds.
FIRST_S = 3.2
LAST_S = 4.8
PAUSE_S = 0.2


async def play(lab: Lab) -> bool:
    """Send orders to a host that was asked to stop."""
    route = lab.configuration["routes"]["r-order"]
    route.update(timeout_s=TIMEOUT_S, target_latency_s=2.0)
    backends = [
        Backend(lab.record, f"i-{n}", f"127.8.0.{n}") for n in (1, 2, 3)
    ]
    for backend in backends:
        backend.work_s = WORK_S
    await lab.start(
        ["akl-a", "akl-a"],
        backends,
        bounds={**BOUNDS, "grace_s": GRACE_S},
    )
    stopping = lab.hosts[1]
    if lab.has_trouble:
        lab.record.add(f"SIGTERM to {stopping.name}")
        stopping.signal(signal.SIGTERM)
        asyncio.get_running_loop().call_later(GRACE_S, kill, stopping)
    await asyncio.sleep(FIRST_S)
    count = round((LAST_S - FIRST_S) / PAUSE_S) + 1
    tasks = []
    for number in range(count):
        tasks.append(asyncio.create_task(order(lab, stopping, f"o-{number}")))
        await asyncio.sleep(PAUSE_S)
    results = await asyncio.gather(*tasks)
    ran = {name for backend in backends for name in backend.runs}
    lost = [
        number
        for number, result in enumerate(results)
        if f"o-{number}" in ran and not result.startswith("2")
    ]
    lab.record.add(f"run and not answered: {len(lost)} of {count}")
    print(results)
    return not lost


def kill(host) -> None:
    """Kill the process as the platform does at the end of `grace_s`."""
    if host.process.returncode is None:
        host.signal(signal.SIGKILL)


async def order(lab: Lab, host, request_id: str) -> str:
    """Send an order on a new connection and return the result."""
    try:
        caller = await Caller.connect(lab.record, host)
    except OSError as error:
        lab.record.add(f"client of {request_id}: {type(error).__name__}")
        return "not connected"
    caller.send(
        request_id,
        method="POST",
        path="/order/1",
        deadline_ms=DEADLINE_MS,
        body=b"slip",
    )
    return await caller.receive(request_id, DEADLINE_MS / 1000)


if __name__ == "__main__":
    run_case(FOLDER, play)
