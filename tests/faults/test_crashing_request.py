"""A request that crashes each backend server that runs it, sent again and again to real processes."""

import os
import signal
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from cluster import eventually
from platform_stand_in import NETWORK, Backend, Platform, configuration

DEADLY = "deadly"
# How long a backend server runs the request before it ends, and until it is back.
RUNS_S, BACK_S = 0.05, 0.8
# Within this all instances that reach one another know; the platform's own bound is longer.
CONTACT_S = 2.0
MOST_AFTER_CONTACT = 3
ENOUGH_CRASHES = 3


class MortalBackend(Backend):
    """Ends under each request whose path holds DEADLY, and comes back as another life at the same address."""

    def answer(self, handler):
        if DEADLY not in handler.path:
            super().answer(handler)
            return
        log = self.platform.deadly
        log.arrivals.append((time.monotonic(), handler.path, handler.client_address[0]))
        time.sleep(RUNS_S)
        handler.close_connection = True
        with log.lock:
            if not self.alive:
                return
            self.crash()
            log.crashes.append((time.monotonic(), handler.path))
        threading.Timer(BACK_S, self.come_back).start()

    def come_back(self):
        with self.platform.deadly.lock:
            if not self.platform.deadly.over:
                self.platform.backends.append(MortalBackend(self.platform, self.service, self.address, self.zone))


class DeadlyLog:
    def __init__(self):
        self.lock = threading.Lock()
        self.arrivals, self.crashes, self.over = [], [], False

    def late_arrivals(self, path):
        """Those later than the time of contact after the request crashed enough backend servers."""
        crashes = sorted(at for at, crashed in self.crashes if crashed == path)
        if len(crashes) < ENOUGH_CRASHES:
            return []
        bound = crashes[ENOUGH_CRASHES - 1] + CONTACT_S
        return [arrival for arrival in self.arrivals if arrival[1] == path and arrival[0] > bound]


class CrashingRequestTest(unittest.TestCase):
    def play(self, shards=3, replicas=2, entries=3, suspendable=False):
        platform = Platform(entries=entries)
        if suspendable:
            for machine in platform.machines:
                for process in machine.processes.values():
                    process.may_be_suspended()
        platform.deadly = DeadlyLog()
        platform.__enter__()
        self.addCleanup(platform.__exit__)
        self.addCleanup(lambda: setattr(platform.deadly, "over", True))
        for i in range(shards):
            for k in range(replicas):
                address = "%s.%d:%d" % (NETWORK, 100, 9000 + i * 10 + k)
                platform.backends.append(MortalBackend(platform, "s%d" % i, address))
        self.assertEqual(platform.put(configuration(7, shards)), 200)
        self.await_service(platform)
        return platform

    def served(self, platform, machine, path="/all/x"):
        return platform.request(machine, path, "ok-%d" % time.monotonic_ns())[0] == 200

    def await_service(self, platform):
        for machine in platform.machines[:platform.entries]:
            eventually("machine %d serves" % machine.number, lambda m=machine: self.served(platform, m))

    def send_copies(self, platform, path, machines, seconds, pause=0.25):
        """Sends the request at each of the machines in turn; returns the statuses."""
        statuses, until, i = [], time.monotonic() + seconds, 0
        while time.monotonic() < until:
            machine = machines[i % len(machines)]
            statuses.append(platform.request(machine, path, "copy-%d" % time.monotonic_ns())[0])
            i += 1
            time.sleep(pause)
        return statuses

    def check_contained(self, platform, path):
        deadly = platform.deadly
        self.assertGreaterEqual(len(deadly.crashes), ENOUGH_CRASHES, "the request crashed too few to tell")
        late = deadly.late_arrivals(path)
        self.assertLessEqual(len(late), MOST_AFTER_CONTACT, "%d arrivals, %d crashes in all"
                             % (len(deadly.arrivals), len(deadly.crashes)))

    def test_a_fan_out_that_crashes_its_backend_servers_is_sent_to_no_more_of_them(self):
        platform = self.play()
        machines = platform.machines
        path = "/all/" + DEADLY
        self.send_copies(platform, path, machines, CONTACT_S + 4)
        self.check_contained(platform, path)
        self.await_service(platform)

    def test_a_single_request_that_crashes_its_backend_servers_is_sent_to_no_more_of_them(self):
        platform = self.play()
        path = "/one/" + DEADLY
        # A shard's two backend servers are both down for a while after two crashes.
        self.send_copies(platform, path, platform.machines, CONTACT_S + 6)
        self.check_contained(platform, path)
        self.await_service(platform)

    def test_a_crashing_request_is_known_after_all_processes_were_killed(self):
        platform = self.play()
        path = "/all/" + DEADLY
        self.send_copies(platform, path, platform.machines[:1], CONTACT_S + 2)
        platform.kill_all()
        platform.start_again()
        self.await_service(platform)
        before = len(platform.deadly.crashes)
        self.send_copies(platform, path, platform.machines, CONTACT_S)
        self.check_contained(platform, path)
        self.assertLessEqual(len(platform.deadly.crashes) - before, 1)

    def test_a_crashing_request_is_known_after_a_disk_was_lost_and_all_others_lost_power(self):
        platform = self.play()
        path = "/all/" + DEADLY
        self.send_copies(platform, path, platform.machines[:1], CONTACT_S + 2)
        platform.kill_all()
        platform.machines[0].wipe()
        platform.start_again()
        self.await_service(platform)
        time.sleep(CONTACT_S)
        before = len(platform.deadly.arrivals)
        self.send_copies(platform, path, platform.machines, CONTACT_S)
        self.assertEqual(len(platform.deadly.arrivals), before)

    def test_a_crashing_request_is_known_to_an_entry_that_was_suspended_meanwhile(self):
        platform = self.play(suspendable=True)
        path = "/all/" + DEADLY
        asleep = platform.machines[1].processes["entry"]
        asleep.suspend()
        self.send_copies(platform, path, platform.machines[:1], CONTACT_S + 2)
        asleep.resume()
        self.await_service(platform)
        time.sleep(CONTACT_S)
        before = len(platform.deadly.arrivals)
        self.send_copies(platform, path, platform.machines[1:2], 2.0)
        self.assertEqual(len(platform.deadly.arrivals), before)
        with open(asleep.log) as file:
            self.assertIn(" was_suspended ", file.read())

    def test_a_crashing_request_is_known_to_an_entry_that_was_frozen_meanwhile(self):
        platform = self.play()
        path = "/all/" + DEADLY
        frozen = platform.machines[2].processes["entry"]
        frozen.signal(signal.SIGSTOP)
        self.send_copies(platform, path, platform.machines[:1], CONTACT_S + 2)
        frozen.signal(signal.SIGCONT)
        self.await_service(platform)
        time.sleep(CONTACT_S)
        before = len(platform.deadly.arrivals)
        self.send_copies(platform, path, platform.machines[2:3], 2.0)
        self.assertEqual(len(platform.deadly.arrivals), before)
        self.check_contained(platform, path)

    def lose_during_trial(self, platform, process):
        """Ends the process so that it never reads what is reported of the trial. Returns the thread that does it."""

        def lose():
            deadly = platform.deadly
            eventually("a suspect", lambda: len(deadly.arrivals) == len(deadly.crashes) >= ENOUGH_CRASHES)
            suspected = len(deadly.crashes)
            # A trial begins 100 ms after the last crash at the earliest. By then the crashes are known.
            time.sleep(0.05)
            process.signal(signal.SIGSTOP)
            eventually("the end of the trial", lambda: len(deadly.crashes) > suspected)
            # Until the entry has found out by a new connection that the backend server is gone.
            time.sleep(0.3)
            process.signal(signal.SIGKILL)
            process.handle.wait(30)

        thread = threading.Thread(target=lose, daemon=True)
        thread.start()
        return thread

    # Guards against a proof that is reported to one replica only, once, and is lost with it.
    def test_a_crashing_request_is_known_though_the_replica_that_was_told_of_it_is_lost(self):
        platform = self.play()
        path = "/all/" + DEADLY
        # All entries are in one zone, and so all follow the first replica.
        loss = self.lose_during_trial(platform, platform.machines[0].processes["control"])
        self.send_copies(platform, path, platform.machines[:1], CONTACT_S + 2)
        loss.join(30)
        self.assertFalse(platform.machines[0].running("control"))
        time.sleep(CONTACT_S)
        before = len(platform.deadly.arrivals)
        self.send_copies(platform, path, platform.machines[1:], 2.0)
        self.assertEqual(len(platform.deadly.arrivals), before)
        self.check_contained(platform, path)

    def test_what_was_under_way_beside_it_is_served_again(self):
        platform = self.play()
        platform.deadly.others = []
        stop = threading.Event()

        def ask_others():
            i = 0
            while not stop.is_set():
                i += 1
                path = "/all/other-%d" % i
                statuses = [platform.request(platform.machines[i % 3], path, "other-%d-%d" % (i, k))[0]
                            for k in range(2)]
                platform.deadly.others.append((path, statuses))

        other = threading.Thread(target=ask_others, daemon=True)
        other.start()
        self.send_copies(platform, "/all/" + DEADLY, platform.machines, CONTACT_S + 3)
        stop.set()
        other.join(30)
        self.await_service(platform)
        self.check_contained(platform, "/all/" + DEADLY)
        # Whatever happened to it beside the crashes, each of them is served once they are over.
        for path, _ in [item for item in platform.deadly.others if 200 not in item[1]]:
            self.assertTrue(self.served(platform, platform.machines[0], path), path)


if __name__ == "__main__":
    unittest.main()
