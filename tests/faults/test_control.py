"""The control side under kills, freezes, silent cuts and lost disks, in real processes."""

import os
import shutil
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from cluster import Cluster, call, eventually


def patch(number):
    return {"upsert": {"services": [{"name": "s%d" % number, "shards": 1}]}}


class ControlTest(unittest.TestCase):
    def controls(self, count=3, **options):
        cluster = Cluster(controls=count, entries=0, shards=0, **options)
        self.addCleanup(cluster.__exit__)
        cluster.start_controls()
        return cluster

    def test_leader_killed_and_change_sent_again(self):
        cluster = self.controls()
        self.assertEqual(cluster.apply("a", 0, patch(1), "patch")["revision"], 1)
        cluster.by_name[cluster.leader()].kill()
        # The answer may have been lost: the same change through the new leader gets its first result.
        again = cluster.apply("a", 0, patch(1), "patch")
        self.assertEqual((again["status"], again["revision"]), ("accepted", 1))
        self.assertEqual(cluster.apply("b", 1, patch(2), "patch")["revision"], 2)

    def test_wiped_replica_is_replaced_while_the_logs_have_different_leaders(self):
        """Chaos seeds 77 and 90210: each log elects for itself, and then no replica led both, so that `members`
        was refused by all."""
        cluster = self.controls()
        cluster.apply("a", 0, patch(1), "patch")

        def leaders():
            found = {}
            for name in cluster.control_names:
                dump = call(cluster.ports[name]["operators"], "GET", "/dump")[1] or {}
                for log in ("catalog", "register"):
                    if dump.get(log, {}).get("lease"):
                        found[log] = name
            return found

        for _ in range(30):
            led = eventually("both logs are led", lambda: len(leaders()) == 2 and leaders())
            if led["catalog"] != led["register"]:
                break
            frozen = cluster.by_name[led["catalog"]]
            frozen.freeze()
            time.sleep(1.5)
            frozen.thaw()
            time.sleep(1.0)
        self.assertNotEqual(led["catalog"], led["register"])
        wiped = [name for name in cluster.control_names if name not in led.values()][0]
        cluster.by_name[wiped].kill()
        shutil.rmtree(os.path.join(cluster.folder, wiped))
        cluster.by_name[wiped].start()
        cluster.members("replace", wiped)
        cluster.await_voter(wiped)

    def test_changes_race_while_leaders_are_killed(self):
        cluster = self.controls()
        accepted = []
        lock = threading.Lock()

        def operator(name):
            for i in range(12):
                base = cluster.revision()
                change_id = "%s-%d" % (name, i)
                result = cluster.apply(change_id, base, patch(i), "patch")
                self.assertEqual(cluster.apply(change_id, base, patch(i), "patch"), result)
                if result["status"] == "accepted":
                    with lock:
                        accepted.append((result["revision"], change_id))
                else:
                    self.assertEqual(result["status"], "conflict")
                    self.assertTrue(result["winner"])

        operators = [threading.Thread(target=operator, args=(name,)) for name in ("ann", "bob", "cy")]
        for thread in operators:
            thread.start()
        for _ in range(2):
            time.sleep(0.3)
            leader = cluster.leader()
            cluster.by_name[leader].kill()
            eventually("another leads", lambda: cluster.leader() != leader)
            cluster.by_name[leader].start()
        for thread in operators:
            thread.join()
        revisions = sorted(revision for revision, _ in accepted)
        self.assertEqual(revisions, list(range(1, len(revisions) + 1)))
        history = cluster.leader_call("GET", "/configuration")[1]["history"]
        self.assertEqual({(row["revision"], row["change"]) for row in history}, set(accepted))

    def test_frozen_leader_does_not_answer_on_waking(self):
        cluster = self.controls()
        cluster.apply("a", 0, patch(1), "patch")
        old = cluster.leader()
        cluster.by_name[old].freeze()
        others = [name for name in cluster.control_names if name != old]
        eventually("another leads", lambda: any(
            call(cluster.ports[name]["operators"], "GET", "/status", timeout=1)[0] == 200 for name in others))
        self.assertEqual(cluster.apply("b", 1, patch(2), "patch")["revision"], 2)
        cluster.by_name[old].thaw()
        for _ in range(30):
            status, answer = call(cluster.ports[old]["operators"], "GET", "/configuration")
            if status == 200:
                self.assertGreaterEqual(answer["revision"], 2)
            time.sleep(0.01)

    def test_suspended_leader_does_not_answer_on_waking(self):
        # Cut off, so that no other's word, but its own clock alone tells it of the time that has passed.
        cluster = self.controls(suspendable=True, relays=True)
        cluster.apply("a", 0, patch(1), "patch")
        old = cluster.leader()
        cluster.by_name[old].suspend()
        cluster.cut(old)
        others = [name for name in cluster.control_names if name != old]
        eventually("another leads", lambda: any(
            call(cluster.ports[name]["operators"], "GET", "/status", timeout=1)[0] == 200 for name in others))
        self.assertEqual(cluster.apply("b", 1, patch(2), "patch")["revision"], 2)
        cluster.by_name[old].resume()
        for _ in range(30):
            status, answer = call(cluster.ports[old]["operators"], "GET", "/configuration")
            if status == 200:
                self.assertGreaterEqual(answer["revision"], 2)
            time.sleep(0.01)

    def test_wiped_disk_then_second_loss(self):
        cluster = self.controls()
        for i in range(20):
            cluster.apply("change-%d" % i, i, patch(i), "patch")
        wiped = [name for name in cluster.control_names if name != cluster.leader()][0]
        cluster.by_name[wiped].kill()
        shutil.rmtree(os.path.join(cluster.folder, wiped))
        cluster.by_name[wiped].start()
        cluster.members("replace", wiped)
        cluster.await_voter(wiped)
        # A second one is lost right after the repair.
        second = [name for name in cluster.control_names if name != wiped][0]
        cluster.by_name[second].kill()
        shutil.rmtree(os.path.join(cluster.folder, second))
        self.assertEqual(cluster.revision(), 20)
        self.assertEqual(cluster.apply("after", 20, patch(99), "patch")["revision"], 21)
        self.assertEqual(cluster.apply("change-7", 7, patch(7), "patch")["revision"], 8)

    def test_wiped_majority_does_not_pretend(self):
        cluster = self.controls()
        cluster.apply("a", 0, patch(1), "patch")
        kept = cluster.leader()
        for name in cluster.control_names:
            if name != kept:
                cluster.by_name[name].kill()
                shutil.rmtree(os.path.join(cluster.folder, name))
                cluster.by_name[name].start()
        # Two replicas with empty folders neither elect one another nor a leader for the third.
        deadline = time.monotonic() + 4
        while time.monotonic() < deadline:
            for name in cluster.control_names:
                status, answer = call(cluster.ports[name]["operators"], "GET", "/configuration", timeout=1)
                if status == 200:
                    self.assertEqual(answer["revision"], 1)
            time.sleep(0.1)

    def test_copied_folder_is_refused(self):
        cluster = self.controls()
        cluster.by_name["c2"].kill()
        cluster.by_name["c3"].kill()
        shutil.rmtree(os.path.join(cluster.folder, "c2"))
        shutil.copytree(os.path.join(cluster.folder, "c3"), os.path.join(cluster.folder, "c2"))
        copied = cluster.by_name["c2"].start()
        self.assertEqual(copied.handle.wait(10), 1)
        with open(copied.log) as log:
            self.assertIn("storage belongs to another replica", log.read())

    def test_restart_of_all_after_hundreds_of_changes(self):
        cluster = self.controls()
        for i in range(300):
            self.assertEqual(cluster.apply("change-%d" % i, i, patch(i % 7), "patch")["revision"], i + 1)
        for name in cluster.control_names:
            cluster.by_name[name].kill()
        for name in cluster.control_names:
            cluster.by_name[name].start()
        self.assertEqual(cluster.revision(), 300)
        self.assertEqual(cluster.apply("change-17", 17, patch(3), "patch")["revision"], 18)


class CutTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster(controls=3, entries=0, shards=0, relays=True)
        self.addCleanup(self.cluster.__exit__)
        self.cluster.start_controls()

    def test_leader_cut_off_in_silence(self):
        cluster = self.cluster
        cluster.apply("a", 0, patch(1), "patch")
        old = cluster.leader()
        cluster.cut(old)
        others = [name for name in cluster.control_names if name != old]

        def new_leader():
            return any(call(cluster.ports[n]["operators"], "GET", "/status", timeout=1)[0] == 200 for n in others)

        eventually("the majority elects another", new_leader)
        self.assertEqual(cluster.apply("b", 1, patch(2), "patch")["revision"], 2)
        # The one that is cut off must neither answer from its state nor accept.
        status, _ = call(cluster.ports[old]["operators"], "GET", "/configuration")
        self.assertEqual(status, 421)
        change = {"id": "lost", "base_revision": 1, "kind": "patch", "body": patch(3)}
        status, _ = call(cluster.ports[old]["operators"], "POST", "/changes", change, timeout=3)
        self.assertNotEqual(status, 200)
        cluster.heal()
        eventually("the old leader follows", lambda: (cluster.dump(old) or {}).get("revision") == 2)
        history = cluster.leader_call("GET", "/configuration")[1]["history"]
        self.assertEqual([row["change"] for row in history], ["a", "b"])

    def test_cut_in_one_direction(self):
        cluster = self.cluster
        cluster.apply("a", 0, patch(1), "patch")
        leader = cluster.leader()
        follower = [name for name in cluster.control_names if name != leader][0]
        cluster.cut_one_way(leader, follower)
        # Changes go on, and the follower can't depose a leader that the others hear.
        for i in range(1, 6):
            self.assertEqual(cluster.apply("change-%d" % i, i, patch(i), "patch")["revision"], i + 1)
            time.sleep(0.3)
        cluster.heal()
        eventually("the follower catches up", lambda: (cluster.dump(follower) or {}).get("revision") == 6)


if __name__ == "__main__":
    unittest.main(verbosity=2)
