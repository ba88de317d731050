"""Changes of the configuration in real processes with the platform's times, and whether they are in force in time."""

import json
import os
import re
import time
import unittest

from cluster import ROOT, Cluster
from platform_stand_in import render

# The stated bounds, in seconds: an instance counts as in touch this long after its connections were disturbed, a change
# is in force this long after it was acknowledged, and acknowledged this long after it was sent.
CONTACT_S, APPLY_S, ACKNOWLEDGE_S = 4.0, 3.0, 5.0


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


class ChangesInTime(unittest.TestCase):
    """Three control replicas and two entries, with a relay before each link to a replica."""

    def setUp(self):
        self.cluster = Cluster(controls=3, entries=2, shards=1, replicas=1, relays=True, in_memory=True,
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

    def await_in_force(self):
        for entry in self.cluster.entry_names:
            self.in_force_at(entry)

    def check_change(self, disturbed_at):
        sent_at = time.monotonic()
        acknowledged_at = self.change()
        due_at = max(disturbed_at + CONTACT_S, acknowledged_at + APPLY_S)
        in_force = {entry: self.in_force_at(entry) for entry in self.cluster.entry_names}
        print("ms since the disturbance: acknowledged %d, in force %s" % (
            (acknowledged_at - disturbed_at) * 1000, {e: int((at - disturbed_at) * 1000) for e, at in in_force.items()}))
        self.assertLessEqual(acknowledged_at - sent_at, ACKNOWLEDGE_S)
        for entry, at in in_force.items():
            self.assertLessEqual(at - due_at, 0.0, entry)
