"""All control replicas are replaced by others at new addresses, one after the other, while some instances are not in contact:
on a stand-in of the users' platform, in real processes."""

import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from cluster import eventually
from platform_stand_in import Platform, call, configuration

CORE, ENTRIES = 3, 5
# What the users state: an instance is in touch this long after it is back, and a change in force this long after its
# acknowledgement.
CONTACT_S, APPLY_S = 4.0, 3.0
CHANGES, CHANGE_EVERY_S = 3, 1.0
# After this time the links to a process that stands still are closed, so that messages that wait in their buffers tell it
# nothing of later replicas.
LINKS_CLOSED_S = 13.0
# Two of five control replicas may be lost at once.
LARGE_CORE = 5


def with_routes(version):
    """A configuration with one more route for each version."""
    changed = configuration(version)
    for number in range(1, version + 1):
        changed["routes"].append(dict(changed["routes"][1], name="r-%d" % number, pathPrefix="/added-%d/" % number))
    return changed


class ReplacedCoreTest(unittest.TestCase):
    def start(self, entries=ENTRIES, core=CORE):
        self.platform = Platform(entries=entries, zones=3, core=core)
        self.platform.__enter__()
        self.addCleanup(self.platform.__exit__)
        self.platform.add_backend("s0")
        self.version = 0
        self.change()
        for machine in self.platform.machines:
            eventually("machine %d is ready" % machine.number, machine.is_ready)
        eventually("the leader knows all entries", self.knows_all_entries)

    def knows_all_entries(self):
        entries = [machine for machine in self.platform.machines if machine.running("entry")]
        return all(len(machine.dump("entry").get("reachable_peers", [])) > 0 for machine in entries)

    def change(self):
        self.version += 1
        self.assertEqual(self.platform.put(with_routes(self.version)), 200)
        return time.monotonic()

    def replace_core(self):
        for machine in self.platform.core():
            self.platform.replace(machine)

    def status_of_newest(self, machine):
        path = "/added-%d/x" % self.version
        return self.platform.request(machine, path, "q-%d-%d" % (machine.number, time.monotonic_ns()))[0]

    def check_changes(self, machine, back_at):
        """No machine may say that an added route doesn't exist once it must know it, and the one that is back serves it."""
        unknown, asked = [], 0
        for _ in range(CHANGES):
            due_at = max(self.change() + APPLY_S, back_at + CONTACT_S)
            time.sleep(max(0.0, due_at - time.monotonic()))
            until = time.monotonic() + CHANGE_EVERY_S
            while time.monotonic() < until:
                asked += 1
                status = self.status_of_newest(machine)
                if status == 404:
                    unknown.append(self.version)
                time.sleep(0.1)
        self.assertEqual((unknown, self.status_of_newest(machine)), ([], 200), "of %d requests" % asked)

    def test_an_entry_that_stood_still_while_all_control_replicas_were_replaced_serves_added_routes(self):
        self.start()
        absent = self.platform.machines[CORE]
        absent.processes["entry"].freeze()
        time.sleep(LINKS_CLOSED_S)
        self.replace_core()
        absent.processes["entry"].thaw()
        self.check_changes(absent, time.monotonic())

    def leading(self, machine):
        dump = machine.dump("control")
        return any(dump[log]["role"] == "leader" for log in ("catalog", "register"))

    # Guards against a new replica that waits for the leader among its seeds only.
    def test_a_new_replica_whose_seeds_do_not_lead_votes(self):
        self.start(entries=LARGE_CORE, core=LARGE_CORE)
        eventually("all vote", lambda: [len(log) for log in self.platform.voters()] == [LARGE_CORE] * 2)
        lost, *seeds = [machine for machine in self.platform.core() if not self.leading(machine)]
        self.platform.replace(lost, seeds=[seed.control for seed in seeds[:2]])

    def heartbeat_at(self, machine, sequence):
        """Sends the heartbeat of a backend server to this control replica only; returns the status."""
        body = {"service": "s0", "address": self.platform.backends[0].address, "zone": "zone-1", "version": "v1",
                "capacity": 4, "state": "ready", "warmupRemainingMs": 0, "sequence": sequence, "born": 1}
        return call(machine.control, "POST", "/api/instances/i-alone/heartbeat", body, timeout=1.0)[0]

    # Guards against heartbeats that are confirmed by a replica that can pass them on to nobody.
    def test_a_replica_that_reaches_neither_replicas_nor_entries_refuses_heartbeats(self):
        self.start()
        alone = self.platform.machines[0]
        others = [process for machine in self.platform.machines for process in machine.processes.values()
                  if process is not alone.processes["control"]]
        self.assertEqual(self.heartbeat_at(alone, 1), 200)
        for process in others:
            process.freeze()
        time.sleep(CONTACT_S)
        alone_statuses = {self.heartbeat_at(alone, sequence) for sequence in (2, 3, 4)}
        for process in others:
            process.thaw()
        self.assertEqual(alone_statuses, {503})
        eventually("it confirms heartbeats", lambda: self.heartbeat_at(alone, 5) == 200, patience=CONTACT_S)


if __name__ == "__main__":
    unittest.main(verbosity=2)
