"""Exit statuses and messages of the command line, as docs/commands.md lists them."""

import os
import subprocess
import sys
import tempfile
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from cluster import FLAXTILLER, ROOT


def run(*arguments):
    done = subprocess.run([FLAXTILLER, *arguments], capture_output=True, text=True, timeout=60, check=False)
    return done.returncode, done.stdout + done.stderr


class CommandTest(unittest.TestCase):
    def test_wrong_use(self):
        for arguments in ((), ("frobnicate",), ("entry",), ("entry", "--nonsense"), ("apply", "--settings=x", "f"),
                          ("check", "entry"), ("check", "teapot", os.path.join(ROOT, "examples/entry-1.json"))):
            self.assertEqual(run(*arguments)[0], 2, arguments)

    def test_nobody_answers(self):
        nobody = ("--control=127.0.0.1:1", "--timeout_ms=100")
        self.assertEqual(run("status", *nobody)[0], 3)
        self.assertEqual(run("dump", "--at=127.0.0.1:1", "--timeout_ms=100")[0], 3)

    def test_help(self):
        status, text = run("query", "--help")
        self.assertEqual(status, 0)
        self.assertIn("--deadline_ms", text)
        self.assertNotIn("--init", text)

    def test_findings_are_reported_together_with_their_place(self):
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write('{"instance": {"name": ""}, "threads": 0, "thread": 1,\n "listen": {"callers": "nowhere"}}')
            file.flush()
            status, text = run("check", "entry", file.name)
        self.assertEqual(status, 1)
        for place in ("/instance/name", "/threads", "/thread", "/listen/callers", "/listen/link", "/control"):
            self.assertIn(" at " + place + ":", text)

    def test_malformed_text_is_placed_by_its_line(self):
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write('{\n  // a comment\n  "threads": ,\n}')
            file.flush()
            status, text = run("check", "control", file.name)
        self.assertEqual(status, 1)
        self.assertIn(file.name + ":3", text)


if __name__ == "__main__":
    unittest.main(verbosity=2)
