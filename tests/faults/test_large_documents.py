"""Configurations and heartbeats that are large or can't be read: on a stand-in of the users' platform, in real processes. No
process may need more memory than it has, or end, and what was confirmed before stays."""

import json
import os
import re
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from cluster import eventually
from platform_stand_in import Platform, call, configuration

# The memory of a process in the users' deployments of 60 instances and more.
MEMORY_MB = 160
# The largest body that the deployment's limits name, and bodies above what its configurations need.
SMALL, MEDIUM, LARGE = 262144, 1 << 20, 4 << 20
# Services of this size are just taken.
NEAR_THE_BOUND = 600000
SIZES = (SMALL, MEDIUM, LARGE)
# An operator's calls that may be under way together.
ORDERS = 8
# Large bodies take longer than an operator's usual second.
ANSWER_S = 10.0
# Backend servers with long texts, and a text as long as a body may be.
HEARTBEATS = 400
LONG_TEXT = "v" * 240000
# The longest id that the server's limit on heads lets through.
LONG_ID = "i" * 7000
REFUSED = (400, 413)


def text(document):
    return json.dumps(document, separators=(",", ":")).encode()


def filled(size, before, item, after, between=b","):
    """As many items between the beginning and the end as fit."""
    count = (size - len(before) - len(after)) // (len(item) + len(between))
    return before + between.join([item] * count) + after


def with_route(**changes):
    """A valid configuration of one route and one service, with some keys of its route changed, or left out if None."""
    document = configuration(2, shards=1)
    route = dict(document["routes"][1], **changes)
    document["routes"] = [{key: value for key, value in route.items() if value is not None}]
    return document


def holding(size, document, item):
    """The document with as many items as fit in place of the text `MARK`, in a list."""
    before, after = text(document).split(b'"MARK"')
    return filled(size, before + b"[", item, b"]" + after)


def nested(size, document, opening, closing):
    """The document with brackets in one another in place of the text `MARK`."""
    before, after = text(document).split(b'"MARK"')
    depth = (size - len(before) - len(after)) // (len(opening) + len(closing))
    return before + opening * depth + (b"1" if opening != b"[" else b"") + closing * depth + after


def services(size, version=2):
    """A valid configuration of as many services as fit."""
    document = configuration(version, shards=1)
    one = document["services"][0]
    count = (size - len(text(document))) // (len(text(one)) + 6)
    document["services"] += [dict(one, name="t%05d" % i) for i in range(count)]
    return text(document)


def routes(size, version=2):
    """A valid configuration of as many routes as fit."""
    document = configuration(version, shards=1)
    one = document["routes"][1]
    count = (size - len(text(document))) // (len(text(one)) + 12)
    document["routes"] += [dict(one, name="r-%05d" % i, pathPrefix="/one/%05d/" % i) for i in range(count)]
    return text(document)


class LargeDocumentsTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform(entries=1, limits={"memoryMb": MEMORY_MB, "maxFds": 4100})
        self.platform.__enter__()
        self.addCleanup(self.platform.__exit__)
        self.assertEqual(self.platform.put(configuration(1)), 200)
        self.confirmed = self.platform.read()
        self.platform.add_backend("s0")
        eventually("the route is served", lambda: self.platform.request(self.platform.machines[0], "/one/x", "warm")[0] == 200)

    def peak_mb(self, machine, role="control"):
        with open("/proc/%d/status" % machine.processes[role].handle.pid) as file:
            return int(re.search(r"VmHWM:\s+(\d+) kB", file.read()).group(1)) / 1024

    def send(self, body):
        """Sends the body to one machine after the other until there is a clear answer."""
        until = time.monotonic() + 3 * ANSWER_S
        while time.monotonic() < until:
            answered = self.platform.order_once("/api/config/replace", body, "POST", self.platform.core(), ANSWER_S)
            if answered:
                return answered[0]
            time.sleep(0.2)
        return None

    def revision(self):
        return max(machine.dump("control").get("revision", 0) for machine in self.platform.core())

    def check_processes(self, what):
        for machine in self.platform.machines:
            for role in machine.processes:
                if role == "entry" and machine.number > self.platform.entries:
                    continue
                name = "%s: %s %d" % (what, role, machine.number)
                self.assertTrue(machine.running(role), name + " ended")
                peak = self.peak_mb(machine, role)
                print("%s has needed %.0f MB" % (name, peak))
                self.assertLess(peak, MEMORY_MB, name)

    def refuse(self, what, make, sizes=SIZES):
        """Bodies of this kind are refused for good, and the confirmed configuration is still the one that is read."""
        for size in sizes:
            body = make(size)
            status = self.send(body)
            self.check_processes("%s, %d bytes, answer %s" % (what, len(body), status))
            self.assertIn(status, REFUSED, "%s, %d bytes" % (what, len(body)))
        self.assertEqual(self.platform.read(), self.confirmed)

    def take(self, what, make, sizes=SIZES):
        """Bodies of this kind are taken, or are too large, and whichever was taken last is read."""
        wanted = self.confirmed
        for number, size in enumerate(sizes):
            body = make(size, 2 + number)
            status = self.send(body)
            self.check_processes("%s, %d bytes, answer %s" % (what, len(body), status))
            self.assertIn(status, (200, 413), "%s, %d bytes" % (what, len(body)))
            wanted = json.loads(body) if status == 200 else wanted
            eventually("the entry follows", lambda: self.platform.machines[0].dump("entry").get("revision") == self.revision())
            self.check_processes("%s, %d bytes, in force" % (what, len(body)))
        self.assertEqual(self.platform.read()["version"], wanted["version"])
        self.assertEqual(len(self.platform.read()["services"]), len(wanted["services"]))

    def test_items_without_content_need_no_multiple_of_their_size(self):
        for key in ("routes", "services", "tenants"):
            for item in (b"{}", b"0"):
                document = dict(configuration(2, shards=1), **{key: "MARK"})
                self.refuse("%s of %s" % (key, item), lambda size: holding(size, document, item))

    def test_parts_of_a_split_that_cannot_be_read_do_not_reach_the_log(self):
        for item in (b"0", b"{}"):
            self.refuse("a split of %s" % item, lambda size: holding(size, with_route(service=None, trafficSplit="MARK"), item))
        # What stands in the log is applied again at each start.
        self.platform.kill_all()
        self.platform.start_again()
        self.assertEqual(self.platform.read(), self.confirmed)
        self.check_processes("started again")

    def test_unknown_names_need_no_multiple_of_their_size(self):
        self.refuse("unknown services", lambda size: holding(size, with_route(service=None, fanoutServices="MARK"), b'"x"'))

    def test_nested_values_end_no_process(self):
        places = {"routes": dict(configuration(2, shards=1), routes="MARK"), "a route": dict(configuration(2, shards=1), routes=["MARK"]),
                  "host": with_route(host="MARK"), "a split": with_route(trafficSplit="MARK"),
                  "limits": dict(configuration(2, shards=1), limits="MARK"), "an unknown key": dict(configuration(2, shards=1), other="MARK")}
        for name, document in places.items():
            for opening, closing in ((b"[", b"]"), (b'{"a":', b"}")):
                self.refuse("%s of nested %s" % (name, opening), lambda size: nested(size, document, opening, closing))
        self.refuse("brackets that stay open", lambda size: b"[" * size)

    # The product's own interface for operators takes the same documents.
    def test_changes_of_operators_are_bounded_too(self):
        change = {"id": "c-1", "base_revision": 0, "kind": "replace", "body": "MARK"}
        bodies = {"nested lists": nested(MEDIUM, change, b"[", b"]"), "nested objects": nested(MEDIUM, change, b'{"a":', b"}"),
                  "services of {}": holding(MEDIUM, dict(change, body={"services": "MARK"}), b"{}"),
                  "a patch of zeros": holding(MEDIUM, dict(change, kind="patch", body={"upsert": {"routes": "MARK"}}), b"0"),
                  "brackets that stay open": b"[" * LARGE}
        for name, body in bodies.items():
            for path in ("/changes", "/changes/preview", "/members"):
                for machine in self.platform.core():
                    status = call(machine.ip + ":7385", "POST", path, body, timeout=ANSWER_S)[0]
                    self.check_processes("%s to %s, answer %s" % (name, path, status))
                    # What isn't refused by its size is refused by who isn't the leader.
                    self.assertIn(status, REFUSED + (421,), "%s to %s" % (name, path))
        self.assertEqual(self.platform.read(), self.confirmed)

    def test_valid_services_are_taken_or_too_large(self):
        self.take("valid services", services)

    def test_valid_routes_are_taken_or_too_large(self):
        self.take("valid routes", routes)

    # Guards against entries and control processes that keep texts of any length for each id that somebody names.
    def test_long_texts_of_heartbeats_are_not_kept(self):
        address = self.platform.backends[0].address
        sound = {"service": "s0", "address": address, "zone": "zone-1", "version": "v1", "capacity": 4, "state": "ready",
                 "warmupRemainingMs": 0, "sequence": 1}

        def say(number, body, prefix="i-long-"):
            machine = self.platform.core()[number % 3]
            return call(machine.control, "POST", "/api/instances/%s%d/heartbeat" % (prefix, number), body, timeout=ANSWER_S)[0]

        for key in ("version", "zone", "service"):
            answers = {say(number, dict(sound, **{key: LONG_TEXT})) for number in range(HEARTBEATS)}
            self.assertLessEqual(answers, set(REFUSED), key)
            self.assertEqual(say(0, dict(sound, **{key: LONG_TEXT[:1000]})), 400, key)
        self.assertEqual({say(number, sound, LONG_ID) for number in range(HEARTBEATS)}, {404})
        self.assertEqual(say(0, b"[" * MEDIUM), 413)
        time.sleep(1.0)
        self.check_processes("heartbeats with long texts")
        self.assertEqual(self.platform.machines[0].dump("entry")["registered_backend_servers"], len(self.platform.backends))
        self.assertTrue(self.platform.backends[0].say("heartbeat"))

    def order_together(self, what, make, size, first):
        """Sends ORDERS configurations at the same time; all are taken or too large, and the highest one is read."""
        sent = []

        def order(version):
            sent.append((version, self.send(make(size, version))))

        orders = [threading.Thread(target=order, args=(first + number,)) for number in range(ORDERS)]
        for thread in orders:
            thread.start()
        for thread in orders:
            thread.join()
        eventually("the entry follows", lambda: self.platform.machines[0].dump("entry").get("revision") == self.revision())
        self.check_processes("%d orders of %s at the same time, answers %s" % (ORDERS, what, sorted(sent)))
        self.assertLessEqual({status for _, status in sent}, {200, 413})
        self.assertEqual(self.platform.read()["version"], max([version for version, status in sent if status == 200] + [1]))

    def test_orders_at_the_same_time_share_the_memory(self):
        self.order_together("routes", routes, MEDIUM, 2)
        self.order_together("services", services, NEAR_THE_BOUND, 2 + ORDERS)


if __name__ == "__main__":
    unittest.main(verbosity=2)
