"""A key that was taken away is accepted for good after the store's drill."""

import asyncio
import sys
import time
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
from rig3.fleet import BOUNDS  # noqa: E402

AWAY_S = 0.6
LOST_S = 3.0
OPERATOR_PAUSE_S = 0.05
CHECKED_S = 12.0
KEPT_KEY, TAKEN_KEY = "key-bureau-1", "key-bureau-2"


async def script(deployment: Deployment) -> bool:
    """Take a key away just after the store came back from a copy."""
    store = deployment.store
    routes = {"read": make_route("read", "/read/", "press")}
    both = {"bureau": [KEPT_KEY, TAKEN_KEY]}
    store.put("config", "main", make_configuration(3, routes, both))
    await set_up(deployment)
    await asyncio.sleep(8.0)
    for key in (KEPT_KEY, TAKEN_KEY):
        for host in deployment.hosts:
            sent = await deployment.request(host, "/read/1", key)
            if sent.status != 200:
                raise CaseError(f"{host.name} answers {sent.status}")

    # What the copy doesn't hold: a configuration and a new backend.
    older = store.copy()
    deployment.note("copy", revision=store.revision)
    more = {**routes, "more": make_route("more", "/more/", "archive")}
    version_5 = make_configuration(5, more, both)
    store.put("config", "main", version_5)
    new_backend = await deployment.add_backend("archive", "akl-a")
    deployment.note("written after the copy", revision=store.revision)
    await asyncio.sleep(LOST_S - AWAY_S)

    if deployment.has_trouble:
        await store.leave()
        deployment.note("store is away")
        await asyncio.sleep(AWAY_S)
        store.restore(older)
        await store.start()
        deployment.note("store is back", revision=store.revision)
        # What the operator wrote is written again.
        store.put("config", "main", version_5)
        await asyncio.sleep(OPERATOR_PAUSE_S)
    kept = {"bureau": [KEPT_KEY]}
    store.put("config", "main", make_configuration(7, more, kept))
    taken_at = time.monotonic()
    deployment.note("key taken away", key=TAKEN_KEY, revision=store.revision)
    new_backend.register()

    while time.monotonic() < taken_at + BOUNDS["revoke_s"] + CHECKED_S:
        for host in deployment.hosts:
            await deployment.request(host, "/read/1", TAKEN_KEY)
            await deployment.request(host, "/read/2", KEPT_KEY)
        await asyncio.sleep(0.2)
    late = [
        sent
        for sent in deployment.requests
        if sent.key == TAKEN_KEY
        and sent.sent_at > taken_at + BOUNDS["revoke_s"]
    ]
    ran = [sent for sent in late if deployment.find_runs(sent)]
    deployment.note("late requests", sent=len(late), ran=len(ran))
    print(f"{len(ran)} of {len(late)} late requests with the key ran")
    return not ran


if __name__ == "__main__":
    run_case(FOLDER, script)
