"""Slots of machines that lost power are never free again."""

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lab.deployment import (  # noqa: E402
    Deployment,
    Host,
    make_configuration,
    run_case,
)

HOSTS = 6
ORDERS_PER_S = 26
READS_PER_S = 30
WORK_S = 0.8
CALM_S = 4.0
# Time until the lost machines are replaced, in seconds.
REPLACED_AFTER_S = 3.0
SETTLE_S = 12.0
MEASURED_S = 30.0


def make_two_services() -> dict:
    """Return a configuration whose reads and orders have a service each."""
    configuration = make_configuration()
    press = configuration["services"]["press"]
    configuration["services"]["archive"] = {**press, "name": "archive"}
    configuration["routes"]["read"]["service"] = "archive"
    configuration["routes"]["order"]["target_latency_s"] = 1.2
    return configuration


async def run_kind(
    deployment: Deployment,
    hosts: list[Host],
    kind: str,
    per_s: float,
    s: float,
) -> None:
    """Send requests of one kind to all hosts in turn."""
    loop = asyncio.get_running_loop()
    until = loop.time() + s
    number = 0
    async with asyncio.TaskGroup() as group:
        while loop.time() < until:
            number += 1
            host = hosts[number % len(hosts)]
            if kind == "order":
                call = deployment.send(
                    host, f"/order/{number}", "POST", b"x" * 500, 4.0
                )
            else:
                call = deployment.send(host, f"/read/{number}")
            group.create_task(call)
            await asyncio.sleep(1 / per_s)


async def run_callers(
    deployment: Deployment, hosts: list[Host], length_s: float
) -> None:
    """Send both kinds of requests."""
    await asyncio.gather(
        run_kind(deployment, hosts, "order", ORDERS_PER_S, length_s),
        run_kind(deployment, hosts, "read", READS_PER_S, length_s),
    )


def measure_share(results: list) -> float:
    """Return the share of requests that were served."""
    return sum(r.status == 200 for r in results) / max(1, len(results))


async def find_leader(deployment: Deployment) -> Host:
    """Return the host that counts the slots of all."""
    held = {}
    for host in deployment.hosts:
        value = await deployment.read_metric(host, "slots_held")
        held[host] = float(value)
    deployment.note(f"occupied slots: {[*held.values()]}")
    return max(held, key=held.get)


async def play(deployment: Deployment, has_trouble: bool):
    """Take the power of machines under load and replace them."""
    await deployment.start(
        hosts=HOSTS,
        backends=3,
        configuration=make_two_services(),
        work_s=WORK_S,
    )
    for number in range(3):
        await deployment.add_backend(
            f"a{number}", service="archive", work_s=0.1
        )
    await asyncio.sleep(2)
    before = asyncio.create_task(
        run_callers(deployment, deployment.hosts, CALM_S)
    )
    await asyncio.sleep(CALM_S)
    hosts = list(deployment.hosts)
    if has_trouble:
        leader = await find_leader(deployment)
        lost = [host for host in hosts if host is not leader]
        for host in lost:
            # To others a stopped process is a machine without power: its
            # connections stay open and nothing comes from them any more.
            host.process.send_signal(signal.SIGSTOP)
        deployment.note(f"{len(lost)} machines have lost power for good")
        await asyncio.sleep(REPLACED_AFTER_S)
        hosts = [leader]
        for number in range(len(lost)):
            hosts.append(await deployment.add_host(f"front-n-{number}"))
        for host in hosts:
            await deployment.wait_ready(host)
    await before
    await asyncio.sleep(SETTLE_S)
    held = await deployment.read_metric(hosts[0], "slots_held")
    deployment.note(f"{hosts[0].name} holds {held} slots; no request is open")
    count = len(deployment.results)
    await run_callers(deployment, hosts, MEASURED_S)
    after = deployment.results[count:]
    order_share = measure_share([r for r in after if "order" in r.target])
    all_share = measure_share(after)
    verdict = (
        f"Starved: from {SETTLE_S} s after the machines were replaced"
        f" {order_share:.3f} of the orders were served, and"
        f" {all_share:.3f} of all requests; before that, with no request"
        f" open, the leader counted {held} occupied slots"
    )
    return order_share < all_share / 4, verdict


if __name__ == "__main__":
    # TROUBLE=0 plays the same without the disruption.
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run_case(play, Path(__file__).resolve().parent, has_trouble))
