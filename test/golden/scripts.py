"""All sessions by name, and how one is run."""

from pathlib import Path

from test.daemon._fleet import Fleet
from test.golden import operations, requests
from test.golden._session import Session

FOLDER = Path(__file__).parent
HOSTS = 4
# Each paused second of each host costs real time.
HOSTS_FOR_LONG = 3
SCRIPTS = {
    script.__name__: script
    for module in (requests, operations)
    for script in module.SESSIONS
}


async def record(name: str) -> str:
    """Run one session and return its text."""
    script = SCRIPTS[name]
    is_long = script is operations.lose_store
    async with Fleet(HOSTS_FOR_LONG if is_long else HOSTS) as fleet:
        session = Session(fleet, script.__doc__)
        await script(session)
        return session.text


def find_file(name: str) -> Path:
    """Return the golden file of a session."""
    return FOLDER / f"{name}.txt"
