#!/usr/bin/env python3
"""Tests of the processes that scripts/lib starts and finds."""

import pathlib
import sys
import tempfile
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "scripts" / "lib"))
sys.dont_write_bytecode = True

from masticwinch import process  # noqa: E402

WATCH_SECONDS = 1
# Executes itself again and again, as a wrapper of an emulator does once.
RESTLESS = '#!/bin/sh\nexec "$0" "$@"\n'
# Runs until it is killed.
LASTING = '#!/bin/sh\nexec sleep 60\n'
# Executes another program whose command line ends with the same words.
EMULATED = '#!/bin/sh\nexec sh -c "sleep 60; :" emulator /another/program "$@"\n'


class ProcessTest(unittest.TestCase):
    """Starts scripts instead of daemons."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def start(self, text, name="program"):
        """Starts a script."""
        file = self.folder / name
        file.write_text(text)
        file.chmod(0o755)
        started = process.Process("role", "name", "dc", [str(file), "--settings", "x"],
                                  {})
        started.start(self.folder)
        self.addCleanup(started.kill)
        return started

    def test_a_child_that_executes_another_program_is_found_at_every_moment(self):
        restless = self.start(RESTLESS)
        until = time.monotonic() + WATCH_SECONDS
        while time.monotonic() < until:
            self.assertEqual(restless.pid, restless.find())

    def test_a_program_under_an_emulator_is_found_by_its_command_line(self):
        emulated = self.start(EMULATED)
        pid = emulated.pid
        # As for a process that another run has started.
        child = process._CHILDREN.pop(pid)
        self.addCleanup(lambda: (child.kill(), child.wait()))
        until = time.monotonic() + WATCH_SECONDS
        while emulated.find() is None and time.monotonic() < until:
            pass
        self.assertEqual(pid, emulated.find())

    def test_a_child_that_has_ended_is_not_found(self):
        ended = self.start("#!/bin/sh\n")
        other = self.start(LASTING, "other")
        self.assertTrue(ended.wait_for_end(10))
        self.assertIsNone(ended.find())
        self.assertEqual(other.pid, other.find())


if __name__ == "__main__":
    unittest.main()
