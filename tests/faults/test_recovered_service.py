"""A service whose backend servers were slow and are sound again: on a stand-in of the users' platform, in real processes."""

import os
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from cluster import eventually
from platform_stand_in import Platform, configuration

SLOW_FOR_S, RECOVERY_S, ASKED_FOR_S = 6.0, 5.0, 8.0
INTERVAL_S = 0.5


class RecoveredServiceTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform(entries=1)
        self.platform.__enter__()
        self.addCleanup(self.platform.__exit__)
        self.backends = [self.platform.add_backend("s0") for _ in range(2)]
        self.assertEqual(self.platform.put(configuration(7, shards=1)), 200)
        self.asked = 0
        eventually("an answer", lambda: self.status(2000) == 200)

    def status(self, deadline_ms):
        self.asked += 1
        return self.platform.request(self.platform.machines[0], "/one/x", "r-%d" % self.asked,
                                     deadline_ms=deadline_ms)[0]

    def statuses(self, seconds, interval_s, deadline_ms):
        """Asks at an interval, whether or not earlier requests are answered."""
        found, threads = [], []
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            threads.append(threading.Thread(target=lambda: found.append(self.status(deadline_ms))))
            threads[-1].start()
            time.sleep(interval_s)
        for thread in threads:
            thread.join()
        return found

    def play(self, slow_s, interval_s, deadline_ms):
        for backend in self.backends:
            backend.delay_s = slow_s
        self.statuses(SLOW_FOR_S, interval_s, 2000)
        for backend in self.backends:
            backend.delay_s = 0.005
        self.statuses(RECOVERY_S, INTERVAL_S, deadline_ms)
        self.assertNotIn(503, self.statuses(ASKED_FOR_S, INTERVAL_S, deadline_ms))

    def test_a_service_that_was_slow_for_few_requests_is_served_again(self):
        self.play(slow_s=1.5, interval_s=1.0, deadline_ms=1000)

    def test_a_service_that_was_slow_for_many_requests_is_served_again(self):
        self.play(slow_s=1.0, interval_s=0.1, deadline_ms=500)


if __name__ == "__main__":
    unittest.main(verbosity=2)
