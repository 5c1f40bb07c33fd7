"""Tests that reports on poison requests reach all regions."""

import asyncio

from radishstile.run.poison import CrashReport, PoisonVerdict, SuccessReport
from test.entry._common import PlatformTestCase

FINGERPRINT = b"harmful"


class PoisonReportsTest(PlatformTestCase):
    """Two hosts, each the leader of its region."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.remote = await self.start_host("front-2", "wlg-a")
        for host in (self.host, self.remote):
            await self.wait_until(lambda host=host: self.is_connected(host))

    def is_connected(self, host):
        return bool(host.entry._leadership.peers.list_connected())

    def check_fingerprint(self, host):
        now = asyncio.get_running_loop().time()
        return host.entry._admission.poison.check(FINGERPRINT, now)

    def report_crash(self, number):
        fingerprints = frozenset({FINGERPRINT})
        self.host.entry._admission.apply_report(
            CrashReport(f"r{number}", f"i-{number}", fingerprints)
        )

    async def test_poison_request_is_refused_in_remote_region(self):
        self.report_crash(1)
        self.report_crash(2)
        self.assertIs(self.check_fingerprint(self.host), PoisonVerdict.REFUSED)
        await self.wait_until(
            lambda: (
                self.check_fingerprint(self.remote) is PoisonVerdict.REFUSED
            )
        )

    async def test_success_clears_suspected_request_in_all_regions(self):
        self.report_crash(1)
        await self.wait_until(
            lambda: (
                self.check_fingerprint(self.remote) is PoisonVerdict.PROBATION
            )
        )
        self.host.entry._admission.apply_report(
            SuccessReport("r2", FINGERPRINT)
        )
        await self.wait_until(
            lambda: (
                self.check_fingerprint(self.remote) is PoisonVerdict.ALLOWED
            )
        )
