"""An entry of another writer with unreadable bytes breaks all requests off."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lab_2"))

from lab import UNREADABLE, Backend, Caller, Lab, run_case  # noqa: E402

# `payrun-lookup` of `sites/kowhai-slips.toml`, whose clients pipeline: its
# work takes up to 1,920 ms, its deadline is 3,000 ms.
WORK_S = 1.5
DEADLINE_MS = 3000
CLIENTS = 12
# From the entry to the requests that are sent behind those that run, in
# seconds.
SECOND_AFTER_S = 0.5
# LOST counts more than three.
ALLOWED = 3


class Client:
    """A client with a kept connection that pipelines two requests."""

    def __init__(self, lab: Lab, number: int):
        self.lab = lab
        self.host = lab.hosts[number % len(lab.hosts)]
        self.names = [f"{kind}-{number}" for kind in ("first", "run", "next")]
        self.results: dict[str, str] = {}
        self.caller: Caller | None = None

    async def keep(self) -> None:
        """Use the connection once."""
        self.caller = await Caller.connect(self.lab.record, self.host)
        self.send(0)
        await self.receive(0)

    def send(self, step: int) -> None:
        """Send a request without waiting."""
        self.caller.send(self.names[step], deadline_ms=DEADLINE_MS)

    async def receive(self, step: int) -> None:
        """Receive the answer to a request."""
        name = self.names[step]
        limit_s = DEADLINE_MS / 1000
        self.results[name] = await self.caller.receive(name, limit_s)

    async def receive_both(self) -> None:
        """Receive the answers of the pipelined requests."""
        await self.receive(1)
        await self.receive(2)
        self.caller.close()


async def play(lab: Lab) -> bool:
    """Add the entry while requests run, and send others behind them."""
    backends = [
        Backend(lab.record, f"i-{n}", f"127.8.0.{n}") for n in (1, 2, 3, 4)
    ]
    await lab.start(["akl-a", "akl-a"], backends)
    clients = [Client(lab, number) for number in range(CLIENTS)]
    await asyncio.gather(*(client.keep() for client in clients))
    for backend in backends:
        backend.work_s = WORK_S
    for client in clients:
        client.send(1)
    await asyncio.sleep(0.1)
    if lab.has_trouble:
        entry = backends[0].describe()
        entry["address"] = f"127.8.0.{UNREADABLE}:8080"
        await lab.store.put("servers", "i-other", entry)
        lab.record.add("another writer adds the entry i-other")
    await asyncio.sleep(SECOND_AFTER_S)
    for client in clients:
        client.send(2)
    await asyncio.gather(*(client.receive_both() for client in clients))
    ran = {name for backend in backends for name in backend.runs}
    results = {
        name: result
        for client in clients
        for name, result in client.results.items()
    }
    lost = [
        name
        for name, result in results.items()
        if name in ran and result in ("closed", "reset")
    ]
    lab.record.add(f"passed on, connection closed, no answer: {lost}")
    print(f"passed on, connection closed, no answer: {len(lost)}")
    return len(lost) <= ALLOWED


if __name__ == "__main__":
    run_case(FOLDER, play)
