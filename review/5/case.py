"""Hosts go on using a backend whose answers say that it leaves."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lab.deployment import (  # noqa: E402
    BOUNDS,
    Deployment,
    make_configuration,
    run_case,
)

DRAIN_S = BOUNDS["drain_s"]
# Length of the store's outage, in seconds.
OUTAGE_S = 4.5
# The backend leaves this long after the outage begins, in seconds.
LEAVES_AFTER_S = 0.2
# How long a leaving backend serves on after the drain bound, in seconds.
SERVES_ON_S = 1.6


async def play(deployment: Deployment, has_trouble: bool):
    """Let a backend leave while the store does not answer the hosts."""
    # Requests with a key are refused soon after the outage begins.
    configuration = make_configuration()
    for route in configuration["routes"].values():
        route["public"] = True
    await deployment.start(
        hosts=2, backends=4, configuration=configuration, work_s=0.5
    )
    clients = asyncio.create_task(
        deployment.run_clients(deployment.hosts, per_s=30, length_s=12)
    )
    await asyncio.sleep(2)
    if has_trouble:
        for host in deployment.hosts:
            host.proxy.cut()
        deployment.note("the store is down (silent)")
    await asyncio.sleep(LEAVES_AFTER_S)
    leaving = deployment.backends[0]
    leaving.is_leaving = True
    leaving.unregister()
    deployment.note(f"{leaving.instance} leaves; its entry is removed")
    await asyncio.sleep(DRAIN_S + SERVES_ON_S)
    leaving.stop()
    deployment.note(f"{leaving.instance} has ended")
    await asyncio.sleep(OUTAGE_S - LEAVES_AFTER_S - DRAIN_S - SERVES_ON_S)
    for host in deployment.hosts:
        host.proxy.heal()
    deployment.note("the store is back")
    await clients

    sent = {result.request_id: result for result in deployment.results}
    told_at: dict[str, float] = {}
    for result in deployment.results:
        if "server-leaving" in result.headers:
            at = result.sent_at + result.took_s
            told_at[result.host] = min(at, told_at.get(result.host, at))
    late = [
        arrival
        for arrival in deployment.arrivals
        if arrival.backend == leaving.instance
        and sent[arrival.request_id].sent_at
        > told_at.get(sent[arrival.request_id].host, float("inf")) + DRAIN_S
    ]
    lost = [r for r in deployment.results if r.status in (0, 502, 504)]
    verdict = (
        f"DRAIN: {len(late)} requests that were sent later than {DRAIN_S} s"
        " after their host had passed on an answer with Server-Leaving"
        f" reached {leaving.instance}; {len(lost)} requests failed"
    )
    return bool(late), verdict


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).resolve().parent))
