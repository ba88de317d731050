"""Losses that overlap while no more disks are lost than the platform states: on a stand-in of the users' platform, in
real processes."""

import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from cluster import eventually
from platform_stand_in import Platform, call, configuration

CORE = 6
DISKS_THAT_MAY_BE_LOST = 2
# Fewer voters don't outlast the loss of that many disks.
LEAST_VOTERS = 2 * DISKS_THAT_MAY_BE_LOST + 1
# A voter that is silent for longer may be removed.
LOST_AFTER_S = 3.0
# What the users state for their own deployment of this size.
RECOVERY_S = 15.0
RESTART_S = 0.8


class OverlappingLossesTest(unittest.TestCase):
    def start(self, core):
        self.platform = Platform(entries=0, core=core)
        self.platform.__enter__()
        self.addCleanup(self.platform.__exit__)
        self.assertEqual(self.platform.put(configuration(7)), 200)
        eventually("all vote", lambda: self.voters() == [core] * 2)

    def leader(self, log):
        """The machine that leads a log, and what it says of it."""
        for machine in self.platform.core():
            state = machine.dump("control").get(log, {})
            if state.get("role") == "leader":
                return machine, state
        return None, {"members": []}

    def members(self, log):
        return self.leader(log)[1]["members"]

    def votes(self, machine):
        """Whether the leaders of both logs have the replicas of this very disk as voters."""
        own = machine.dump("control")
        return bool(own) and all(any(member["incarnation"] == own[log].get("incarnation") and member["voter"]
                                     for member in self.members(log)) for log in ("catalog", "register"))

    def voters(self):
        """The numbers of voters of both logs."""
        return [sum(member["voter"] for member in self.members(log)) for log in ("catalog", "register")]

    def kill(self, *machines):
        for machine in machines:
            machine.processes["control"].kill()

    def lose_disks_and_read_back(self, version, wiped):
        """A change is acknowledged, all are killed, and some disks are lost."""
        self.assertEqual(self.platform.put(configuration(version)), 200)
        self.platform.kill_all()
        for machine in wiped:
            machine.wipe()
        time.sleep(RESTART_S)
        self.platform.start_again()
        back_at = time.monotonic()
        self.assertEqual(self.platform.read()["version"], version)
        self.assertLess(time.monotonic() - back_at, RECOVERY_S)

    def test_voters_outlast_two_lost_disks_while_two_silent_machines_return_one_after_the_other(self):
        self.start(CORE)
        first, second, *_, fifth, sixth = self.platform.machines
        self.kill(fifth)
        eventually("the silent voter is removed", lambda: self.voters() == [LEAST_VOTERS] * 2)
        self.kill(sixth)
        time.sleep(LOST_AFTER_S + 0.5)
        fifth.start("control")
        until = time.monotonic() + 2 * LOST_AFTER_S
        fewest = LEAST_VOTERS
        while time.monotonic() < until and fewest == LEAST_VOTERS:
            fewest = min(fewest, *(count or LEAST_VOTERS for count in self.voters()))
        self.lose_disks_and_read_back(9, (first, second))
        self.assertEqual(fewest, LEAST_VOTERS)

    def test_a_replica_with_a_new_disk_is_elected_by_one_that_missed_its_return(self):
        self.start(5)
        leader = self.leader("catalog")[0]
        renewed, absent, *lagging = [machine for machine in self.platform.machines if machine is not leader]
        self.kill(absent, renewed)
        renewed.wipe()
        renewed.start("control")
        eventually("the new disk votes", lambda: self.votes(renewed))
        # A change reaches the leader and the new disk only.
        for machine in lagging:
            machine.processes["control"].freeze()
        call(leader.control, "POST", "/api/config/replace", configuration(9), timeout=0.3)
        self.platform.kill_all()
        for machine in (leader, lagging[0]):
            machine.wipe()
        time.sleep(RESTART_S)
        self.platform.start_again()
        back_at = time.monotonic()
        self.assertIn(self.platform.read()["version"], (7, 9))
        self.assertLess(time.monotonic() - back_at, RECOVERY_S)


if __name__ == "__main__":
    unittest.main(verbosity=2)
