"""No host takes a new configuration after the store's drill."""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig3.case import (  # noqa: E402
    CaseError,
    Deployment,
    make_configuration,
    make_route,
    run_case,
    set_up,
)
from rig3.fleet import BOUNDS, ZONES  # noqa: E402

AWAY_S = 0.6
LOST_S = 5.0
COLD_S = 3.0
OPERATOR_PAUSE_S = 0.005
CHECKED_S = 12.0
# A configuration may take this long where the core was unstable.
APPLY_S = BOUNDS["contact_s"] + BOUNDS["config_apply_s"] + BOUNDS["max_skew_s"]
KEY = "key-bureau-1"
KEYS = {"bureau": [KEY]}
MOVED, NEW, KEYED = "/status/1", "/new/1", "/more/1"


async def script(deployment: Deployment) -> bool:
    """Move a public route just after the store came back from a copy."""
    store = deployment.store
    routes = {"status": make_route("status", "/status/", "press", True)}
    store.put("config", "main", make_configuration(3, routes, KEYS))
    await set_up(deployment)
    await asyncio.sleep(8.0)
    for host in deployment.hosts:
        sent = await deployment.request(host, MOVED)
        if sent.status != 200:
            raise CaseError(f"{host.name} answers {sent.status}")

    # What the copy doesn't hold: a configuration, and six new backends, whose
    # entries change with each heartbeat until they are warm.
    older = store.copy()
    deployment.note("copy", revision=store.revision)
    for zone in ZONES:
        await deployment.add_backend("press", zone, COLD_S)
    more = {**routes, "more": make_route("more", "/more/", "archive")}
    version_5 = make_configuration(5, more, KEYS)
    store.put("config", "main", version_5)
    await asyncio.sleep(LOST_S - AWAY_S)
    deployment.note("written after the copy", revision=store.revision)

    if deployment.has_trouble:
        await store.leave()
        deployment.note("store is away")
        await asyncio.sleep(AWAY_S)
        store.restore(older)
        await store.start()
        deployment.note("store is back", revision=store.revision)
        # What the operator wrote is written again; the backends follow with
        # their heartbeats.
        store.put("config", "main", version_5)
        await asyncio.sleep(OPERATOR_PAUSE_S)
    moved = {
        **more,
        "status": make_route("status", "/status/", "archive", True),
        "new": make_route("new", "/new/", "archive", True),
    }
    store.put("config", "main", make_configuration(7, moved, KEYS))
    sent_at = time.monotonic()
    deployment.note("route moved and added", revision=store.revision)

    while time.monotonic() < sent_at + APPLY_S + CHECKED_S:
        for host in deployment.hosts:
            await deployment.request(host, MOVED)
            await deployment.request(host, NEW)
            await deployment.request(host, KEYED, KEY)
        await asyncio.sleep(0.2)
    deployment.note("end", revision=store.revision)
    late = [s for s in deployment.requests if s.sent_at > sent_at + APPLY_S]
    old_runs = [
        sent
        for sent in late
        if any(run.service == "press" for run in deployment.find_runs(sent))
    ]
    unknown = [s for s in late if s.target == NEW and s.status == 404]
    keyed = [s.status for s in late if s.target == KEYED]
    deployment.note(
        "late requests with a key", answers=dict(Counter(keyed).items())
    )
    deployment.note(
        "late requests",
        sent=len(late),
        run_by_the_old_service=len(old_runs),
        refused_as_unknown=len(unknown),
    )
    print(
        f"of {len(late)} late requests {len(old_runs)} were run by the old "
        f"service, {len(unknown)} got 404 on the new route"
    )
    return not old_runs and not unknown


if __name__ == "__main__":
    run_case(FOLDER, script)
