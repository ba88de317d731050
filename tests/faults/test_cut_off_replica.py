"""The control replica that entries follow is cut off from the other replicas, but not from the entries: in real processes with
the platform's times and the least bounds that a deployment sets."""

import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from changes_in_time import ChangesInTime
from cluster import eventually

# Without availability zones all replicas are equally near, and entries follow the first by name.
FOLLOWED = "c1"
# Longer than the replicas' longest election.
LOSS_OF_LEADER_S = 2.5


class CutOffReplicaTest(ChangesInTime):
    def make_leader(self, name):
        def leads():
            leader = self.cluster.leader()
            if leader != name:
                self.cluster.by_name[leader].freeze()
                time.sleep(LOSS_OF_LEADER_S)
                self.cluster.by_name[leader].thaw()
            return leader == name
        eventually(name + " leads", leads, patience=120.0)

    def test_a_change_is_in_force_in_time_although_the_followed_leader_is_cut_off(self):
        for phase in (0.0, 0.2, 0.4, 0.6, 0.8):
            self.make_leader(FOLLOWED)
            self.change()
            self.await_in_force()
            time.sleep(1.0 + phase)
            cut_at = time.monotonic()
            self.cluster.cut(FOLLOWED)
            self.check_change(cut_at)
            self.cluster.heal()
            time.sleep(LOSS_OF_LEADER_S)


if __name__ == "__main__":
    unittest.main(verbosity=2)
