"""Orders go on to a backend that has told that it leaves, and are lost."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig3.backend import Backend  # noqa: E402
from rig3.case import (  # noqa: E402
    CaseError,
    Deployment,
    make_configuration,
    make_route,
    run_case,
    set_up,
)
from rig3.fleet import BOUNDS  # noqa: E402

# The dose of `platform_down` in the site file.
OUTAGE_S = 4.5
# drain_s, "and a little longer".
SERVES_ON_S = 4.2
WORK_S = 0.6
INTERVAL_S = 0.02
TRAFFIC_S = 12.0
LEAVES_AT_S = 3.0


async def send_orders(deployment: Deployment) -> None:
    """Send orders to the hosts in turn, whatever becomes of them."""
    tasks = set()
    until = time.monotonic() + TRAFFIC_S
    number = 0
    while time.monotonic() < until:
        host = deployment.hosts[number % len(deployment.hosts)]
        number += 1
        order = deployment.request(host, f"/order/{number}", method="POST")
        tasks.add(asyncio.create_task(order))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.wait(tasks)


async def leave(deployment: Deployment, backend: Backend) -> None:
    """Let a backend leave as the store accepts its report."""
    await asyncio.sleep(LEAVES_AT_S)
    left_at = time.monotonic()
    backend.state, backend.is_leaving = "draining", True
    backend.register()
    deployment.note("report accepted", backend=backend.name)
    if deployment.has_trouble:
        await deployment.store.leave()
        deployment.note("store is down")
    await asyncio.sleep(SERVES_ON_S)
    await backend.exit()
    deployment.note("backend exits", backend=backend.name)
    await asyncio.sleep(left_at + OUTAGE_S - time.monotonic())
    if deployment.has_trouble:
        await deployment.store.start()
        deployment.note("store is back")
    deployment.store.remove("servers", backend.name)


def find_late(deployment: Deployment, backend: Backend) -> list:
    """Return the requests that reached the backend against the rule."""
    told_at: dict[str, float] = {}
    for sent in sorted(deployment.requests, key=lambda s: s.answered_at):
        if sent.headers.get("server-leaving") == "1":
            told_at.setdefault(sent.host, sent.answered_at)
    for host, at in told_at.items():
        deployment.note("passed on that it leaves", host=host, at=at)
    return [
        sent
        for sent in deployment.requests
        if sent.host in told_at
        and sent.sent_at > told_at[sent.host] + BOUNDS["drain_s"]
        and any(
            run.backend == backend.name for run in deployment.find_runs(sent)
        )
    ]


async def script(deployment: Deployment) -> bool:
    """Count the orders that reach the backend late, and those lost there."""
    order = make_route("order", "/order/", "press", True, "unsafe")
    deployment.store.put(
        "config",
        "main",
        make_configuration(3, {"order": order}, {"bureau": ["key"]}),
    )
    await set_up(deployment)
    await asyncio.sleep(8.0)
    for backend in deployment.backends:
        backend.work_s = WORK_S
    for host in deployment.hosts:
        sent = await deployment.request(host, "/order/0", method="POST")
        if sent.status != 200:
            raise CaseError(f"{host.name} answers {sent.status}")
    leaving = next(b for b in deployment.backends if b.service == "press")
    async with asyncio.TaskGroup() as group:
        group.create_task(send_orders(deployment))
        group.create_task(leave(deployment, leaving))
    late = find_late(deployment, leaving)
    lost = [sent for sent in late if sent.status != 200]
    deployment.note(
        "late orders",
        reached_the_backend=len(late),
        lost=len(lost),
        sent=len(deployment.requests),
    )
    print(f"{len(late)} orders reached the backend late, {len(lost)} got lost")
    return not late


if __name__ == "__main__":
    run_case(FOLDER, script)
