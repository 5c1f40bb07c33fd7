"""Tests of hosts whose store comes back from a backup some seconds old.

Hosts accepted keys that had been taken away, or took no configuration any
more, since they compared revisions of different eras.
"""

import asyncio
import copy

from radishstile.catalog.freshness import ERA_SETTLE_S
from radishstile.entry.node import read_boottime_clock
from radishstile.platform.registrations import HOST_KIND
from test.entry._common import CONFIGURATION, KEY, PlatformTestCase

SPARE_KEY = "key-2"


def make_configuration(version, keys):
    configuration = copy.deepcopy(CONFIGURATION)
    configuration["version"] = f"r{version}"
    configuration["tenants"]["bureau"]["api_keys"] = keys
    return configuration


class RestoredStoreTest(PlatformTestCase):
    """A leader and a follower; the backup lacks a configuration."""

    configuration = make_configuration(3, [KEY, SPARE_KEY])

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.follower = await self.start_host("front-2", "akl-a")
        self.hosts = [self.host, self.follower]
        self.backup = self.store.back_up()
        self.publish(5, [KEY, SPARE_KEY])
        await self.wait_until(self.has_version(5))

    def publish(self, version, keys):
        configuration = make_configuration(version, keys)
        self.store.put("config", "main", configuration)

    def has_version(self, version):
        nodes = [host.entry.node for host in self.hosts]
        return lambda: all(n.catalog.version == version for n in nodes)

    async def test_key_taken_away_at_a_former_revision_is_rejected(self):
        # review/11: a watch went on from a revision that was given out again.
        self.store.restore(self.backup)
        self.publish(7, [KEY])
        await self.wait_until(self.has_version(7))
        for host in self.hosts:
            self.host = host
            answer = await self.ask(key=SPARE_KEY)
            self.assertEqual(answer.status, 401)

    async def test_configuration_at_a_lower_revision_is_in_force(self):
        # review/12: lists of the restored store were refused as older.
        for number in range(20):
            self.store.put("other", f"o-{number}", {})
        for kind in ("servers", "config"):
            self.store.put(kind, "unused", {})
        await asyncio.sleep(0.1)
        self.store.restore(self.backup)
        self.publish(7, [KEY])
        await self.wait_until(self.has_version(7))

    async def test_older_configuration_is_not_taken_and_confirms_no_key(self):
        self.store.restore(self.backup)
        nodes = [host.entry.node for host in self.hosts]
        await self.wait_until(lambda: all(n.era == 1 for n in nodes))
        restored_at = read_boottime_clock()
        await asyncio.sleep(2 * ERA_SETTLE_S)
        self.assertTrue(self.has_version(5)())
        for node in nodes:
            self.assertGreater(
                node.measure_confirmation_age(),
                read_boottime_clock() - restored_at,
            )
        self.publish(5, [KEY, SPARE_KEY])
        await self.wait_until(
            lambda: all(n.measure_confirmation_age() < 1.0 for n in nodes)
        )

    async def test_hosts_register_again(self):
        late = await self.start_host("front-3", "akl-a")
        self.store.restore(self.backup)
        await self.wait_until(
            lambda: self.store.get_spec(HOST_KIND, "front-3") is not None
        )
        self.assertIsNotNone(late.entry.node.hosts.find("front-3"))
