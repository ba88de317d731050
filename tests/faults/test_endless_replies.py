"""Backend servers that send bytes without end, until the entry closes: on a stand-in of the users' platform, in real
processes."""

import concurrent.futures
import os
import re
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from cluster import eventually
from platform_stand_in import Platform, configuration

# The memory of a process in the users' deployments of 60 instances and more.
MEMORY_KB = 160 * 1024
CALLERS = 8
REQUESTS = 48


class EndlessRepliesTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform(entries=1)
        self.platform.__enter__()
        self.addCleanup(self.platform.__exit__)
        self.entry = self.platform.machines[0]
        self.endless, self.sound = [self.platform.add_backend("s0") for _ in range(2)]
        self.assertEqual(self.platform.put(configuration(7, shards=1)), 200)
        eventually("both are known", lambda: self.statuses("warm-up", CALLERS) == [200] * CALLERS and
                   self.endless.arrivals and self.sound.arrivals)

    def status(self, request):
        return self.platform.request(self.entry, "/one/x", request)[0]

    def statuses(self, prefix, requests):
        """Of requests that are sent at once, more than one backend server has slots for."""
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as callers:
            return list(callers.map(self.status, ("%s-%d" % (prefix, i) for i in range(requests))))

    def peak_memory_kb(self):
        with open("/proc/%d/status" % self.entry.processes["entry"].handle.pid) as file:
            return int(re.search(r"VmHWM:\s+(\d+) kB", file.read()).group(1))

    def slots_in_use(self):
        return re.findall(r'"in_use":\s*([1-9]\d*)', str(self.entry.dump("entry")).replace("'", '"'))

    def play(self, kind):
        self.endless.endless = kind
        reached_before = len(self.endless.arrivals)
        answers = self.statuses(kind, REQUESTS)
        self.endless.endless = None
        reached = len(self.endless.arrivals) - reached_before
        self.assertGreater(reached, 0)
        # Only a request that reached that backend server may fail: the budget of further attempts is bounded.
        self.assertLessEqual(REQUESTS - answers.count(200), reached)
        self.assertLessEqual(set(answers), {200, 502})
        eventually("all slots are free", lambda: not self.slots_in_use())
        self.assertLess(self.peak_memory_kb(), MEMORY_KB)

    def test_a_head_without_end_takes_neither_memory_nor_slots(self):
        self.play("head")

    def test_a_chunk_line_without_end_takes_neither_memory_nor_slots(self):
        self.play("chunk_line")

    def test_chunks_without_end_take_neither_memory_nor_slots(self):
        self.play("chunks")

    def test_a_body_without_end_takes_neither_memory_nor_slots(self):
        self.play("body")


if __name__ == "__main__":
    unittest.main(verbosity=2)
