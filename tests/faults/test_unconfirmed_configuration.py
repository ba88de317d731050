"""An entry whose configuration no leader has confirmed lately doesn't say that a route or key doesn't exist: on a stand-in
of the users' platform, in real processes."""

import os
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from cluster import Cluster, eventually
from platform_stand_in import Platform, configuration

CORE, ENTRIES = 3, 4
# What the users state as the time within which changes are in force, and what a machine that is busy may add.
APPLY_S, MARGIN_S = 3.0, 1.5
KEY = "key-of-small-1"
KNOWN, UNKNOWN = "/one/x", "/nowhere/x"


def with_team(version):
    document = configuration(version)
    document["tenants"] = [{"name": "team-small", "apiKeys": [KEY]}]
    return document


class UnconfirmedConfigurationTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform(entries=ENTRIES, core=CORE)
        self.platform.__enter__()
        self.addCleanup(self.platform.__exit__)
        self.platform.add_backend("s0")
        self.assertEqual(self.platform.put(with_team(1)), 200)
        for machine in self.platform.machines:
            eventually("machine %d is ready" % machine.number, machine.is_ready)
        self.entry = self.platform.machines[CORE]
        eventually("the entry serves", lambda: self.ask(KNOWN)[0] == 200)
        self.check_in_contact()

    def ask(self, path, key=KEY, deadline_ms=2000):
        request = "q-%d" % time.monotonic_ns()
        return self.platform.request(self.entry, path, request, headers={"X-Api-Key": key}, deadline_ms=deadline_ms)

    def check_in_contact(self):
        self.assertEqual(self.ask(UNKNOWN)[0], 404)
        self.assertEqual(self.ask(KNOWN, key="unknown")[0], 401)

    def check_refused(self, answer):
        status, headers, _ = answer
        self.assertEqual(status, 503)
        self.assertLess(float(headers["Retry-After"]), 1.0)

    def check_unconfirmed(self):
        self.check_refused(self.ask(UNKNOWN))
        self.check_refused(self.ask(KNOWN, key="unknown"))
        self.assertEqual(self.ask(KNOWN)[0], 200)

    def control(self):
        return [machine.processes["control"] for machine in self.platform.machines if machine.in_core]

    def counted(self):
        return self.entry.dump("entry")["metrics"]["counters"]["refused_unconfirmed"]

    def check_contact_returns(self):
        for path, key, status in ((UNKNOWN, KEY, 404), (KNOWN, "unknown", 401)):
            eventually("%d again" % status, lambda: self.ask(path, key=key)[0] == status)

    def test_an_entry_without_a_leader_says_of_nothing_that_it_does_not_exist(self):
        for process in self.control():
            process.kill()
        time.sleep(APPLY_S + MARGIN_S)
        before = self.counted()
        self.check_unconfirmed()
        self.assertEqual(self.counted(), before + 2)
        self.assertFalse(self.entry.dump("entry")["configuration_is_confirmed"])
        self.platform.start_again()
        self.check_contact_returns()
        self.assertTrue(self.entry.dump("entry")["configuration_is_confirmed"])

    def test_an_entry_that_stood_still_judges_its_first_request_by_the_time_that_passed(self):
        # The leader goes on later, so that the answers are those of an entry that no leader has told anything yet.
        for process in self.control():
            process.freeze()
        self.entry.processes["entry"].freeze()
        time.sleep(APPLY_S + MARGIN_S)
        answers = {}
        waiting = [threading.Thread(target=lambda path=path, key=key: answers.update({(path, key): self.ask(path, key=key)}))
                   for path, key in ((UNKNOWN, KEY), (KNOWN, "unknown"))]
        for thread in waiting:
            thread.start()
        time.sleep(0.2)
        self.entry.processes["entry"].thaw()
        for thread in waiting:
            thread.join()
        for answer in answers.values():
            self.check_refused(answer)
        self.assertEqual(len(answers), len(waiting))
        self.check_unconfirmed()
        for process in self.control():
            process.thaw()
        self.check_contact_returns()


class UnconfirmedQueryTest(unittest.TestCase):
    """The same for queries by the project's own protocol, without agreed bounds."""

    MISSING = ({"service": "nowhere"}, {"shards": [99]})

    def refusals(self):
        return [self.cluster.query("e1", **request) for request in self.MISSING]

    def statuses(self):
        return [status for status, _ in self.refusals()]

    def test_a_query_for_an_unknown_service_or_shard(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.__exit__)
        self.cluster.start_all()
        eventually("the service answers", lambda: self.cluster.query("e1")[0] == 200)
        self.assertEqual(self.statuses(), [404, 404])
        for name in self.cluster.control_names:
            self.cluster.by_name[name].freeze()
        time.sleep(APPLY_S)
        for status, answer in self.refusals():
            self.assertEqual((status, answer["outcome"]), (503, "not_run"))
            self.assertGreater(answer["retry_after_ms"], 0)
        self.assertEqual(self.cluster.query("e1")[0], 200)
        for name in self.cluster.control_names:
            self.cluster.by_name[name].thaw()
        eventually("404 again", lambda: self.statuses() == [404, 404])


if __name__ == "__main__":
    unittest.main(verbosity=2)
