"""Short seeded runs of the soak: real processes, faults from outside."""

import asyncio
import tempfile
import unittest

from soak.run import run_soak
from soak.settings import SoakSettings

# The seeds of each CI run.
SEEDS = (3, 7)
# Seeds that once broke a promise, each with its cause.
REGRESSIONS: dict[int, str] = {}


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """Each seed runs in its own fleet, all at once."""

    async def test_no_promise_is_broken(self):
        with tempfile.TemporaryDirectory() as folder:
            runs = [
                run_soak(self.make_settings(seed, folder))
                for seed in (*SEEDS, *REGRESSIONS)
            ]
            results = await asyncio.gather(*runs)
        broken = [
            f"seed {result.seed}: {breach}"
            for result in results
            for breach in result.breaches
        ]
        self.assertEqual(broken, [])

    def make_settings(self, seed, folder):
        """Shorter than a run by hand; the faults are of the same kinds."""
        return SoakSettings(
            seed,
            tempfile.mkdtemp(dir=folder),
            callers=12,
            calm_s=1.5,
            fault_s=6.0,
            faults=5,
        )
