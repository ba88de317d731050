"""A control replica of another deployment takes over the address of one that is gone: on a stand-in of the users' platform,
in real processes."""

import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from cluster import eventually
from platform_stand_in import Platform, configuration

CORE, ENTRIES = 3, 4
# Longer than the interval at which a refused address is dialled again, and than the time after which a silent member is
# replaced.
WATCHED_S = 12.0


def text_of(process):
    with open(process.log) as file:
        return file.read()


class OtherDeploymentTest(unittest.TestCase):
    def found_foreign(self):
        """A deployment of one control replica with a newer revision, that stood still when ours was founded at its
        address."""
        foreign = Platform(entries=1, core=1)
        foreign.seeds = [foreign.machines[0].control]
        foreign.__enter__()
        self.addCleanup(foreign.__exit__)
        changed = configuration(50)
        changed["routes"][1]["pathPrefix"] = "/foreign/"
        self.assertEqual(foreign.put(changed), 200)
        foreign.kill_all()
        return foreign

    def test_a_control_replica_of_another_deployment_at_the_address_of_one_that_is_gone_is_refused(self):
        foreign = self.found_foreign()
        platform = Platform(entries=ENTRIES, zones=3, core=CORE)
        platform.__enter__()
        self.addCleanup(platform.__exit__)
        platform.add_backend("s0")
        self.assertEqual(platform.put(configuration(1)), 200)
        for machine in platform.machines:
            eventually("machine %d serves" % machine.number, lambda: platform.request(
                machine, "/one/x", "s-%d" % time.monotonic_ns())[0] == 200)
        gone, own = platform.machines[0], platform.machines[1:]
        for process in gone.processes.values():
            process.kill()
        foreign.start_again()
        logs = [machine.processes[role] for machine in own for role in machine.processes]
        eventually("the foreign replica is refused", lambda: any("deployment_refused" in text_of(log) for log in logs))
        until = time.monotonic() + WATCHED_S
        while time.monotonic() < until:
            for machine in own:
                self.assertEqual(platform.request(machine, "/one/x", "q-%d" % time.monotonic_ns())[0], 200)
                self.assertEqual(platform.request(machine, "/foreign/x", "f-%d" % time.monotonic_ns())[0], 404)
            time.sleep(0.2)
        self.assertEqual(platform.put(configuration(2)), 200)
        self.assertEqual(platform.read()["version"], 2)
        self.assertEqual(foreign.read()["version"], 50)
        for log in logs:
            self.assertLessEqual(text_of(log).count("deployment_refused"), 2, log.log)

    # Guards against a replica that, after a restart, offers its log to a foreign leader until its own leader is back.
    def test_a_control_replica_that_restarts_without_a_leader_refuses_another_deployment(self):
        foreign = self.found_foreign()
        platform = Platform(entries=0, core=CORE)
        platform.__enter__()
        self.addCleanup(platform.__exit__)
        self.assertEqual(platform.put(configuration(1)), 200)
        alone = platform.machines[1]
        eventually("all have the revision", lambda: all(machine.dump("control").get("revision") == 1
                                                        for machine in platform.machines))
        platform.kill_all()
        foreign.start_again()
        eventually("the foreign replica leads", lambda: foreign.read()["version"] == 50)
        alone.start("control")
        eventually("the foreign replica is refused", lambda: "deployment_refused" in text_of(alone.processes["control"]))
        self.assertEqual(alone.dump("control").get("reachable_peers"), [])


if __name__ == "__main__":
    unittest.main(verbosity=2)
