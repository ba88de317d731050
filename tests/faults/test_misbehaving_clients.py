"""Crowds of clients that don't behave, on a stand-in of the users' platform, in real processes. Whatever they send, no process
ends, each stays within the memory and the descriptors that its settings give it, and an ordinary request is answered."""

import itertools
import os
import re
import signal
import socket
import struct
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from cluster import eventually
from crowd import Crowd, Script
from platform_stand_in import Platform, call, configuration

# What the machines of these tests have; a crowd of a few hundred clients exceeds it.
MEMORY_MB = 128
DESCRIPTORS = 600
# With these, the memory is exceeded before the descriptors.
MANY_DESCRIPTORS = 4100
# Descriptors that the users' pages keep for files outside the disk folder.
FILE_DESCRIPTORS = 200
BODY_BYTES = 262144
ENDLESS_CLIENTS, CROWD = 12, 600
ENDLESS_BYTES = 24 << 20
LARGE_CHUNK, SMALL_CHUNK = 32768, 8
# More than what the system buffers of a connection.
ANSWER_BYTES = 8 << 20
SAMPLE_S = 0.05

POST = ("POST /one/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: crowd\r\nX-Deadline-Ms: 2000\r\n"
        "Content-Type: text/plain\r\n")
CHUNKED = (POST + "Transfer-Encoding: chunked\r\n\r\n").encode()
GET = b"GET /one/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: crowd\r\nX-Deadline-Ms: 2000\r\n\r\n"


def with_length(length, path="/one/x"):
    return (POST.replace("/one/x", path) + "Content-Length: %d\r\n\r\n" % length).encode()


def chunks(size, total):
    """Chunks of a size whose data has a total length."""
    return (b"%x\r\n" % size + b"a" * size + b"\r\n") * (total // size)


ENDLESS = {"trailers": Script(CHUNKED + b"0\r\n", b"X-Filler: " + b"a" * 86 + b"\r\n", ENDLESS_BYTES),
           "trailer_field": Script(CHUNKED + b"0\r\nX-Filler: ", b"a" * 4096, ENDLESS_BYTES),
           "chunk_line": Script(CHUNKED + b"5;x=", b"a" * 4096, ENDLESS_BYTES),
           "head": Script(b"GET /one/x HTTP/1.1\r\nX-Filler: ", b"a" * 4096, ENDLESS_BYTES)}
LENGTH_HEAD = with_length(BODY_BYTES)
STOPPING = {"length": Script(LENGTH_HEAD, b"a" * 4096, len(LENGTH_HEAD) + BODY_BYTES - 1),
            "length_in_pieces": Script(LENGTH_HEAD, b"a" * 4096, len(LENGTH_HEAD) + BODY_BYTES - 1, piece=2048),
            "large_chunks": Script(CHUNKED + chunks(LARGE_CHUNK, BODY_BYTES)),
            "small_chunks": Script(CHUNKED + chunks(SMALL_CHUNK, BODY_BYTES))}


class Usage:
    """Samples what a process holds: its memory with the bytes that arrived and that it hasn't read, and its descriptors."""

    def __init__(self, process, addresses):
        self.process = process
        self.pid = process.handle.pid
        self.local = {self.hexadecimal(address) for address in addresses}
        self.peak_kb, self.most_descriptors = 0, 0
        self.stopping = False
        self.thread = threading.Thread(target=self.run, daemon=True)

    @staticmethod
    def hexadecimal(address):
        host, port = address.split(":")
        return "%08X:%04X" % (struct.unpack("=I", socket.inet_aton(host))[0], int(port))

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.stopping = True
        self.thread.join()
        if self.process.handle.poll() is None:
            self.peak_kb = max(self.peak_kb, self.status_kb("VmHWM"))

    def status_kb(self, name):
        with open("/proc/%d/status" % self.pid) as file:
            found = re.search(name + r":\s+(\d+) kB", file.read())
        return int(found.group(1)) if found else 0

    def unread_kb(self):
        unread = 0
        with open("/proc/net/tcp") as file:
            for line in itertools.islice(file, 1, None):
                fields = line.split()
                # The queue of a listening socket counts connections.
                if fields[1] in self.local and fields[3] != "0A":
                    unread += int(fields[4].split(":")[1], 16)
        return unread // 1024

    def run(self):
        while not self.stopping and self.process.handle.poll() is None:
            try:
                self.peak_kb = max(self.peak_kb, self.status_kb("VmRSS") + self.unread_kb())
                self.most_descriptors = max(self.most_descriptors, len(os.listdir("/proc/%d/fd" % self.pid)))
            except OSError:
                # The process has just ended, which the test notices.
                return
            time.sleep(SAMPLE_S)


class CrowdTest(unittest.TestCase):
    descriptors = DESCRIPTORS

    def setUp(self):
        self.platform = Platform(entries=1, limits={"memoryMb": MEMORY_MB, "maxFds": self.descriptors})
        self.platform.__enter__()
        self.addCleanup(self.platform.__exit__)
        self.entry = self.platform.machines[0]
        self.backends = [self.platform.add_backend("s0") for _ in range(2)]
        self.version = 0
        self.configure()
        self.serves("warm-up")

    def configure(self, body_bytes=BODY_BYTES):
        self.version += 1
        changed = configuration(self.version, shards=1)
        changed["limits"]["maxBodyBytes"] = body_bytes
        self.assertEqual(self.platform.put(changed), 200)

    def serves(self, what, body=None):
        """An ordinary caller, which comes back when it is refused, gets its answer."""
        numbers = itertools.count()
        method = "GET" if body is None else "POST"

        def answered():
            fields = {"Host": "h.example", "X-Request-Id": "%s-%d" % (what, next(numbers)), "X-Deadline-Ms": "2000"}
            return call(self.entry.front, method, "/one/x", body, fields)[0] == 200

        eventually("an answer: " + what, answered)

    def usage(self, role="entry"):
        addresses = {"entry": (self.entry.front, self.entry.readiness), "control": (self.entry.control,)}
        return Usage(self.entry.processes[role], addresses[role])

    def check(self, usage):
        self.assertIsNone(usage.process.handle.poll(), "the process has ended")
        self.assertLess(usage.peak_kb, MEMORY_MB * 1024)
        self.assertLess(usage.most_descriptors, self.descriptors - FILE_DESCRIPTORS)

    def play(self, scripts, size):
        """A crowd comes, stays, and goes; an ordinary caller comes beside it and afterwards."""
        with self.usage() as usage:
            with Crowd(self.entry.front, size, scripts) as crowd:
                crowd.await_settled()
                self.serves("beside")
            self.serves("afterwards")
            self.serves("largest", b"b" * BODY_BYTES)
        self.check(usage)

    def play_slow(self):
        """Whole bodies, while the backend servers take their time."""
        for backend in self.backends:
            backend.delay_s = 1.0
        with self.usage() as usage:
            with Crowd(self.entry.front, CROWD, [Script(LENGTH_HEAD + b"a" * BODY_BYTES)]) as crowd:
                crowd.await_settled()
                for backend in self.backends:
                    backend.delay_s = 0.0
                self.serves("beside")
            self.serves("largest", b"b" * BODY_BYTES)
        self.check(usage)

    def play_unread(self):
        """Answers that nobody reads."""
        for backend in self.backends:
            backend.body_bytes = ANSWER_BYTES
        with self.usage() as usage:
            with Crowd(self.entry.front, CROWD, [Script(GET, reads=False)]) as crowd:
                crowd.await_settled()
                eventually("many answers", lambda: sum(len(backend.served) for backend in self.backends) > CROWD // 20)
                self.serves("beside")
            for backend in self.backends:
                backend.body_bytes = 0
            self.serves("afterwards")
        self.check(usage)


class MisbehavingClientsTest(CrowdTest):
    def test_trailers_without_end(self):
        self.play([ENDLESS["trailers"]], ENDLESS_CLIENTS)

    def test_a_trailer_field_without_end(self):
        self.play([ENDLESS["trailer_field"]], ENDLESS_CLIENTS)

    def test_a_chunk_line_without_end(self):
        self.play([ENDLESS["chunk_line"]], ENDLESS_CLIENTS)

    def test_a_head_without_end(self):
        self.play([ENDLESS["head"]], ENDLESS_CLIENTS)

    def test_bodies_that_stop_short(self):
        self.play([STOPPING["length"]], CROWD)

    def test_bodies_in_pieces_that_stop_short(self):
        self.play([STOPPING["length_in_pieces"]], CROWD)

    def test_large_chunks_that_stop_short(self):
        self.play([STOPPING["large_chunks"]], CROWD)

    def test_small_chunks_that_stop_short(self):
        self.play([STOPPING["small_chunks"]], CROWD)

    def test_a_mixed_crowd(self):
        self.play(list(STOPPING.values()) + list(ENDLESS.values()), CROWD)

    def test_heads_that_stop_short(self):
        self.play([Script(b"GET /one/x HTTP/1.1\r\nX-Filler: " + b"a" * 12000)], CROWD)

    def test_connections_without_a_byte(self):
        self.play([Script(b"")], CROWD)

    def test_whole_bodies_while_backend_servers_are_slow(self):
        self.play_slow()

    def test_requests_ahead_of_their_answers(self):
        for backend in self.backends:
            backend.delay_s = 1.0
        with self.usage() as usage:
            with Crowd(self.entry.front, CROWD, [Script(GET, GET, 1 << 20)]) as crowd:
                time.sleep(2.0)
                for backend in self.backends:
                    backend.delay_s = 0.0
                self.serves("beside")
            self.serves("afterwards")
        self.check(usage)

    def test_answers_that_are_not_read(self):
        self.play_unread()

    def test_bodies_at_the_control_address(self):
        head = with_length(8 << 20, "/api/config/replace")
        script = Script(head, b"a" * 4096, len(head) + (8 << 20) - 1)
        with self.usage("control") as usage:
            with Crowd(self.entry.control, 24, [script]) as crowd:
                crowd.await_settled()
                self.serves("beside")
                self.configure()
            self.configure()
        self.check(usage)

    def test_connections_without_a_byte_at_the_control_address(self):
        with self.usage("control") as usage:
            with Crowd(self.entry.control, CROWD, [Script(b"")]) as crowd:
                crowd.await_settled()
                self.configure()
            self.configure()
        self.check(usage)

    def test_a_single_request_above_the_memory_for_all(self):
        size = 24 << 20
        self.configure(size)
        with self.usage() as usage:
            self.serves("larger", b"b" * size)
        self.check(usage)

    def test_a_smaller_limit_while_bodies_arrive(self):
        with self.usage() as usage:
            with Crowd(self.entry.front, CROWD, list(STOPPING.values())) as crowd:
                self.configure(BODY_BYTES // 4)
                self.configure(BODY_BYTES)
                crowd.await_settled()
                self.configure(BODY_BYTES // 4)
                self.serves("beside")
            self.serves("largest", b"b" * (BODY_BYTES // 4))
        self.check(usage)

    def test_settings_read_again_beside_a_crowd(self):
        with self.usage() as usage:
            with Crowd(self.entry.front, CROWD, list(STOPPING.values())) as crowd:
                for _ in range(5):
                    self.entry.reload("entry")
                    time.sleep(0.1)
                crowd.await_settled()
                self.entry.reload("entry")
                self.serves("beside")
        self.check(usage)

    def test_a_planned_stop_beside_a_crowd(self):
        process = self.entry.processes["entry"]
        with self.usage() as usage:
            with Crowd(self.entry.front, CROWD, list(STOPPING.values()) + [Script(b"")]) as crowd:
                crowd.await_settled()
                self.assertEqual(process.stop(), 0)
        self.assertLess(usage.peak_kb, MEMORY_MB * 1024)
        self.entry.start("entry")
        self.serves("started again")

    def test_the_memory_is_given_back_afterwards(self):
        with self.usage() as usage:
            with Crowd(self.entry.front, CROWD, list(STOPPING.values())) as crowd:
                crowd.await_settled()
            self.serves("afterwards")
            eventually("half of the memory is free", lambda: usage.status_kb("VmRSS") < MEMORY_MB * 1024 // 2)
        self.check(usage)


class ManyDescriptorsTest(CrowdTest):
    """The same crowds where the memory is what they exceed first."""

    descriptors = MANY_DESCRIPTORS

    def test_bodies_that_stop_short_with_many_descriptors(self):
        self.play([STOPPING["length"]], CROWD)

    def test_bodies_in_pieces_that_stop_short_with_many_descriptors(self):
        self.play([STOPPING["length_in_pieces"]], CROWD)

    def test_large_chunks_that_stop_short_with_many_descriptors(self):
        self.play([STOPPING["large_chunks"]], CROWD)

    def test_small_chunks_that_stop_short_with_many_descriptors(self):
        self.play([STOPPING["small_chunks"]], CROWD)

    def test_a_mixed_crowd_with_many_descriptors(self):
        self.play(list(STOPPING.values()) + list(ENDLESS.values()), CROWD)

    def test_whole_bodies_while_backend_servers_are_slow_with_many_descriptors(self):
        self.play_slow()

    def test_answers_that_are_not_read_with_many_descriptors(self):
        self.play_unread()


if __name__ == "__main__":
    unittest.main(verbosity=2)
