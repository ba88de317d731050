"""Links between processes that stay open and carry nothing more, while new ones work, in real processes with the platform's
times and the least bounds that a deployment sets."""

import os
import signal
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from changes_in_time import CONTACT_S, ChangesInTime

TOWARDS_REPLICA, FROM_REPLICA, BOTH_WAYS = signal.SIGPROF, signal.SIGVTALRM, signal.SIGALRM


class SilentLinksTest(ChangesInTime):
    def silence_and_change(self, sources, how=BOTH_WAYS, phases=(0.1, 0.4, 0.7)):
        """A change at the moment at which the links fall silent, at several moments within a report interval."""
        for phase in phases:
            self.change()
            self.await_in_force()
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
