"""What was confirmed to a backend server that deregistered outlasts the end of control replicas and the loss of their disks:
on a stand-in of the users' platform, in real processes."""

import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from cluster import eventually
from platform_stand_in import Platform, call, configuration

# Within this all instances that reach one another know what is registered.
CONTACT_S = 2.0
REQUESTS = 40
# Backend servers wait this long for the answer to a deregistration, and then ask another machine.
ANSWER_S = 1.0


class Leaver:
    """A backend server that deregisters, serves on, and has sent a heartbeat before that is still on its way."""

    def __init__(self, backend):
        self.backend = backend
        backend.beats = False
        # A heartbeat that is under way is over by then.
        time.sleep(0.5)
        self.late = backend.next_body()

    def call(self, machine, what, body):
        return call(machine.control, "POST", "/api/instances/%s/%s" % (self.backend.id, what), body, timeout=ANSWER_S)[0]

    def deregister(self, machine):
        return self.call(machine, "deregister", {"born": self.backend.born})

    def late_heartbeat(self, machine):
        return self.call(machine, "heartbeat", self.late)


class DeregistrationTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform(entries=4)
        self.platform.__enter__()
        self.addCleanup(self.platform.__exit__)
        backends = [self.platform.add_backend("s0") for _ in range(3)]
        self.assertEqual(self.platform.put(configuration(7, shards=1)), 200)
        self.await_served()
        self.leaver = Leaver(backends[0])

    def await_served(self):
        for machine in self.platform.machines:
            eventually("machine %d serves" % machine.number, lambda m=machine: self.is_served(m))

    def is_served(self, machine):
        return self.platform.request(machine, "/one/x", "r-%d" % time.monotonic_ns())[0] == 200

    def arrivals(self):
        """How many requests of all entries reach the backend server that left."""
        self.await_served()
        time.sleep(CONTACT_S)
        before = len(self.leaver.backend.arrivals)
        for i in range(REQUESTS):
            self.is_served(self.platform.machines[i % len(self.platform.machines)])
        return len(self.leaver.backend.arrivals) - before

    def test_a_late_heartbeat_brings_nothing_back_after_all_processes_were_killed(self):
        for machine in self.platform.core():
            self.assertEqual(self.leaver.deregister(machine), 200)
            self.platform.kill_all()
            self.platform.start_again()
            for other in self.platform.machines[:3]:
                eventually("a late heartbeat", lambda m=other: self.leaver.late_heartbeat(m) == 200)
            self.assertEqual(self.arrivals(), 0)

    def test_a_late_heartbeat_brings_nothing_back_after_the_confirming_disk_was_lost_and_all_lost_power(self):
        confirming = self.platform.core()[1]
        self.assertEqual(self.leaver.deregister(confirming), 200)
        self.platform.kill_all()
        confirming.wipe()
        self.platform.start_again()
        eventually("a late heartbeat", lambda: self.leaver.late_heartbeat(confirming) == 200)
        self.assertEqual(self.arrivals(), 0)

    def test_a_replica_that_missed_the_confirmation_brings_nothing_back(self):
        first, _, stopped = self.platform.machines[:3]
        stopped.processes["control"].kill()
        self.assertEqual(self.leaver.deregister(first), 200)
        self.platform.kill_all()
        stopped.start("control")
        eventually("a late heartbeat", lambda: self.leaver.late_heartbeat(stopped) == 200)
        self.platform.start_again()
        self.assertEqual(self.arrivals(), 0)

    def test_a_deregistration_that_one_disk_alone_would_hold_is_not_confirmed(self):
        first, second, third = self.platform.machines[:3]
        for machine in (second, third):
            machine.processes["control"].kill()
        sent_at = time.monotonic()
        self.assertEqual(self.leaver.deregister(first), 503)
        self.assertLess(time.monotonic() - sent_at, ANSWER_S)
        # It takes effect all the same.
        self.assertEqual(self.arrivals(), 0)
        second.start("control")
        eventually("a confirmation", lambda: self.leaver.deregister(first) == 200)
        self.assertEqual(self.arrivals(), 0)


if __name__ == "__main__":
    unittest.main(verbosity=2)
