"""Tests of the shared helpers."""

import asyncio
import time

from test._common import PausedTestCase


class PausedClockTest(PausedTestCase):
    async def test_long_sleep_takes_no_real_time(self):
        begun = time.monotonic()
        await asyncio.sleep(100)
        self.assertEqual(self.now, 100)
        self.assertLess(time.monotonic() - begun, 5)
