"""The query side under stragglers, kills, freezes, version rolls and false answers, in real processes."""

import collections
import os
import socket
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from cluster import Cluster, call, eventually
from load import Load


def now_ms():
    return int(time.time() * 1000)


class QueryTest(unittest.TestCase):
    def cluster(self, **options):
        extra = options.pop("extra", None)
        cluster = Cluster(**options)
        self.addCleanup(cluster.__exit__)
        return cluster.start_all(extra)

    def check(self, load):
        self.assertEqual(load.violations, [])
        self.assertGreater(len(load.answers), 50)

    def test_stragglers_cuts_errors_and_foreign_answers(self):
        cluster = self.cluster(behaviour={"straggler_share": 0.02, "straggler_ms": 60, "wrong_identity_share": 0.02,
                                          "cut_share": 0.02, "error_share": 0.02})
        with Load(cluster, cluster.entry_names) as load:
            time.sleep(4)
        self.check(load)
        self.assertGreater(load.whole(), len(load.answers) * 0.8)
        for name in cluster.backend_names:
            runs = cluster.runs(name)
            self.assertLessEqual(runs["most_connections"], 26, name)
            self.assertEqual(runs["connections_refused"], 0, name)

    def test_rolling_change_of_version_never_mixes(self):
        cluster = self.cluster(behaviour={"versions": ["1"]})
        with Load(cluster, cluster.entry_names) as load:
            for versions in (["1", "2"], ["2"], ["2", "3"], ["3"]):
                for name in cluster.backend_names:
                    cluster.behave(name, versions=versions)
                    time.sleep(0.05)
        self.check(load)
        seen = {answer["index_version"] for _, _, answer in load.answers if answer.get("complete")}
        self.assertTrue({"1", "3"} <= seen, seen)

    def test_repartition_never_mixes(self):
        cluster = self.cluster(shards=2, replicas=3)
        with Load(cluster, cluster.entry_names) as load:
            time.sleep(0.5)
            # The third replica of each shard becomes one of three shards of version 2.
            for shard, name in enumerate(("b0c", "b1c", "b1b")):
                cluster.behave(name, versions=["2"], shard=shard, shards=3)
            servers = []
            for name in cluster.backend_names:
                shard = {"b0c": "0", "b1c": "1", "b1b": "2"}.get(name, name[1])
                index = "new" if name in ("b0c", "b1c", "b1b") else "old"
                servers.append(cluster.backend(name, labels={"index": index, "shard": shard}))
            document = cluster.document(
                services=[{"name": "dispatch", "labels": {"team": "depot"}, "shards": 3}], backend_servers=servers,
                placement_rules=[{"name": "rule", "services": {"team": "depot"},
                                  "backend_servers": {"index": "new"}}])
            load.stop()
            self.check(load)
            self.assertEqual(cluster.apply("repartition", 1, document)["status"], "accepted")
        cluster.shards = 3
        eventually("the new shards answer", lambda: (cluster.query("e1")[1] or {}).get("index_version") == "2")
        with Load(cluster, cluster.entry_names) as load:
            time.sleep(0.5)
        self.check(load)

    def test_owner_killed(self):
        cluster = self.cluster(entries=3)
        owner = cluster.owner()
        others = [name for name in cluster.entry_names if name != owner]
        with Load(cluster, others) as load:
            time.sleep(0.5)
            cluster.by_name[owner].kill()
            killed_at = time.monotonic()
            time.sleep(2.5)
        self.check(load)
        late = [answer for at, _, answer in load.answers if at > killed_at + 2]
        self.assertTrue(late)
        self.assertTrue(all(answer.get("complete") for answer in late))

    def test_owner_frozen_and_thawed(self):
        cluster = self.cluster(entries=3)
        owner = cluster.owner()
        others = [name for name in cluster.entry_names if name != owner]
        with Load(cluster, others) as load:
            time.sleep(0.3)
            cluster.by_name[owner].freeze()
            time.sleep(2.5)
            cluster.by_name[owner].thaw()
            time.sleep(1)
        self.check(load)
        self.assertGreater(load.whole(), len(load.answers) * 0.9)

    def test_planned_stop_cuts_no_request(self):
        cluster = self.cluster(entries=2, behaviour={"work_ms": 20})
        stopped = cluster.entry_names[0]
        with Load(cluster, [stopped], threads=6, pause_s=0.005) as load:
            time.sleep(0.5)
            cluster.by_name[stopped].signal(15)
            # As the balancer does: no new requests once the health check says that it is leaving.
            eventually("its health turns", lambda: (call(cluster.ports[stopped]["callers"], "GET", "/health")[1]
                                                    or {}).get("state") == "leaving")
            load.stop()
        self.assertEqual(load.cut, 0)
        self.check(load)
        self.assertEqual(cluster.by_name[stopped].handle.wait(20), 0)

    def test_leaving_backend_gets_no_new_work(self):
        cluster = self.cluster()
        with Load(cluster, cluster.entry_names) as load:
            time.sleep(0.3)
            # By its own answer.
            cluster.behave("b0a", leaving=True)
            # By the operators' label, while it says nothing itself.
            document = cluster.document(backend_servers=[
                cluster.backend(name, leaving=(name == "b1a")) for name in cluster.backend_names])
            self.assertEqual(cluster.apply("leave", 1, document)["status"], "accepted")
            time.sleep(2)
            before = {name: len(cluster.runs(name)["runs"]) for name in ("b0a", "b1a")}
            time.sleep(1)
            after = {name: len(cluster.runs(name)["runs"]) for name in ("b0a", "b1a")}
        self.check(load)
        self.assertEqual(before, after)
        self.assertEqual(load.whole(), len(load.answers))

    def test_leaving_by_the_platforms_list(self):
        cluster = Cluster()
        self.addCleanup(cluster.__exit__)
        from cluster import STAND_IN, free_port
        port = free_port()
        cluster.add("list", [STAND_IN, "--role=list", "--listen=127.0.0.1:%d" % port, "--lag_ms=300"]).start()
        cluster.start_all({"platform": {"list_address": "127.0.0.1:%d" % port, "poll_interval_ms": 100}})
        with Load(cluster, cluster.entry_names) as load:
            call(port, "POST", "/instances", [{"name": "b0a", "state": "leaving"}])
            time.sleep(2)
            before = len(cluster.runs("b0a")["runs"])
            time.sleep(1)
            after = len(cluster.runs("b0a")["runs"])
        self.check(load)
        self.assertEqual(before, after)

    def test_not_repeatable_runs_at_most_once(self):
        cluster = self.cluster(controls=3, entries=3, behaviour={"cut_share": 0.1, "work_ms": 10})
        told = collections.defaultdict(set)
        stopping = threading.Event()

        def caller(number):
            turn = number
            for i in range(30):
                body = "refund %d-%d" % (number, i)
                request = dict(shards=[i % 3], repeatable=False, key=body, key_time_ms=now_ms(), deadline_ms=1500)
                for _ in range(8):
                    entry = cluster.entry_names[turn % 3]
                    turn += 1
                    status, answer = cluster.query(entry, body, **request)
                    if answer and "outcome" in answer:
                        told[body].add(answer["outcome"])
                        if answer["outcome"] == "run":
                            break
                    time.sleep(0.05)

        def killer():
            for i in range(5):
                if stopping.wait(1.0):
                    return
                victim = cluster.by_name[cluster.entry_names[i % 3]]
                victim.kill()
                stopping.wait(0.3)
                victim.start()
            leader = cluster.by_name[cluster.control_names[0]]
            leader.kill()
            leader.start()

        callers = [threading.Thread(target=caller, args=(i,)) for i in range(5)]
        chaos = threading.Thread(target=killer)
        for thread in callers + [chaos]:
            thread.start()
        for thread in callers:
            thread.join()
        stopping.set()
        chaos.join()
        runs = collections.Counter()
        for name in cluster.backend_names:
            runs.update(run["body"] for run in cluster.runs(name)["runs"] if run["body"].startswith("refund"))
        self.assertEqual({body: count for body, count in runs.items() if count > 1}, {})
        self.assertGreater(len(runs), 80)
        for body, outcomes in told.items():
            if "run" in outcomes:
                self.assertEqual(runs[body], 1, body)
            if outcomes == {"not_run"}:
                self.assertEqual(runs[body], 0, body)

    def test_same_key_other_body_is_refused(self):
        cluster = self.cluster()
        request = dict(shards=[0], repeatable=False, key="k", key_time_ms=now_ms())
        self.assertEqual(cluster.query("e1", "pay 1", **request)[0], 200)
        status, answer = cluster.query("e2", "pay 2", **request)
        self.assertEqual((status, answer["error"]["code"]), (409, 406))
        old = dict(request, key="old", key_time_ms=now_ms() - 25 * 3600 * 1000)
        self.assertEqual(cluster.query("e2", "pay 3", **old)[0], 410)

    def test_hostile_requests_do_not_take_it_down(self):
        cluster = self.cluster(entries=1)
        port = cluster.ports["e1"]["callers"]

        def raw(data, wait=0.3, until_closed=False):
            with socket.create_connection(("127.0.0.1", port), timeout=5) as connection:
                connection.sendall(data)
                connection.settimeout(wait)
                try:
                    received = connection.recv(4096)
                    while until_closed and received:
                        more = connection.recv(4096)
                        if not more:
                            break
                        received += more
                    return received
                except OSError:
                    return b""

        self.assertIn(b"400", raw(b"NONSENSE\r\n\r\n"))
        self.assertIn(b"431", raw(b"GET / HTTP/1.1\r\nX: " + b"a" * 40000 + b"\r\n\r\n"))
        self.assertIn(b"413", raw(b"POST /query HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"))
        # Half a request is told so after the settings' second, and cut off.
        half = raw(b"POST /query HTTP/1.1\r\nContent-Length: 50\r\n\r\n{", wait=30, until_closed=True)
        self.assertTrue(half.startswith(b"HTTP/1.1 408 "), half)
        self.assertIn(b"Connection: close", half)
        for body in (b"", b"[]", b"{", b'{"service": 7, "shards": "some"}', b"\xff\xfe"):
            status, answer = call(port, "POST", "/query", body)
            self.assertEqual(status, 400)
            self.assertTrue(answer["findings"])
        link = cluster.ports["e1"]["link"]
        with socket.create_connection(("127.0.0.1", link), timeout=5) as connection:
            connection.sendall(b"\x00" * 1000)
        self.assertTrue(cluster.query("e1")[1]["complete"])

    def test_all_backends_of_a_shard_gone(self):
        cluster = self.cluster()
        for name in ("b1a", "b1b"):
            cluster.by_name[name].kill()

        passing = []

        def settled():
            status, answer = cluster.query("e1")
            if not answer or answer["complete"] or not answer.get("retry_after_ms"):
                return None
            # A process that got no processor for a while may find its deadline passed before its attempts failed:
            # then it says so, and must say so truthfully.
            if answer["shards_missing"] == [{"shard": 1, "reason": "late"}]:
                self.assertEqual(answer["shards_covered"], [0, 2])
                passing.append(answer)
                return None
            return answer

        answer = eventually("a partial answer that says when to come back", settled)
        self.assertLessEqual(len(passing), 2, passing)
        # From then on each answer says so.
        for _ in range(5):
            self.assertEqual(answer["shards_missing"], [{"shard": 1, "reason": "no_backend_server"}])
            self.assertEqual(answer["shards_covered"], [0, 2])
            status, answer = cluster.query("e1")
        # Given up, it is answered at once: this caller doesn't wait as long as the deadline would let it.
        status, answer = cluster.query("e1", timeout=30, deadline_ms=600000)
        self.assertEqual(answer["shards_covered"], [0, 2])


if __name__ == "__main__":
    unittest.main(verbosity=2)
