"""The fleet of the demo, and commands that a user can run on it."""

from pathlib import Path

from standin.layout import make_demo_layout
from standin.process_fleet import ProcessFleet


class DemoFleet(ProcessFleet):
    """4 hosts in 2 regions, 6 upstreams and a store, as processes."""

    __slots__ = ()

    def __init__(self, folder: Path):
        super().__init__(make_demo_layout(), folder)

    def describe_commands(self) -> str:
        """Return commands that a user can run on the fleet."""
        client = f".venv/bin/radishstile --settings {self.folder}/client.ini"
        key = self.keys.get("bureau", "KEY")
        return "\n".join(
            [
                "Running; try in another shell, and end with Ctrl-C:",
                f"  {client} status",
                f"  {client} show",
                f"  {client} lookup slips",
                f"  {client} send /slips/7 --key {key}",
                f"  {client} history",
                f"  {client} drain upstream press-1",
                f"  logs: {self.folder}/*.log",
            ]
        )
