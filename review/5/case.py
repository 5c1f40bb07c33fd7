"""After a restart of all hosts, most of them never serve again."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lab.deployment import Deployment, run_case  # noqa: E402

HOSTS = 5
RECOVER_S = 15.0
# The platform starts a killed process again after this, in seconds.
RESTART_S = 1.0
# 4 bytes of JSON each; the entry stays below value_bytes, 1,048,576.
NUMBERS = 160_000


def measure_share(results: list) -> float:
    """Return the share of requests that were served."""
    return sum(r.status == 200 for r in results) / max(1, len(results))


async def play(deployment: Deployment, has_trouble: bool):
    """Kill all hosts while another writer's entry is in the store."""
    await deployment.start(hosts=HOSTS, backends=4, work_s=0.2)
    if has_trouble:
        odd = {"info": {"slots": [0.5] * NUMBERS}}
        deployment.store.put("servers", "other-writer", odd)
        deployment.note("another writer's entry is in the store")
    await asyncio.sleep(2)
    await deployment.run_clients(deployment.hosts, per_s=25, length_s=6)
    before = measure_share(deployment.results)
    for host in deployment.hosts:
        host.process.kill()
    deployment.note("all hosts killed")
    await asyncio.sleep(RESTART_S)
    for host in deployment.hosts:
        await deployment.start_process(host)
    await asyncio.sleep(RECOVER_S)
    count = len(deployment.results)
    await deployment.run_clients(deployment.hosts, per_s=25, length_s=15)
    after = deployment.results[count:]
    by_host = {
        host.name: round(
            measure_share([r for r in after if r.host == host.name]), 2
        )
        for host in deployment.hosts
    }
    share = measure_share(after)
    verdict = (
        f"RECOVER: {before:.2f} of the requests were served before all hosts"
        f" were killed, {share:.2f} later than {RECOVER_S} s after they were"
        f" back; by host: {by_host}"
    )
    return before >= 0.25 > share, verdict


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).resolve().parent))
