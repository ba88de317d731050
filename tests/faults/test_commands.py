"""Exit statuses and messages of the command line, as docs/commands.md lists them."""

import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from cluster import FLAXTILLER, ROOT


def run(*arguments):
    done = subprocess.run([FLAXTILLER, *arguments], capture_output=True, text=True, timeout=60, check=False)
    return done.returncode, done.stdout + done.stderr


def dump_from(reply):
    """Lets `dump` ask a process that sends these bytes, and closes the connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        def serve():
            connection, _ = listener.accept()
            with connection:
                connection.recv(65536)
                connection.sendall(reply)

        server = threading.Thread(target=serve)
        server.start()
        done = run("dump", "--at=127.0.0.1:%d" % listener.getsockname()[1], "--timeout_ms=5000")
        server.join()
        return done


class CommandTest(unittest.TestCase):
    def test_wrong_use(self):
        for arguments in ((), ("frobnicate",), ("entry",), ("entry", "--nonsense"), ("apply", "--settings=x", "f"),
                          ("check", "entry"), ("check", "teapot", os.path.join(ROOT, "examples/entry-1.json"))):
            self.assertEqual(run(*arguments)[0], 2, arguments)

    def test_nobody_answers(self):
        nobody = ("--control=127.0.0.1:1", "--timeout_ms=100")
        self.assertEqual(run("status", *nobody)[0], 3)
        self.assertEqual(run("dump", "--at=127.0.0.1:1", "--timeout_ms=100")[0], 3)

    def test_bytes_that_are_no_reply_are_not_shown_as_one(self):
        body = b'Content-Length: 9\r\n\r\n{"bad":1}'
        for head in (b"HTTP/1.1 000 OK\r\n", b"HTTP/1.1 600 OK\r\n", b"HTTP/1.1 200 OK\r\nX-A: b\r\n X-Bad: v\r\n",
                     b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n", b"HTTP/1.1 100 Continue\r\n"):
            status, text = dump_from(head + body)
            self.assertEqual(status, 3, head)
            self.assertNotIn("bad", text, head)

    def test_the_reply_after_an_interim_one_is_shown(self):
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
        for framing in (b"Content-Length: 10\r\n\r\n", b"\r\n"):
            status, text = dump_from(interim + b"HTTP/1.1 200 OK\r\n" + framing + b'{"good":1}')
            self.assertEqual(status, 0, text)
            self.assertIn("good", text)

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

    # Guards against a check that passes what a control replica will refuse.
    def test_a_configuration_is_checked_as_a_new_one(self):
        routes = [{"name": name, "host": host, "path_prefix": "/a/", "targets": [{"service": "s"}]}
                  for name, host in (("r-a", "a.example"), ("r-b", "A.example"))]
        document = {"services": [{"name": "s"}], "routes": routes}
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(document, file)
            file.flush()
            status, text = run("check", "configuration", file.name)
        self.assertEqual(status, 1)
        self.assertIn(" at /routes/r-b:", text)

    def test_malformed_text_is_placed_by_its_line(self):
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write('{\n  // a comment\n  "threads": ,\n}')
            file.flush()
            status, text = run("check", "control", file.name)
        self.assertEqual(status, 1)
        self.assertIn(file.name + ":3", text)


if __name__ == "__main__":
    unittest.main(verbosity=2)
