"""Links between processes that stay open and carry nothing more, while new ones work, in real processes with the platform's
times and the least bounds that a deployment sets."""

import json
import os
import re
import signal
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from cluster import ROOT, Cluster
from platform_stand_in import render

# The stated bounds, in seconds: an instance counts as in touch this long after its connections were disturbed, a change
# is in force this long after it was acknowledged, and acknowledged this long after it was sent.
CONTACT_S, APPLY_S, ACKNOWLEDGE_S = 4.0, 3.0, 5.0
TOWARDS_REPLICA, FROM_REPLICA, BOTH_WAYS = signal.SIGPROF, signal.SIGVTALRM, signal.SIGALRM


def platform_times(role):
    """The settings of the platform's template that concern time."""
    with open(os.path.join(ROOT, "platform", role + ".json")) as file:
        text = re.sub(r"^\s*//.*$", "", file.read(), flags=re.M)
    bounds = {"contactMs": int(CONTACT_S * 1000), "configApplyMs": int(APPLY_S * 1000),
              "ackMs": int(ACKNOWLEDGE_S * 1000), "drainMs": 3000, "graceS": 6, "retryBudgetRatio": 0.2,
              "retryBudgetSlack": 60, "retryWindowS": 10}
    fields = {"listenAddrs": {"front": "", "readiness": "", "control": ""}, "internalPortRange": [0, 0], "seeds": [],
              "zones": {}, "heartbeatIntervalMs": 1200, "bounds": bounds}
    settings = json.loads(render(text, fields))
    return {key: settings[key] for key in ("links", "timing", "report_every_ms", "bounds") if key in settings}


class SilentLinksTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster(controls=3, entries=2, shards=1, replicas=1, relays=True,
                               control_extra=platform_times("control"))
        self.addCleanup(self.cluster.__exit__)
        self.cluster.start_all(platform_times("entry"))
        self.revision = 1

    def change(self):
        self.revision += 1
        answer = self.cluster.apply("change-%d" % self.revision, self.revision - 1,
                                    {"upsert": {"services": [{"name": "s%d" % self.revision, "shards": 1}]}}, "patch")
        self.assertEqual((answer["status"], answer["revision"]), ("accepted", self.revision))
        return time.monotonic()

    def in_force_at(self, entry, patience=20.0):
        until = time.monotonic() + patience
        while time.monotonic() < until:
            if (self.cluster.dump(entry) or {}).get("revision", 0) >= self.revision:
                return time.monotonic()
            time.sleep(0.01)
        self.fail("revision %d isn't in force at %s after %g s" % (self.revision, entry, patience))

    def check_change(self, silent_at):
        sent_at = time.monotonic()
        acknowledged_at = self.change()
        due_at = max(silent_at + CONTACT_S, acknowledged_at + APPLY_S)
        in_force = {entry: self.in_force_at(entry) for entry in self.cluster.entry_names}
        print("ms since the silence: acknowledged %d, in force %s" % (
            (acknowledged_at - silent_at) * 1000, {e: int((at - silent_at) * 1000) for e, at in in_force.items()}))
        self.assertLessEqual(acknowledged_at - sent_at, ACKNOWLEDGE_S)
        for entry, at in in_force.items():
            self.assertLessEqual(at - due_at, 0.0, entry)

    def silence_and_change(self, sources, how=BOTH_WAYS, phases=(0.1, 0.4, 0.7)):
        """A change at the moment at which the links fall silent, at several moments within a report interval."""
        for phase in phases:
            self.change()
            for entry in self.cluster.entry_names:
                self.in_force_at(entry)
            time.sleep(CONTACT_S + phase)
            silent_at = time.monotonic()
            self.cluster.silence(sources, how)
            self.check_change(silent_at)

    def test_entries_apply_a_change_in_time_although_their_links_fell_silent(self):
        self.silence_and_change(self.cluster.entry_names)

    def test_entries_apply_a_change_in_time_although_replicas_receive_nothing_on_their_links(self):
        self.silence_and_change(self.cluster.entry_names, TOWARDS_REPLICA)

    def test_entries_apply_a_change_in_time_although_they_receive_nothing_on_their_links(self):
        self.silence_and_change(self.cluster.entry_names, FROM_REPLICA)

    def test_a_change_is_acknowledged_in_time_although_the_links_of_replicas_fell_silent(self):
        self.silence_and_change(self.cluster.control_names)

    def test_a_change_is_acknowledged_in_time_although_replicas_receive_nothing_on_some_links(self):
        self.silence_and_change(self.cluster.control_names, TOWARDS_REPLICA)

    def test_a_change_is_in_force_in_time_although_all_links_fell_silent(self):
        self.silence_and_change(self.cluster.entry_names + self.cluster.control_names)

    def test_a_later_change_is_in_force_in_time_although_replicas_receive_nothing_on_their_links(self):
        # A replica sends updates for some seconds after the last report that it received, and none later.
        self.cluster.silence(self.cluster.entry_names, TOWARDS_REPLICA)
        silent_at = time.monotonic()
        time.sleep(CONTACT_S)
        self.check_change(silent_at)


if __name__ == "__main__":
    unittest.main(verbosity=2)
