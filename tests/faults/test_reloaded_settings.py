"""Entries and control replicas read the addresses of control replicas in their settings anew: on a stand-in of the users'
platform, in real processes. The other entries are stopped where they could tell a process of the present control replicas, so
that only its settings can."""

import os
import signal
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from cluster import eventually
from platform_stand_in import NETWORK, Platform, configuration

CORE = 3
# What the users state: an instance is in touch this long after it is back, and a change in force this long after its
# acknowledgement.
CONTACT_S, APPLY_S = 4.0, 3.0
# After this time the links to a process that stands still are closed, so that messages that wait in their buffers tell it
# nothing of later replicas.
LINKS_CLOSED_S = 13.0
GONE = [NETWORK + ".%d:8106" % number for number in (91, 92, 93)]


def with_routes(version):
    """A configuration with one more route for each version."""
    changed = configuration(version)
    for number in range(1, version + 1):
        changed["routes"].append(dict(changed["routes"][1], name="r-%d" % number, pathPrefix="/added-%d/" % number))
    return changed


class ReloadedSettingsTest(unittest.TestCase):
    def start(self, entries):
        self.platform = Platform(entries=entries, zones=3, core=CORE)
        self.platform.__enter__()
        self.addCleanup(self.platform.__exit__)
        self.platform.add_backend("s0")
        self.version = 0
        self.change()
        for machine in self.platform.machines[:entries]:
            eventually("machine %d is ready" % machine.number, machine.is_ready)

    def change(self):
        self.version += 1
        self.assertEqual(self.platform.put(with_routes(self.version)), 200)
        return time.monotonic()

    def status_of_newest(self, machine):
        path = "/added-%d/x" % self.version
        return self.platform.request(machine, path, "q-%d-%d" % (machine.number, time.monotonic_ns()))[0]

    def serves_newest_within(self, machine, due_at):
        changed_at = self.change()
        time.sleep(max(0.0, max(due_at, changed_at + APPLY_S) - time.monotonic()))
        self.assertEqual(self.status_of_newest(machine), 200)

    def lines(self, machine, role, event):
        with open(self.log_of(machine, role), errors="replace") as file:
            return [line for line in file if " %s " % event in line]

    def log_of(self, machine, role):
        return os.path.join(self.platform.folder, "%s-%d.log" % (role, machine.number))

    def leave_entries(self, kept):
        """Ends all other entries, so that only control replicas and the settings are left to learn from."""
        for machine in self.platform.machines:
            if machine is not kept and machine.running("entry"):
                machine.processes["entry"].kill()

    def check_an_entry_that_stood_still(self, with_signal):
        self.start(entries=CORE + 1)
        absent = self.platform.machines[CORE]
        absent.processes["entry"].freeze()
        time.sleep(LINKS_CLOSED_S)
        for machine in self.platform.core():
            self.platform.replace(machine)
        self.leave_entries(absent)
        absent.write_settings("entry")
        absent.processes["entry"].thaw()
        if with_signal:
            absent.processes["entry"].signal(signal.SIGHUP)
        back_at = time.monotonic()
        self.serves_newest_within(absent, back_at + CONTACT_S)
        self.serves_newest_within(absent, 0.0)
        self.assertEqual(len(self.lines(absent, "entry", "control_addresses_reloaded")), 1)

    def test_an_entry_that_stood_still_serves_added_routes_once_its_file_names_the_replicas(self):
        self.check_an_entry_that_stood_still(with_signal=False)

    def test_an_entry_that_stood_still_serves_added_routes_after_the_signal(self):
        self.check_an_entry_that_stood_still(with_signal=True)

    def start_with_gone_seeds(self, machine, role):
        present, self.platform.seeds = self.platform.seeds, GONE
        machine.start(role)
        self.platform.seeds = present

    def test_an_entry_whose_seeds_are_gone_is_ready_once_its_file_names_others(self):
        self.start(entries=CORE + 1)
        late = self.platform.machines[CORE]
        late.processes["entry"].kill()
        self.start_with_gone_seeds(late, "entry")
        time.sleep(CONTACT_S)
        self.assertFalse(late.is_ready())
        late.write_settings("entry")
        due_at = time.monotonic() + CONTACT_S
        eventually("the entry is ready", late.is_ready)
        self.assertLess(time.monotonic(), due_at)
        self.serves_newest_within(late, 0.0)

    def test_a_control_replica_whose_seeds_are_gone_joins_once_its_file_names_others(self):
        self.start(entries=1)
        lost = self.platform.machines[2]
        lost.processes["control"].kill()
        lost.wipe()
        added = type(lost)(self.platform, len(self.platform.machines) + 1, True, zone=lost.zone)
        self.platform.machines.append(added)
        self.start_with_gone_seeds(added, "control")
        time.sleep(CONTACT_S)
        self.assertEqual(self.lines(added, "control", "log_founded"), [])
        # Founding is for the first start of a set alone, whatever the file says later.
        added.write_settings("control", bootstrap=True)
        names = sorted(core.ip + ":7395" for core in self.platform.core())
        eventually("the added replica votes", lambda: self.platform.voters() == [names] * 2)
        self.assertEqual(self.lines(added, "control", "log_founded"), [])
        self.assertEqual(len(self.lines(added, "control", "control_addresses_reloaded")), 1)

    def test_the_signal_changes_addresses_while_a_process_is_in_contact(self):
        self.start(entries=CORE + 1)
        entry, control = self.platform.machines[CORE], self.platform.machines[0]
        present = self.platform.seeds
        links = [seed.replace(":8106", ":7395") for seed in present + GONE]
        for wanted, seeds in ((links, present + GONE), (links[:CORE], present)):
            self.platform.seeds = seeds
            for machine, role in ((entry, "entry"), (control, "control")):
                machine.write_settings(role)
                machine.processes[role].signal(signal.SIGHUP)
                eventually("%s takes the file" % role, lambda: any(
                    "count=%d" % len(seeds) in line for line in self.lines(machine, role, "control_addresses_reloaded")))
            # A control replica tells the entries of the replicas in its settings.
            eventually("the entry knows these replicas", lambda: self.known_replicas(entry) == sorted(wanted))
        self.serves_newest_within(entry, 0.0)

    def known_replicas(self, machine):
        return sorted(machine.dump("entry")["control_replicas"])

    def test_an_invalid_file_changes_nothing_and_is_reported(self):
        self.start(entries=CORE + 1)
        entry, control = self.platform.machines[CORE], self.platform.machines[0]
        present, self.platform.seeds = self.platform.seeds, GONE
        for machine, role in ((entry, "entry"), (control, "control")):
            machine.write_settings(role)
            path = machine.settings_file(role)
            os.truncate(path, os.path.getsize(path) // 2)
            machine.processes[role].signal(signal.SIGHUP)
            eventually("%s reports the file" % role, lambda: self.lines(machine, role, "settings_refused"))
            os.remove(path)
            machine.processes[role].signal(signal.SIGHUP)
            eventually("%s reports the lack" % role, lambda: len(self.lines(machine, role, "settings_refused")) == 2)
            self.assertEqual(self.lines(machine, role, "control_addresses_reloaded"), [])
            self.assertTrue(machine.running(role))
        self.platform.seeds = present
        self.serves_newest_within(entry, 0.0)
        # A valid file that differs in other keys alone changes nothing either, and the log names these keys.
        entry.write_settings("entry")
        with open(entry.settings_file("entry")) as file:
            text = file.read().replace('"report_every_ms": 1000', '"report_every_ms": 900')
        with open(entry.settings_file("entry"), "w") as file:
            file.write(text)
        entry.processes["entry"].signal(signal.SIGHUP)
        eventually("the signal is answered", lambda: self.lines(entry, "entry", "settings_reloaded"))
        self.assertIn('ignored=report_every_ms', self.lines(entry, "entry", "settings_reloaded")[0])
        self.assertEqual(self.lines(entry, "entry", "control_addresses_reloaded"), [])


if __name__ == "__main__":
    unittest.main(verbosity=2)
