"""The whole path on a stand-in of the users' platform, in real processes, under the failures it is meant for."""

import http.client
import json
import os
import signal
import socket
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from cluster import eventually
from platform_stand_in import NETWORK, Backend, Platform, call, configuration

# Within this all instances that reach one another know what is in force.
CONTACT_S = 2.0
LONG_FREEZE_S = 6.5


class PlatformTest(unittest.TestCase):
    def serve(self, platform, shards=3, replicas=2):
        """Brings the whole path up with one configuration in force; returns the backends by service."""
        backends = {}
        for i in range(shards):
            backends["s%d" % i] = [platform.add_backend("s%d" % i) for _ in range(replicas)]
        self.assertEqual(platform.put(configuration(7, shards)), 200)
        for machine in platform.machines[:platform.entries]:
            eventually("machine %d ready" % machine.number, machine.is_ready)
            eventually("a whole answer", lambda m=machine: self.whole(platform, m, "warm-up-%d" % time.monotonic_ns()))
        return backends

    def whole(self, platform, machine, request_id, shards=3):
        status, headers, _ = platform.request(machine, "/all/x", request_id)
        return status == 200 and len(headers["X-Part-Stamps"].split(",")) == shards

    def voters(self, platform):
        """The voters of both logs, as the leader has them."""
        for machine in platform.core():
            dump = machine.dump("control")
            if dump and dump["catalog"].get("lease") and dump["catalog"]["role"] == "leader":
                sets = []
                for log in ("catalog", "register"):
                    members = dump[log].get("members", [])
                    sets.append(sorted(m["name"].split(":")[0] for m in members if m["voter"]))
                return sets
        return []

    def votes_anew(self, platform, machine):
        """Whether the leader has this very disk's replicas as voters of both logs. A name alone doesn't tell: the
        lost disk's replica bears the same one."""
        own = machine.dump("control")
        leaders = [other.dump("control") for other in platform.core()]
        for log in ("catalog", "register"):
            led = [dump[log] for dump in leaders if dump and dump[log].get("lease")]
            if not led or not own or not any(m["incarnation"] == own[log].get("incarnation") and m["voter"]
                                             for m in led[0]["members"]):
                return False
        return True

    def test_every_final_answer_is_explained_by_its_lines(self):
        with Platform() as platform:
            backends = self.serve(platform)
            first = platform.machines[0]
            backends["s0"][0].crash()
            for backend in backends["s2"]:
                backend.crash()
            told = {}
            for i in range(40):
                path = ("/all/x", "/one/x", "/nowhere/x")[i % 3]
                told["x-%d" % i] = platform.request(first, path, "x-%d" % i)[:2]
            first.processes["entry"].signal(15)
            first.processes["entry"].handle.wait(30)
            with open(first.processes["entry"].log) as file:
                lines = [line for line in file if " request=x-" in line]
            ends = {200: ("merged", "passed_on"), 404: ("no_route",), 502: ("failed",), 503: ("refused",),
                    504: ("late",)}
            for request, (status, headers) in told.items():
                mine = [dict(field.split("=", 1) for field in line.split() if "=" in field)
                        for line in lines if " request=%s " % request in line]
                answers = [fields for fields in mine if "end" in fields and "route" in fields]
                self.assertEqual(len(answers), 1, request)
                self.assertIn(answers[0]["end"], ends[status], request)
                self.assertEqual(answers[0]["missing"], headers.get("X-Missing-Parts", "0"), request)
                if answers[0]["missing"] != "0":
                    self.assertEqual(answers[0]["missing_services"], "s2", request)

    def test_a_crashed_backend_answers_on_no_connection(self):
        with Platform(entries=0) as platform:
            backend = platform.add_backend("s0")
            host, port = backend.address.split(":")
            kept = http.client.HTTPConnection(host, int(port), timeout=3)
            kept.request("GET", "/x", headers={"X-Expect-Instance": backend.id})
            self.assertEqual(kept.getresponse().read()[-4:], b"rest")
            backend.crash()
            with self.assertRaises((OSError, http.client.HTTPException)):
                kept.sock.sendall(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
                if not kept.sock.recv(100):
                    raise ConnectionResetError

    def test_calm_day(self):
        with Platform() as platform:
            backends = self.serve(platform)
            first = platform.machines[0]

            status, headers, body = platform.request(first, "/all/query", "r-1")
            self.assertEqual(status, 200)
            stamps = [stamp.strip() for stamp in headers["X-Part-Stamps"].split(",")]
            self.assertEqual(len(stamps), 3)
            self.assertEqual(headers["X-Missing-Parts"], "0")
            for stamp in stamps:
                self.assertTrue(stamp.endswith(".r-1"), stamp)
            records = sorted((r for items in backends.values() for r in items[0].records()), reverse=True)
            self.assertEqual(body, b"".join(records[:4]))

            status, headers, body = platform.request(first, "/one/query?x=1", "r-2")
            self.assertEqual(status, 200)
            self.assertTrue(headers["X-Server-Stamp"].endswith(".r-2"))
            self.assertEqual(headers["X-Request-Id"], "r-2")
            self.assertTrue(body.endswith(b"rest"))

            self.assertEqual(platform.request(first, "/nowhere/x", "r-3")[0], 404)
            self.assertEqual(platform.request(first, "/all/x", "r-4", host="other.example")[0], 404)
            self.assertEqual(platform.read(), configuration(7))

    def test_bad_input_gets_a_clear_error_and_changes_nothing(self):
        with Platform() as platform:
            self.serve(platform)
            first = platform.machines[0]
            bad = configuration(9)
            bad["routes"][0]["fanoutServices"] = ["nowhere"]
            status, text = platform.order("/api/config/replace", bad)
            self.assertEqual(status, 400)
            self.assertIn(b"nowhere", text)
            self.assertEqual(platform.order("/api/config/replace", b'{"version": 9, "routes"')[0], 400)
            self.assertEqual(platform.put(configuration(6, shards=1)), 200)
            self.assertEqual(platform.read(), configuration(7))
            # Requests: no id, too large a header, too large a body, half a request.
            self.assertEqual(platform.request(first, "/all/x", "")[0], 400)
            self.assertEqual(platform.request(first, "/all/x", "r", headers={"X-Large": "x" * 20000})[0], 431)
            host, port = first.front.split(":")
            with socket.create_connection((host, int(port)), timeout=10) as half:
                half.sendall(b"GET /all/x HTTP/1.1\r\nHost: h.exa")
                self.assertTrue(half.recv(100).startswith(b"HTTP/1.1 408"))
            with socket.create_connection((host, int(port)), timeout=10) as large:
                large.sendall(b"POST /all/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 999999\r\n\r\n")
                self.assertTrue(large.recv(100).startswith(b"HTTP/1.1 413"))

    def test_backends_come_and_go(self):
        with Platform() as platform:
            backends = self.serve(platform)
            first = platform.machines[0]
            # One crashes in silence: answers stay whole by its twin.
            backends["s0"][0].crash()
            eventually("whole by the twin", lambda: self.whole(platform, first, "r-%d" % time.monotonic_ns()))
            # One says that it drains: it gets nothing more.
            leaver = backends["s1"][0]
            leaver.state = "draining"
            self.assertTrue(leaver.say("heartbeat"))
            time.sleep(1.0)
            served = len(leaver.served)
            for i in range(20):
                self.assertTrue(self.whole(platform, first, "d-%d" % i))
            self.assertEqual(len(leaver.served), served)
            # A whole shard is gone: answers say truthfully that it is missing.
            for backend in backends["s2"]:
                backend.say("deregister")
                backend.crash()

            def marked():
                status, headers, _ = platform.request(first, "/all/x", "m-%d" % time.monotonic_ns())
                return status == 200 and headers["X-Missing-Parts"] == "1"
            eventually("an answer without the shard", marked)

    def test_evacuated_zone_gets_nothing_also_after_all_lost_power(self):
        with Platform(entries=3, zones=3) as platform:
            inside, outside = self.serve_in_zones(platform)
            first = platform.machines[0]

            def order(what, machines=None):
                return platform.order_once("/api/evacuations/zone-2/" + what, None, "POST", machines or platform.core())
            self.assertEqual(order("start")[0], 200)
            # Sent again, to another machine: taken, with no second effect.
            self.assertEqual(order("start", platform.core()[1:])[0], 200)
            time.sleep(1.0)
            before = [len(backend.arrivals) for backend in inside]
            for i in range(20):
                self.assertTrue(self.whole(platform, first, "e-%d" % i, 2))
            self.assertEqual([len(backend.arrivals) for backend in inside], before)

            for machine in platform.core():
                machine.processes["control"].kill()
            for machine in platform.machines[:platform.entries]:
                machine.processes["entry"].kill()
                machine.start("entry")
            for machine in platform.machines:
                if machine.in_core:
                    machine.start("control")
            for machine in platform.machines[:platform.entries]:
                eventually("ready again", machine.is_ready)
            eventually("a whole answer", lambda: self.whole(platform, first, "w-%d" % time.monotonic_ns(), 2))
            for i in range(20):
                self.assertTrue(self.whole(platform, first, "f-%d" % i, 2))
            self.assertEqual([len(backend.arrivals) for backend in inside], before)
            self.assertEqual(first.dump("entry")["evacuated_zones"], ["zone-2"])

            self.assertEqual(platform.order("/api/evacuations/zone-2/stop")[0], 200)

            def back():
                self.assertTrue(self.whole(platform, platform.machines[1], "b-%d" % time.monotonic_ns(), 2))
                return sum(len(backend.arrivals) for backend in inside) > sum(before)
            eventually("the zone serves again", back)
            self.assertEqual(platform.order("/api/evacuations/nowhere/start")[0], 404)
            self.assertTrue(outside)

    def with_teams(self, version, keys, rate=0):
        """Two routes that want a key and an anonymous one; team `small` has the rate."""
        document = configuration(version)
        document["routes"].append(dict(document["routes"][1], name="r-open", pathPrefix="/open/", allowAnonymous=True))
        document["tenants"] = [{"name": "team-" + name, "apiKeys": held} for name, held in sorted(keys.items())]
        for team in document["tenants"]:
            if rate and team["name"] == "team-small":
                team.update(ratePerS=rate, burst=2)
        return document

    def test_keys_tell_teams_and_go_no_further(self):
        keys = {"large": ["key-of-large-1", "key-of-large-2"], "small": ["key-of-small-1"]}
        with Platform(entries=3, zones=3) as platform:
            backends = [backend for items in self.serve(platform).values() for backend in items]
            entries = platform.machines[:platform.entries]

            def ask(machine, path, key, request):
                headers = {"X-Tenant-Id": "forged"}
                if key:
                    headers["X-Api-Key"] = key
                return platform.request(machine, path, request, headers=headers)[0]

            def in_force(path, key, status):
                for machine in entries:
                    eventually("%s for %s" % (status, key or "no key"),
                               lambda m=machine: ask(m, path, key, "w-%d" % time.monotonic_ns()) == status, 6.0)

            document = self.with_teams(8, keys)
            self.assertEqual(platform.put(document), 200)
            self.assertEqual(platform.read(), document)
            in_force("/one/x", "", 401)
            in_force("/one/x", "key-of-large-1", 200)
            for number, machine in enumerate(entries):
                for path in ("/one/x", "/all/x"):
                    self.assertEqual(ask(machine, path, "key-of-large-2", "k%d%s" % (number, path)), 200)
                    self.assertEqual(ask(machine, path, "key-of-nobody", "n"), 401)
                self.assertEqual(ask(machine, "/open/x", "", "o%d" % number), 200)
                self.assertEqual(ask(machine, "/open/x", "key-of-nobody", "n"), 401)
            for backend in backends:
                for request, headers in backend.headers.items():
                    self.assertNotIn("X-Api-Key", headers)
                    if request[0] in "ko":
                        self.assertEqual(headers.get("X-Tenant-Id"), "team-large" if request[0] == "k" else None)

            # A key moves to another team, one is withdrawn, a team loses its last one.
            moved = self.with_teams(9, {"large": [], "small": ["key-of-small-1", "key-of-large-1"]})
            self.assertEqual(platform.put(moved), 200)
            in_force("/one/x", "key-of-large-2", 401)
            in_force("/one/x", "key-of-large-1", 200)
            self.assertEqual(ask(entries[0], "/one/x", "key-of-large-1", "moved"), 200)
            seen = [backend.headers["moved"] for backend in backends if "moved" in backend.headers]
            self.assertEqual([headers["X-Tenant-Id"] for headers in seen], ["team-small"])

            # Two teams with one key: refused, and the answer doesn't tell the key.
            shared = self.with_teams(10, {"large": ["key-of-small-1"], "small": ["key-of-small-1"]})
            status, text = platform.order("/api/config/replace", shared)
            self.assertEqual(status, 400)
            self.assertIn(b"team-large", text)
            self.assertNotIn(b"key-of", text)

            for machine in platform.machines:
                for role in machine.processes:
                    if machine.running(role):
                        self.assertNotIn("key-of", json.dumps(machine.dump(role)))
            self.check_files(platform.folder)

    def check_files(self, folder):
        """Keys stand nowhere but in the log of control, which no other user may read."""
        for path, _, names in os.walk(folder):
            for name in names:
                file_path = os.path.join(path, name)
                with open(file_path, "rb") as file:
                    if b"key-of" not in file.read():
                        continue
                self.assertIn(os.sep + "catalog", path, file_path)
                self.assertEqual(os.stat(file_path).st_mode & 0o077, 0, file_path)

    def test_a_team_over_its_limit_is_told_when_to_come_back(self):
        with Platform(entries=3, zones=3) as platform:
            backends = [backend for items in self.serve(platform).values() for backend in items]
            entries = platform.machines[:platform.entries]
            document = self.with_teams(8, {"large": ["key-of-large-1"], "small": ["key-of-small-1"]}, rate=4)
            self.assertEqual(platform.put(document), 200)
            self.assertEqual(platform.read(), document)
            for machine in entries:
                eventually("keys in force", lambda m=machine: platform.request(m, "/one/x", "w")[0] == 401)
            begun, told = time.monotonic(), []
            while time.monotonic() - begun < 5.0:
                number = len(told)
                status, headers, _ = platform.request(entries[number % 3], "/one/x", "s%d" % number,
                                                      headers={"X-Api-Key": "key-of-small-1"})
                told.append((status, headers))
                time.sleep(0.01)
            served = [status for status, _ in told if status == 200]
            refused = [headers for status, headers in told if status == 429]
            # 4 a second and 2, a tenth and 4 more; no less than what the limit allows.
            self.assertLessEqual(len(served), (4 * 5 + 2) * 1.1 + 4)
            self.assertGreaterEqual(len(served), 18)
            self.assertEqual(len(served) + len(refused), len(told))
            for headers in refused:
                self.assertGreater(float(headers["Retry-After"]), 0.0)
            arrived = {request for backend in backends for request in backend.headers if request[0] == "s"}
            self.assertEqual(len(arrived), len(served))
            # Others aren't touched by it.
            for number in range(20):
                self.assertEqual(platform.request(entries[number % 3], "/one/x", "l%d" % number,
                                                  headers={"X-Api-Key": "key-of-large-1"})[0], 200)

    def serve_in_zones(self, platform):
        """Brings up two shards with a backend in each of three zones; returns those in zone 2, and the others."""
        backends = [platform.add_backend("s%d" % i, "zone-%d" % (zone + 1)) for i in range(2) for zone in range(3)]
        self.assertEqual(platform.put(configuration(7, 2)), 200)
        for machine in platform.machines[:platform.entries]:
            eventually("machine %d ready" % machine.number, machine.is_ready)
            eventually("a whole answer",
                       lambda m=machine: self.whole(platform, m, "warm-up-%d" % time.monotonic_ns(), 2))
        return ([backend for backend in backends if backend.zone == "zone-2"],
                [backend for backend in backends if backend.zone != "zone-2"])

    def test_a_request_stays_in_the_regions_of_its_route(self):
        with Platform(entries=3, zones=3) as platform:
            self.serve_in_zones(platform)
            bound = configuration(8, 2)
            for route in bound["routes"]:
                route["allowedRegions"] = ["region-2"]
            self.assertEqual(platform.put(bound), 200)
            self.assertEqual(platform.read(), bound)
            time.sleep(1.0)
            served = {backend.id: len(backend.arrivals) for backend in platform.backends}
            for i in range(12):
                machine = platform.machines[i % 3]
                self.assertEqual(platform.request(machine, "/one/x", "o-%d" % i)[0], 200)
                self.assertTrue(self.whole(platform, machine, "h-%d" % i, 2))
            for backend in platform.backends:
                new = len(backend.arrivals) - served[backend.id]
                self.assertTrue(new > 0 if backend.zone == "zone-2" else new == 0, (backend.zone, new))
            # Nobody at home can serve: refused at once, as not run, with when to come back.
            for backend in platform.backends:
                if backend.zone == "zone-2":
                    backend.say("deregister")
                    backend.crash()
            time.sleep(1.0)
            for path in ("/one/x", "/all/x"):
                begun = time.monotonic()
                status, headers, _ = platform.request(platform.machines[0], path, "r" + path)
                self.assertEqual(status, 503)
                self.assertIn("Retry-After", headers)
                self.assertLess(time.monotonic() - begun, 0.3)

    def test_heartbeats_of_other_writers_name_no_backend(self):
        with Platform() as platform:
            backends = self.serve(platform)
            first = platform.machines[0]
            address = backends["s0"][0].address
            whole = {"service": "s0", "address": address, "zone": "zone-1", "version": "v1", "capacity": 4,
                     "state": "ready", "warmupRemainingMs": 0, "sequence": 1}

            def say(body, server="i-other"):
                return call(first.control, "POST", "/api/instances/%s/heartbeat" % server, body)[0]
            others = ["text", 3, -1, 1.5, True, None, [], {}]
            broken = [{key: value for key, value in whole.items() if key != left_out} for left_out in whole]
            # A warm-up of a millisecond and a half is one; any text names a service, a zone or a version.
            fits = {"warmupRemainingMs": [3, 1.5], "capacity": [3], "sequence": [3], "service": ["text"],
                    "zone": ["text"], "version": ["text"]}
            broken += [dict(whole, **{key: other}) for key in whole for other in others
                       if other is True or other not in fits.get(key, [])]
            broken.append(dict(whole, state="paused"))
            text = json.dumps(whole).encode()
            broken += [text[:end] for end in range(0, len(text), 7)] + [b"\xff\xfe" + text]
            for body in broken:
                self.assertEqual(say(body), 400, body)
            # The same under the name of one that serves: it holds by its own word.
            taken = dict(whole, sequence=1 << 40, state="paused")
            self.assertEqual(say(taken, backends["s0"][0].id), 400)
            time.sleep(0.5)
            self.assertEqual(first.dump("entry")["registered_backend_servers"], 6)
            self.assertTrue(self.whole(platform, first, "r-after"))

    # Guards against an entry that goes on with the backends of before its freeze, since it lost what it was sent meanwhile.
    def test_an_entry_that_was_frozen_serves_with_its_first_contact(self):
        with Platform(entries=3) as platform:
            backends = self.serve(platform)
            frozen = platform.machines[2]
            frozen.processes["entry"].signal(signal.SIGSTOP)
            for backend in [backend for group in backends.values() for backend in group]:
                backend.crash()
                platform.backends.append(Backend(platform, backend.service, backend.address, backend.zone))
            # Longer than the silence after which links are closed.
            time.sleep(LONG_FREEZE_S)
            frozen.processes["entry"].signal(signal.SIGCONT)
            eventually("an answer of the entry that was frozen",
                       lambda: self.whole(platform, frozen, "thawed-%d" % time.monotonic_ns()), patience=CONTACT_S)

    def test_a_backend_starts_again_under_its_id(self):
        with Platform() as platform:
            backends = self.serve(platform, replicas=1)
            first = platform.machines[0]
            again = backends["s1"][0]
            again.state = "draining"
            self.assertTrue(again.say("heartbeat"))
            eventually("missing", lambda: not self.whole(platform, first, "m-%d" % time.monotonic_ns()))
            again.server.cut_connections()
            again.born, again.sequence, again.state = again.born + 5000, 0, "ready"
            eventually("it serves", lambda: self.whole(platform, first, "b-%d" % time.monotonic_ns()))

    def test_planned_stop_cuts_nothing(self):
        with Platform() as platform:
            backends = self.serve(platform)
            for items in backends.values():
                for backend in items:
                    backend.delay_s = 0.05
            second = platform.machines[1]
            ended, stopping = [], threading.Event()

            def ask(worker):
                number = 0
                while not stopping.is_set():
                    number += 1
                    status, headers, _ = platform.request(second, "/all/x", "s-%d-%d" % (worker, number))
                    if status is None and not second.is_ready():
                        return
                    ended.append(status)

            workers = [threading.Thread(target=ask, args=(i,)) for i in range(4)]
            for worker in workers:
                worker.start()
            time.sleep(0.5)
            begun = time.monotonic()
            second.processes["entry"].signal(15)
            eventually("not ready at once", lambda: not second.is_ready(), patience=2.0)
            self.assertEqual(second.processes["entry"].handle.wait(30), 0)
            self.assertLess(time.monotonic() - begun, 6.0)
            stopping.set()
            for worker in workers:
                worker.join()
            self.assertGreater(len(ended), 10)
            self.assertEqual(set(ended), {200})

    def test_a_stop_that_reaches_its_bound_answers_what_is_open(self):
        with Platform() as platform:
            backends = self.serve(platform)
            patient = configuration(8)
            for route in patient["routes"]:
                route["timeoutMs"] = 20000
            self.assertEqual(platform.put(patient), 200)
            eventually("in force", lambda: self.whole(platform, platform.machines[1], "w-%d" % time.monotonic_ns()))
            time.sleep(1.0)
            for items in backends.values():
                for backend in items:
                    backend.delay_s = 12.0
            second = platform.machines[1]
            ended = []

            def ask(path):
                ended.append(call(second.front, "GET", path, timeout=15.0,
                                  headers={"Host": "h.example", "X-Request-Id": path, "X-Deadline-Ms": "15000"})[0])

            callers = [threading.Thread(target=ask, args=(path,)) for path in ("/all/x", "/one/x")]
            for caller in callers:
                caller.start()
            time.sleep(0.5)
            second.processes["entry"].signal(15)
            self.assertEqual(second.processes["entry"].handle.wait(30), 0)
            for caller in callers:
                caller.join()
            self.assertEqual(ended, [504, 504])

    def test_a_change_survives_a_lost_disk_while_all_other_machines_lose_power(self):
        with Platform(entries=4) as platform:
            self.serve(platform)
            version = 7
            for wiped in platform.machines[:3]:
                version += 2
                self.assertEqual(platform.put(configuration(version)), 200)
                platform.kill_all()
                wiped.wipe()
                platform.start_again()
                self.assertEqual(platform.read()["version"], version)
                for machine in platform.machines:
                    eventually("machine %d serves" % machine.number,
                               lambda m=machine: self.whole(platform, m, "x-%d" % time.monotonic_ns()))
                eventually("the new disk votes", lambda m=wiped: self.votes_anew(platform, m))

    def test_core_mends_itself(self):
        with Platform() as platform:
            self.serve(platform)
            ips = [NETWORK + ".%d" % number for number in (1, 2, 3)]
            eventually("three voters", lambda: self.voters(platform) == [ips, ips])
            # A disk is lost: the machine comes back at its address as a newcomer and becomes a voter again.
            third = platform.machines[2]
            third.processes["control"].kill()
            third.wipe()
            self.assertEqual(platform.put(configuration(8)), 200)
            third.start("control")
            eventually("a voter again", lambda: self.votes_anew(platform, third))
            self.assertEqual(self.voters(platform), [ips, ips])
            # Then another is lost for good, and an empty one comes at another address.
            platform.machines[1].processes["control"].kill()
            self.assertEqual(platform.put(configuration(9)), 200)
            newcomer = type(third)(platform, 9, True)
            platform.machines.append(newcomer)
            newcomer.start("control")
            mended = [NETWORK + ".%d" % number for number in (1, 3, 9)]
            eventually("the newcomer votes, the lost one left",
                       lambda: self.voters(platform) == [mended, mended])
            self.assertEqual(platform.put(configuration(10)), 200)
            # All are killed at once and come back with their disks.
            for machine in platform.core():
                machine.processes["control"].kill()
            for number in (0, 2, 3):
                platform.machines[number].start("control")
            self.assertEqual(platform.read(), configuration(10))


if __name__ == "__main__":
    unittest.main(verbosity=2)
