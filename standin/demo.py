"""Demo of a fleet: 4 hosts in 2 regions, 6 upstreams and a store."""

import argparse
import asyncio
import signal
import sys
import tempfile
from pathlib import Path

from standin.demo_fleet import DemoFleet
from standin.demo_steps import STEPS

START_TIMEOUT_S = 25.0


async def run_demo(folder: Path, keep: bool) -> int:
    """Run all steps and return the exit status."""
    fleet = DemoFleet(folder)
    failure_count = 0
    try:
        await fleet.start(START_TIMEOUT_S)
        for step in STEPS:
            failure_count += not await run_step(step, fleet)
        if keep:
            await wait_for_user(fleet)
    finally:
        failure_count += not await stop_fleet(fleet)
    print(
        f"demo: {len(STEPS) + 1 - failure_count} passed, "
        f"{failure_count} failed"
    )
    return 1 if failure_count else 0


async def run_step(step, fleet: DemoFleet) -> bool:
    """Run a step, print its result and return whether it passed."""
    clock = asyncio.get_running_loop()
    started_at = clock.time()
    try:
        text = await step(fleet)
        label = "ok    "
    except Exception as error:
        text = f"{step.__doc__.rstrip('.')}: {error}"
        label = "FAILED"
    elapsed_ms = (clock.time() - started_at) * 1000
    print(f"{label} {elapsed_ms:8.1f} ms  {text}", flush=True)
    return label == "ok    "


async def stop_fleet(fleet: DemoFleet) -> bool:
    """Stop all processes gracefully; return whether all exited with 0."""
    clock = asyncio.get_running_loop()
    started_at = clock.time()
    unclean = await fleet.stop()
    elapsed_ms = (clock.time() - started_at) * 1000
    label = "FAILED" if unclean else "ok    "
    text = f"stopped gracefully; unclean: {unclean or 'none'}"
    print(f"{label} {elapsed_ms:8.1f} ms  {text}", flush=True)
    return not unclean


async def wait_for_user(fleet: DemoFleet) -> None:
    """Print commands to try and wait for SIGINT or SIGTERM."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    print(fleet.describe_commands(), flush=True)
    await stop.wait()
    print("demo: stopping", flush=True)


def main() -> int:
    """Run the demo in a temporary folder."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", action="store_true")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="radishstile-") as folder:
        return asyncio.run(run_demo(Path(folder), options.keep))


if __name__ == "__main__":
    sys.exit(main())
