"""Steps of the demo: each returns a line of output or raises an error.

The doc comment of a step names it in the output if it fails.
"""

import asyncio

import aiohttp

from radishstile.cli.caller import CallerClient
from radishstile.errors import OperatorError
from standin.demo_fleet import DemoFleet

REVOCATION_LIMIT_S = 2.0
POLL_S = 0.02


async def look_up(fleet: DemoFleet) -> str:
    """Look up hosts near a client."""
    caller = CallerClient(fleet.find_caller_url(fleet.hosts[0]))
    found = await caller.look_up("slips", "10.1.2.3")
    names = [host["host"] for host in found["hosts"]]
    check(names[0].startswith("wlg"), f"found {names}")
    return f"look-up for a client in wlg: {', '.join(names)}"


async def serve(fleet: DemoFleet) -> str:
    """Serve a request with a span for each hop in one trace."""
    caller = CallerClient(fleet.find_caller_url(fleet.hosts[0]))
    sent = await caller.send("GET", "/payruns/7", fleet.keys["bureau"], "", "")
    check(sent["status"] == 200, f"answered {sent}")
    spans = await fleet.make_operator_client().execute(
        "trace", trace_id=sent["trace"]
    )
    hops = [f"{s['host']} {s['name']} {s['duration_ms']} ms" for s in spans]
    names = {span["name"] for span in spans}
    check({"entry", "dispatch"} <= names, f"has only spans {names}")
    return f"served /payruns/7; trace {sent['trace'][:8]}: {'; '.join(hops)}"


async def deduplicate(fleet: DemoFleet) -> str:
    """Run a non-idempotent request once when it is sent twice."""
    url = fleet.find_caller_url
    key = fleet.keys["employer"]
    first_caller = CallerClient(url(fleet.hosts[0]))
    second_caller = CallerClient(url(fleet.hosts[3]))
    body = "print batch 12"
    first_answer = await first_caller.send(
        "POST", "/batches", key, body, "batch-12"
    )
    second_answer = await second_caller.send(
        "POST", "/batches", key, body, "batch-12"
    )
    check(first_answer["status"] == 200, f"the first got {first_answer}")
    check(second_answer["outcome"] == "ran", f"the second got {second_answer}")
    runs = await count_runs(fleet, "/batches")
    check(runs == 1, f"it ran {runs} times")
    return (
        "a non-idempotent request sent to two hosts ran once; "
        f"the second answer has status {second_answer['status']}"
    )


async def reject_stale_patch(fleet: DemoFleet) -> str:
    """Reject a patch of a stale configuration version."""
    patch = {"workspaces": {"bureau": {"burst": 60}}}
    client = fleet.make_operator_client(fleet.hosts[2])
    try:
        await client.execute("patch", from_version=1, patch=patch)
    except OperatorError as error:
        check("current is" in str(error), str(error))
        return f"rejected: {str(error)[:90]}"
    raise AssertionError("the stale patch was accepted")


async def revoke_key(fleet: DemoFleet) -> str:
    """Reject a revoked key on an open connection."""
    client = fleet.make_operator_client()
    issued = await client.execute("issue-key", workspace="bureau")
    headers = {"Authorization": f"Bearer {issued['key']}"}
    clock = asyncio.get_running_loop()
    async with aiohttp.ClientSession(headers=headers) as session:
        url = fleet.find_caller_url(fleet.hosts[3]) + "/slips/1"
        await wait_status(session, url, 200)
        await client.execute("withdraw-key", key_id=issued["key_id"])
        started_at = clock.time()
        await wait_status(session, url, 401)
    elapsed_s = clock.time() - started_at
    check(elapsed_s < REVOCATION_LIMIT_S, f"it took {elapsed_s:.1f} s")
    return f"a key was rejected {elapsed_s * 1000:.0f} ms after its revocation"


async def drain_upstream(fleet: DemoFleet) -> str:
    """Send no requests to a draining upstream."""
    await fleet.make_operator_client().execute(
        "drain-upstream", upstream="press-1"
    )
    await asyncio.sleep(2.0)
    before = len(await fleet.read_records("press-1"))
    caller = CallerClient(fleet.find_caller_url(fleet.hosts[0]))
    for number in range(20):
        path = f"/payruns/{number}"
        sent = await caller.send("GET", path, fleet.keys["employer"], "", "")
        check(sent["status"] == 200, f"answered {sent}")
    after = len(await fleet.read_records("press-1"))
    check(after == before, f"press-1 ran {after - before} more")
    return "press-1 drained: 20 requests went to other upstreams"


async def keep_keys_secret(fleet: DemoFleet) -> str:
    """Keep keys out of logs and upstream requests."""
    output = fleet.read_logs()
    for name in fleet.upstream_ports:
        output += str(await fleet.read_records(name))
    secrets = [key.partition(".")[2] for key in fleet.keys.values()]
    check(not any(s in output for s in secrets), "a key was exposed")
    return f"{len(secrets)} keys, none of them in upstream records or logs"


async def wait_status(
    session: aiohttp.ClientSession, url: str, status: int
) -> None:
    """Send requests until an answer has `status`, for up to 10 s."""
    async with asyncio.timeout(10):
        while True:
            async with session.get(url) as response:
                await response.read()
                if response.status == status:
                    return
            await asyncio.sleep(POLL_S)


async def count_runs(fleet: DemoFleet, path: str) -> int:
    """Return how often the upstreams ran requests for a path."""
    count = 0
    for name in fleet.upstream_ports:
        records = await fleet.read_records(name)
        count += sum(record["path"].startswith(path) for record in records)
    return count


def check(condition: bool, message: str) -> None:
    """Raise `AssertionError` with `message` unless `condition` holds."""
    if not condition:
        raise AssertionError(message)


STEPS = (
    look_up,
    serve,
    deduplicate,
    reject_stale_patch,
    revoke_key,
    drain_upstream,
    keep_keys_secret,
)
