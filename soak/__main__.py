"""Command line of the soak test (`python -m soak`)."""

import asyncio
import signal
import tempfile
from pathlib import Path

import fire

from soak.run import SoakResult, run_soak
from soak.settings import SoakSettings


class Soak:
    """Soak test of entry hosts with random faults."""

    __slots__ = ()

    def run(
        self,
        first: int = 0,
        count: int = 1,
        at_once: int = 2,
        hosts: int = 2,
        faults: int = 8,
        folder: str = "",
    ) -> None:
        """Run COUNT seeds starting at FIRST, AT_ONCE in parallel.

        Each zone has HOSTS hosts. Settings and logs are kept in FOLDER.
        """
        folder = folder or tempfile.mkdtemp(prefix="soak-")
        seeds = range(first, first + count)
        make_settings = _SettingsFactory(folder, hosts, faults)
        results = asyncio.run(_run_all(seeds, make_settings, at_once))
        failed = [result.seed for result in results if result.breaches]
        print(f"{len(results) - len(failed)} passed, {len(failed)} failed")
        if failed:
            raise SystemExit(f"broken promises at seeds {failed}: {folder}")


class _SettingsFactory:
    """Creates the settings and the folder of each seed."""

    __slots__ = ("_folder", "_hosts", "_faults")

    def __init__(self, folder: str, hosts: int, faults: int):
        self._folder = folder
        self._hosts = hosts
        self._faults = faults

    def __call__(self, seed: int) -> SoakSettings:
        folder = Path(self._folder) / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        return SoakSettings(
            seed, str(folder), hosts_per_zone=self._hosts, faults=self._faults
        )


async def _run_all(
    seeds, make_settings: _SettingsFactory, at_once: int
) -> list[SoakResult]:
    semaphore = asyncio.Semaphore(at_once)
    # Cancellation on SIGTERM lets the fleet kill its host processes.
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, asyncio.current_task().cancel
    )

    async def run_one(seed: int) -> SoakResult:
        async with semaphore:
            result = await run_soak(make_settings(seed))
            _print_result(result)
            return result

    return await asyncio.gather(*map(run_one, seeds))


def _print_result(result: SoakResult) -> None:
    statuses = dict(sorted(result.statuses.items()))
    print(
        f"seed {result.seed}: {statuses}, store at most "
        f"{result.store_reads_per_s} reads and {result.store_writes_per_s} "
        "writes a second",
        flush=True,
    )
    if not result.breaches:
        return
    for span in result.fault_periods:
        print(
            f"  {span.begin:6.2f} to {span.end:6.2f} {span.kind} "
            f"{span.subject}"
        )
    for breach in result.breaches[:20]:
        print(f"  BROKEN {breach}", flush=True)


if __name__ == "__main__":
    fire.Fire(Soak)
