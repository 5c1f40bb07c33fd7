"""Runs the whole test suite and prints one closing line."""

import logging
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def main() -> int:
    """Run the tests named on the command line, or all of them."""
    logging.disable(logging.CRITICAL)
    loader = unittest.TestLoader()
    if sys.argv[1:]:
        suite = loader.loadTestsFromNames(sys.argv[1:])
    else:
        suite = loader.discover("test", "test_*.py", top_level_dir=ROOT)
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = len(result.failures) + len(result.errors)
    failed += len(result.unexpectedSuccesses)
    skipped = len(result.skipped) + len(result.expectedFailures)
    passed = result.testsRun - failed - skipped
    print(f"{passed} passed, {failed} failed, {skipped} skipped", flush=True)
    return 1 if failed or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
