"""Runs each fault at each step of a request, and checks the promises."""

import asyncio

from test._common import PausedTestCase
from test.daemon._fleet import Fleet
from test.matrix._callers import Request
from test.matrix._faults import FAULTS, Scene
from test.matrix._promises import list_broken
from test.matrix._steps import GATHERING, hook_step
from test.matrix.table import (
    DISTANT_FAULTS,
    RUN_FAULTS,
    RUN_STEPS,
    Fault,
    Step,
)

HOSTS = 3
REACH_S = 10.0
GATHER_S = 0.5
FAULT_S = 12.0
FORCE_S = 13.0


class FaultsTest(PausedTestCase):
    """One test for each fault; each step is a subtest of its own."""

    async def run_fault(self, fault: Fault) -> None:
        """Make the fault at every step, in one fleet after another."""
        secrets = []
        requests = []
        versions = {}
        async with Fleet(HOSTS) as fleet:
            for step in RUN_STEPS:
                with self.subTest(step=step.value):
                    scene = await self.set_scene(fleet, fault, step)
                    requests += scene.requests
                    secrets.append(scene.requests[0].key.partition(".")[2])
                    await self.run_scene(scene, fault, step)
                    broken = list_broken(fleet, requests, secrets)
                    self.assertEqual(broken, [])
                    await self.check_versions(scene, versions)

    async def set_scene(self, fleet, fault: Fault, step: Step) -> Scene:
        """Return a scene with a key of its own."""
        await self.wait_ready(fleet)
        issued = await fleet.operate("issue-key", workspace="employer")
        await self.wait_ready(fleet)
        name = f"{fault.name}-{step.name}".lower()
        requests = [
            Request(f"/batches/{name}", "employer", True, issued["key"]),
            Request(f"/payruns/{name}", "employer", False, issued["key"]),
        ]
        return Scene(fleet, requests, issued["key_id"])

    async def wait_ready(self, fleet: Fleet) -> None:
        """Wait until each host serves and takes patches."""
        for host in fleet.hosts:
            node = fleet.daemons[host].parts.node
            await fleet.wait(
                lambda host=host, node=node: (
                    fleet.is_ready(host)
                    and node.fleet.may_accept_patches(self.now)
                ),
                f"{host} is not ready",
            )

    async def run_scene(self, scene: Scene, fault: Fault, step: Step) -> None:
        """Reach the step, make the fault, end it, and send again."""
        make, end = FAULTS[fault]
        with hook_step(step) as hook:
            scene.start(step)
            async with asyncio.timeout(REACH_S):
                await hook.reached.wait()
            if step in GATHERING:
                await asyncio.sleep(GATHER_S)
            await make(scene)
            hook.goes_on.set()
            await asyncio.sleep(FAULT_S)
        await end(scene)
        ends = await asyncio.gather(*scene.tasks, return_exceptions=True)
        wrong = [end for end in ends if isinstance(end, AssertionError)]
        self.assertEqual(wrong, [])
        await scene.start_again()
        if fault in DISTANT_FAULTS:
            # No answer at all means that a stop has cut the request off.
            for request in scene.requests:
                self.assertNotEqual(request.attempts[0].status, 0)
        for request in scene.requests:
            if fault is Fault.KEY_WITHDRAWN:
                attempt = await request.send(scene.fleet, scene.entry)
                self.assertEqual(attempt.reason, "bad-key")
                continue
            await request.send_again(scene.fleet)
            last = request.attempts[-1]
            self.assertTrue(request.is_over, f"{last.status} {last.reason}")

    async def check_versions(self, scene: Scene, versions: dict) -> None:
        """Check that what was accepted is in force and nothing reverted."""
        fleet = scene.fleet
        nodes = [daemon.parts.node for daemon in fleet.daemons.values()]
        self.assertEqual(len(scene.accepted), len(set(scene.accepted)))
        newest = max([0, *scene.accepted])
        await fleet.wait(
            lambda: all(node.revision.version >= newest for node in nodes),
            f"version {newest} is not in force everywhere",
            FORCE_S,
        )
        for node in nodes:
            version = node.revision.version
            self.assertGreaterEqual(version, versions.get(node.me, 0))
            versions[node.me] = version


def _make_test(fault: Fault):
    async def test(self):
        await self.run_fault(fault)

    test.__doc__ = f"The promises hold with this fault: {fault.value}."
    return test


for _fault in RUN_FAULTS:
    setattr(FaultsTest, f"test_{_fault.name.lower()}", _make_test(_fault))
