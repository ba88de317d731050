"""All control replicas are replaced by others at new addresses, one after the other, while some instances are not in contact:
on a stand-in of the users' platform, in real processes."""

import json
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
# A control replica that is in touch again has what it missed after this time.
CATCH_UP_S = 4.0
CHANGES, CHANGE_EVERY_S = 3, 1.0
# After this time the links to a process that stands still are closed, so that messages that wait in their buffers tell it
# nothing of later replicas.
LINKS_CLOSED_S = 13.0
# A process that lacks whom to ask is observed for this long.
OBSERVED_S = 6.0
# Two of five or six control replicas may be lost at once.
LARGE_CORE, LARGER_CORE = 5, 6
TEAM_RATE, TEAM_BURST, TEAM_OBSERVED_S = 4, 2, 3.0


def with_routes(version):
    """A configuration with one more route for each version."""
    changed = configuration(version)
    for number in range(1, version + 1):
        changed["routes"].append(dict(changed["routes"][1], name="r-%d" % number, pathPrefix="/added-%d/" % number))
    return changed


def with_teams(document, keys, rate=0):
    """The configuration with a team for each name, and a limit of the team `small` if a rate is given."""
    document["tenants"] = [{"name": "team-" + name, "apiKeys": held} for name, held in sorted(keys.items())]
    for team in document["tenants"]:
        if rate and team["name"] == "team-small":
            team.update(ratePerS=rate, burst=TEAM_BURST)
    return document


class ReplacedCoreTest(unittest.TestCase):
    def start_platform(self, entries=ENTRIES, core=CORE, cuttable=False):
        self.platform = Platform(entries=entries, zones=3, core=core, cuttable=cuttable)
        self.platform.__enter__()
        self.addCleanup(self.platform.__exit__)
        self.platform.add_backend("s0")
        self.version = 0
        self.change()

    def start(self, entries=ENTRIES, core=CORE, cuttable=False):
        self.start_platform(entries, core, cuttable)
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

    def check_changes_at(self, machines, back_at):
        """As check_changes, at several machines with the same changes."""
        unknown = []
        for _ in range(CHANGES):
            due_at = max(self.change() + APPLY_S, back_at + CONTACT_S)
            time.sleep(max(0.0, due_at - time.monotonic()))
            until = time.monotonic() + CHANGE_EVERY_S
            while time.monotonic() < until:
                unknown += [(machine.number, self.version) for machine in machines
                            if self.status_of_newest(machine) == 404]
                time.sleep(0.1)
        self.assertEqual((unknown, [self.status_of_newest(machine) for machine in machines]), ([], [200] * len(machines)))

    # Guards against a search for control replicas that only finds entries which stood still, too, and against an entry that
    # takes the control replica of its own instance for one that is still there.
    def cut_off_while_replaced(self, absent):
        absent.processes["entry"].cut()
        time.sleep(LINKS_CLOSED_S)
        self.replace_core()
        absent.processes["entry"].join()
        self.check_changes(absent, time.monotonic())

    def test_an_entry_that_was_cut_off_while_all_control_replicas_were_replaced_serves_added_routes(self):
        self.start(cuttable=True)
        absent = self.platform.machines[CORE]
        eventually("the entry is linked to others", lambda: any(name.startswith("machine-")
                                                                for name in absent.dump("entry")["reachable_peers"]))
        self.cut_off_while_replaced(absent)

    def test_an_entry_that_was_cut_off_as_soon_as_it_was_ready_serves_added_routes(self):
        self.start_platform(cuttable=True)
        absent = self.platform.machines[CORE]
        eventually("the entry is ready", absent.is_ready)
        self.cut_off_while_replaced(absent)

    def test_several_entries_that_stood_still_at_once_serve_added_routes(self):
        self.start(entries=6)
        first = self.platform.machines[0]
        absent = [first] + self.platform.machines[CORE:CORE + 2]
        for machine in absent:
            machine.processes["entry"].freeze()
        time.sleep(LINKS_CLOSED_S)
        self.platform.replace(first, roles=["control"])
        for machine in self.platform.machines[1:CORE]:
            self.platform.replace(machine)
        for machine in absent:
            machine.processes["entry"].thaw()
        self.check_changes_at(absent, time.monotonic())

    # Guards against a process that serves by nothing: what it doesn't know may exist.
    def test_an_entry_that_starts_with_seeds_that_are_gone_says_of_no_route_that_it_does_not_exist(self):
        self.start()
        absent = self.platform.machines[CORE]
        absent.seeds = list(self.platform.seeds)
        absent.processes["entry"].kill()
        self.replace_core()
        absent.start("entry")
        eventually("it listens", lambda: self.status_of_newest(absent) is not None)
        until, seen = time.monotonic() + OBSERVED_S, set()
        while time.monotonic() < until:
            seen.add((absent.is_ready(), self.status_of_newest(absent)))
            time.sleep(0.1)
        self.assertEqual(seen, {(False, 503)})

    # Guards against withdrawn keys, limits and evacuations that an entry never hears of.
    def test_an_entry_that_stood_still_while_all_control_replicas_were_replaced_has_keys_limits_and_evacuations(self):
        self.start()
        absent, inside = self.platform.machines[CORE], self.platform.backends[0]
        # Most requests go to the near one until its zone is evacuated.
        self.assertEqual(absent.zone, inside.zone)
        self.platform.add_backend("s0", "zone-2")
        self.version += 1
        self.assertEqual(self.platform.put(with_teams(with_routes(self.version), {"large": ["k-l"], "small": ["k-s"]})), 200)
        eventually("keys in force", lambda: self.ask(absent, "k-l") == 200 and self.ask(absent, "k-none") == 401)
        eventually("both are known", lambda: absent.dump("entry").get("registered_backend_servers") == 2)
        before = len(inside.arrivals)
        eventually("the near one serves", lambda: self.ask(absent, "k-l") == 200 and len(inside.arrivals) > before)
        absent.processes["entry"].freeze()
        time.sleep(LINKS_CLOSED_S)
        self.replace_core()
        self.version += 1
        self.assertEqual(self.platform.put(with_teams(with_routes(self.version), {"large": ["k-new"], "small": ["k-s"]},
                                                      TEAM_RATE)), 200)
        self.assertEqual(self.platform.order("/api/evacuations/%s/start" % inside.zone)[0], 200)
        ordered_at = time.monotonic()
        absent.processes["entry"].thaw()
        due_at = max(ordered_at + APPLY_S, time.monotonic() + CONTACT_S)
        time.sleep(due_at - time.monotonic())
        before = len(inside.arrivals)
        keys = [self.ask(absent, key) for key in ("k-l", "k-new")]
        until, told = time.monotonic() + TEAM_OBSERVED_S, []
        while time.monotonic() < until:
            told.append(self.ask(absent, "k-s"))
            time.sleep(0.02)
        served, most = told.count(200), (TEAM_RATE * TEAM_OBSERVED_S + TEAM_BURST) * 1.1 + 4
        self.assertEqual((keys, set(told), len(inside.arrivals) - before), ([401, 200], {200, 429}, 0))
        self.assertLessEqual(served, most)

    def ask(self, machine, key):
        return self.platform.request(machine, "/one/x", "k-%d" % time.monotonic_ns(), headers={"X-Api-Key": key})[0]

    def absent_replica(self, core):
        """Replaces all control replicas but the last one, which stands still meanwhile; it is back when this returns, and a
        change was acknowledged before. Returns it."""
        self.start(entries=core, core=core)
        absent = self.platform.machines[core - 1]
        eventually("all vote", lambda: [len(log) for log in self.platform.voters()] == [core] * 2)
        absent.processes["control"].freeze()
        if core > LARGE_CORE:
            # What is more than the voters that must outlast the losses goes when it is silent.
            eventually("the silent one leaves", lambda: [len(log) for log in self.platform.voters()] == [core - 1] * 2)
        for machine in self.platform.machines[:core - 1]:
            self.platform.replace(machine, absent=[absent])
        self.change()
        absent.processes["control"].thaw()
        return absent

    def read_at(self, machine):
        """The status of a read at this machine, and the version that it shows."""
        status, _, body = call(machine.control, "GET", "/api/config/get", timeout=1.0)
        return status, json.loads(body)["version"] if status == 200 else None

    def check_reads(self, absent):
        """Nothing older than what was acknowledged is read at the control replica that is back."""
        until, older = time.monotonic() + OBSERVED_S, []
        while time.monotonic() < until:
            status, version = self.read_at(absent)
            if status == 200 and version < self.version:
                older.append(version)
            time.sleep(0.05)
        self.assertEqual(older, [])

    def votes(self, machine):
        return [machine.ip + ":7395" in log for log in self.platform.voters()] == [True] * 2

    def leading(self, machine):
        dump = machine.dump("control")
        return any(dump[log]["role"] == "leader" for log in ("catalog", "register"))

    # Guards against a new replica that waits for the leader among its seeds only.
    def test_a_new_replica_whose_seeds_do_not_lead_votes(self):
        self.start(entries=LARGE_CORE, core=LARGE_CORE)
        eventually("all vote", lambda: [len(log) for log in self.platform.voters()] == [LARGE_CORE] * 2)
        lost, *seeds = [machine for machine in self.platform.core() if not self.leading(machine)]
        self.platform.replace(lost, seeds=[seed.control for seed in seeds[:2]])

    # Guards against a control replica that decides alone by what it knew, and against one that stays outside.
    def test_a_voter_that_stood_still_while_all_others_were_replaced_takes_part_again(self):
        absent = self.absent_replica(LARGE_CORE)
        self.check_reads(absent)
        eventually("it votes", lambda: self.votes(absent), patience=CONTACT_S + CATCH_UP_S)
        applied = absent.dump("control")["revision"]
        self.change()
        eventually("it has the change", lambda: absent.dump("control")["revision"] > applied, patience=APPLY_S)

    def test_a_removed_replica_that_stood_still_while_all_others_were_replaced_votes_again(self):
        absent = self.absent_replica(LARGER_CORE)
        self.check_reads(absent)
        eventually("it votes", lambda: self.votes(absent), patience=CONTACT_S + CATCH_UP_S)

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

    # Guards against heartbeats that are confirmed and never reach an entry, so that the backend server calls no other replica.
    def test_a_replica_without_contact_confirms_no_heartbeat_that_entries_do_not_learn_of(self):
        absent = self.absent_replica(LARGER_CORE)
        back_at = time.monotonic()
        unheard, statuses, confirmed_since, sequence = [], set(), None, 0
        while time.monotonic() < back_at + CONTACT_S + OBSERVED_S:
            sequence += 1
            status = self.heartbeat_at(absent, sequence)
            confirmed_since = (confirmed_since or time.monotonic()) if status == 200 else None
            if time.monotonic() >= back_at + CONTACT_S:
                statuses.add(status)
                known = [machine.dump("entry").get("registered_backend_servers") for machine in self.platform.machines
                         if machine.running("entry")]
                if confirmed_since and time.monotonic() > confirmed_since + APPLY_S and min(known) < 2:
                    unheard.append(known)
            time.sleep(0.3)
        self.assertEqual(unheard, [], "of %s" % statuses)
        self.assertTrue(statuses <= {200, 503}, statuses)


if __name__ == "__main__":
    unittest.main(verbosity=2)
