"""Short seeded soak tests with real processes and injected faults."""

import asyncio
import tempfile
import unittest

from soak.run import run_soak
from soak.settings import SoakSettings

# The seeds of each CI run.
SEEDS = (3, 7)
# Seeds that exposed a bug, with its cause.
REGRESSIONS: dict[int, str] = {
    38: "requests went on to an upstream that named Server-Leaving",
}


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """Runs the soak test of all seeds in parallel, each with its own fleet."""

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
        """Return settings of a short test, with all kinds of fault."""
        return SoakSettings(
            seed,
            tempfile.mkdtemp(dir=folder),
            callers=12,
            calm_s=1.5,
            fault_s=6.0,
            faults=5,
        )
