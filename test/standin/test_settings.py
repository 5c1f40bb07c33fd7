"""Tests of the stand-ins' settings files."""

import tempfile
import unittest
from pathlib import Path

from radishstile.errors import SettingsError
from standin.settings import read_upstream_settings


class UpstreamSettingsTest(unittest.TestCase):
    def read(self, ports: str):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "upstream.ini")
            path.write_text(
                f"[upstream]\nnames = a, b\nports = {ports}\nslots = 3\n",
                encoding="utf-8",
            )
            return read_upstream_settings(str(path))

    def test_reads_one_upstream_for_each_name(self):
        found = [
            (item.name, item.port, item.slots) for item in self.read("1,2")
        ]
        self.assertEqual(found, [("a", 1, 3), ("b", 2, 3)])

    def test_refuses_names_without_ports(self):
        for ports in ("1", "1, x"):
            with self.subTest(ports=ports), self.assertRaises(SettingsError):
                self.read(ports)
