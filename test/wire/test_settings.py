"""Tests of the settings of the peer streams."""

import unittest

from radishstile.wire.settings import WireSettings


class WireSettingsTest(unittest.TestCase):
    def test_unknown_names_are_refused(self):
        with self.assertRaisesRegex(TypeError, "credit"):
            WireSettings("secret", credit=3)

    def test_secret_is_not_shown(self):
        self.assertNotIn("hush", repr(WireSettings("hush")))
