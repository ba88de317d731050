"""The fault soak: real processes in three regions under load, with faults from outside that overlap.

  soak.py --seed N [--seconds S] [--entries N] [--replace-core [--core N]]

Faults, their moments and their lengths follow the seed. With --replace-core, control replicas are replaced by empty ones at
other addresses, one after the other, while entries are out of contact. The last line is `violations: N`."""

import argparse
import collections
import http.client
import json
import os
import random
import sys
import threading
import time
import traceback

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "faults"))
from cluster import eventually
from platform_stand_in import Platform
from promises import CORE, EVERYTHING, RECORDS_KEPT, Call, Promises
from replacements import ROUTES_KEPT, CoreBudget, Replacements

ENTRIES = 4
REPLICAS_OF_CONTROL = 3
# Beside these, successors need addresses too, and the machine memory.
MOST_ENTRIES, MOST_CONTROL_REPLICAS = 60, 9
ZONES = 3
SERVICES = ["s%d" % i for i in range(6)]
REPLICAS = 3
LEAST_SHARE = 0.5
# Fewer than the entries need to send to each backend server themselves, so that shards have owners.
CONNECTIONS = 8
CALLERS = 8
# These keep their connection until its process is gone.
KEEPERS = 4
CALLER_PAUSE_S = 0.02
ORDER_TIMEOUT_S = 2.0
# What is under way after the last fault has this long to come right.
RECOVERY_S = 30.0


def configuration(version, kept=()):
    """Each version has a route of its own, so that callers see which one is in force, and maybe some of earlier ones."""
    def route(name, prefix, kind, **more):
        return dict({"name": name, "host": "h.example", "pathPrefix": prefix, "type": kind, "timeoutMs": 1500,
                     "targetLatencyMs": 400, "priority": 1, "maxAttempts": 2}, **more)
    return {"version": version,
            "routes": [route("r-all", "/all/", "safe", fanoutServices=SERVICES, topK=RECORDS_KEPT, minSuccessShare=LEAST_SHARE),
                       route("r-one", "/one/", "safe", service="s0"),
                       route("r-once", "/once/", "unsafe", service="s1"),
                       route("r-version", "/v%d/" % version, "safe", service="s2")]
                      + [route("r-version-%d" % number, "/v%d/" % number, "safe", service="s2") for number in kept],
            "services": [{"name": name, "healthCheckPath": "/health", "maxConnections": CONNECTIONS, "protocol": "h1",
                          "tls": False} for name in SERVICES],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


class KeptConnection:
    """A caller's connection to an entry, kept until it ends."""

    def __init__(self):
        self.machine, self.connection = None, None

    def request(self, path, request_id):
        """As Platform.request does."""
        fields = {"Host": "h.example", "X-Request-Id": request_id, "X-Deadline-Ms": "2000"}
        try:
            self.connection.request("GET", path, headers=fields)
            response = self.connection.getresponse()
            return response.status, dict(response.getheaders()), response.read()
        except (OSError, http.client.HTTPException):
            self.connection.close()
            self.machine = None
            return None, {}, b""

    def open_to(self, machine):
        self.machine = machine
        self.connection = http.client.HTTPConnection(*machine.front.split(":"), timeout=3.0)


class Soak:
    def __init__(self, platform, seed, replace_core=False):
        self.platform, self.random = platform, random.Random(seed)
        self.promises = Promises(SERVICES, LEAST_SHARE)
        self.stopping = threading.Event()
        self.lives = collections.defaultdict(int)
        self.busy, self.lock = set(), threading.Lock()
        self.sent = {}
        self.drains, self.stops, self.background = [], [], []
        self.counts = {}
        # Machines that were taken away for good.
        self.gone = set()
        self.budget = CoreBudget((platform.core_size - 1) // 2) if replace_core else None
        self.replacements = Replacements(self, seed) if replace_core else None
        self.seed = seed

    def present(self):
        return [machine for machine in self.platform.machines if machine.number not in self.gone]

    def note_own_failure(self, failure):
        """A thread of the soak that ended early would prove less than it seems to."""
        self.promises.violate("a thread of the soak failed: %s" % "".join(
            traceback.format_exception(failure.exc_type, failure.exc_value, failure.exc_traceback)))

    # -- callers

    def call_for_ever(self, number):
        draw, count, kept = random.Random(number), 0, KeptConnection()
        while not self.stopping.is_set():
            count += 1
            machine = draw.choice(self.present())
            if number >= CALLERS:
                if kept.machine is None:
                    kept.open_to(machine)
                machine = kept.machine
            newest = max(self.sent)
            kind = draw.choice(["all", "all", "all", "one", "once", "version", "version", "bad"])
            version = newest - draw.choice([0, 0, 1]) if kind == "version" else 0
            if kind == "version" and self.replacements:
                kind, version = "route", draw.choice([newest, newest] + sorted(self.sent)[-2 * ROUTES_KEPT:])
            path = "/v%d/x" % version if version else "/%s/x" % kind
            made = Call("%d-%d" % (number, count), kind, version, machine.number, self.lives[machine.number])
            made.end(*(kept.request(path, made.request) if number >= CALLERS
                       else self.platform.request(machine, path, made.request)))
            self.promises.check(made)
            if kind == "version":
                self.promises.check_in_force(made, max(self.sent))
            with self.lock:
                key = (kind, made.status)
                self.counts[key] = self.counts.get(key, 0) + 1
            time.sleep(CALLER_PAUSE_S)

    # -- operators

    def post(self, path, body):
        """One order, to the replicas in any order; None where nobody gave a clear answer."""
        core = self.platform.core()
        self.random.shuffle(core)
        return self.platform.order_once(path, body, "POST" if body else "GET", core, timeout=ORDER_TIMEOUT_S)

    def change(self):
        version = max(self.sent) + self.random.randint(1, 3)
        self.sent[version] = configuration(version)
        answer = self.post("/api/config/replace", self.sent[version])
        if answer is not None and answer[0] == 200:
            self.promises.note_acknowledged(version)
        elif answer is not None:
            self.promises.violate("a valid configuration %d got %s" % (version, answer))

    def change_routes(self, draw):
        """Adds a route, and drops some of those that the last change had."""
        newest = max(self.sent)
        version = newest + draw.randint(1, 3)
        before = self.routes_of(newest)
        kept = sorted(draw.sample(before, draw.randint(0, min(len(before), ROUTES_KEPT))))
        self.promises.note_sent(version, kept + [version])
        self.sent[version] = configuration(version, kept)
        answer = self.post("/api/config/replace", self.sent[version])
        if answer is not None and answer[0] == 200:
            self.promises.note_acknowledged(version)
        elif answer is not None:
            self.promises.violate("a valid configuration %d got %s" % (version, answer))
        return version

    def routes_of(self, version):
        prefixes = [route["pathPrefix"] for route in self.sent[version]["routes"]]
        return [int(prefix[2:-1]) for prefix in prefixes if prefix[2:-1].isdigit()]

    def version_in(self, body):
        return json.loads(body)["version"]

    def change_badly(self):
        bad = configuration(max(self.sent) + 1)
        bad["routes"].append(dict(bad["routes"][0], name="r-bad", pathPrefix="/bad/", fanoutServices=["nowhere"]))
        answer = self.post("/api/config/replace", bad)
        if answer is not None and answer[0] // 100 != 4:
            self.promises.violate("an invalid configuration got %d" % answer[0])

    def read(self):
        begun_at = time.monotonic()
        answer = self.post("/api/config/get", None)
        if answer is not None and answer[0] == 200:
            self.promises.check_read(json.loads(answer[1])["version"], begun_at)

    # -- faults: each takes what it needs, and gives it back healed

    def take(self, name):
        with self.lock:
            if name in self.busy:
                return False
            self.busy.add(name)
            return True

    def give_back(self, name):
        with self.lock:
            self.busy.discard(name)

    def take_all(self, names):
        taken = []
        for name in names:
            if not self.take(name):
                for other in taken:
                    self.give_back(other)
                return False
            taken.append(name)
        return True

    def on_process(self, role, act):
        machine = self.random.choice(self.present() if role == "entry" else self.platform.core())
        name = "%s-%d" % (role, machine.number)
        if not self.take(name):
            return
        counted = role == "control" and self.budget is not None
        if machine.number not in self.gone and (not counted or self.budget.lose()):
            with self.promises.disturbance(CORE if role == "control" else name):
                act(machine, machine.processes[role])
            if counted:
                self.budget.regain()
        self.give_back(name)

    def restart(self, machine, role):
        if role == "entry":
            self.lives[machine.number] += 1
        machine.start(role)

    def kill(self, role):
        def act(machine, process):
            process.kill()
            time.sleep(self.random.uniform(0.1, 1.5))
            self.restart(machine, role)
        self.on_process(role, act)

    def freeze(self, role):
        def act(_, process):
            process.freeze()
            time.sleep(self.random.uniform(0.2, 3.0))
            process.thaw()
        self.on_process(role, act)

    def wipe(self):
        """One disk at a time, and none while another replica is disturbed: more isn't promised."""
        if not self.take("disk"):
            return
        others = ["control-%d" % machine.number for machine in self.platform.core()]
        if len(others) == self.platform.core_size and not any(name in self.busy for name in others):
            def act(machine, process):
                process.kill()
                machine.wipe()
                time.sleep(0.3)
                machine.start("control")
                time.sleep(4.0)
            self.on_process("control", act)
        self.give_back("disk")

    def kill_all(self):
        machines = self.present()
        names = ["disk"] + ["%s-%d" % (role, machine.number) for machine in machines for role in machine.processes]
        if not self.take_all(names):
            return
        with self.promises.disturbance(EVERYTHING):
            for machine in machines:
                for process in machine.processes.values():
                    process.kill()
            for machine in machines:
                for role in machine.processes:
                    self.restart(machine, role)
        if self.budget:
            self.budget.all_returned(self.platform.core_size)
        for name in names:
            self.give_back(name)

    def stop_entry(self, machine):
        life, begun_at = self.lives[machine.number], time.monotonic()
        if machine.processes["entry"].stop() != 0:
            self.promises.violate("entry %d didn't end well when told to stop" % machine.number)
        self.stops.append((machine.number, life, begun_at))

    def stop(self):
        def act(machine, _):
            self.stop_entry(machine)
            self.restart(machine, "entry")
        self.on_process("entry", act)

    def await_answer(self, machine):
        """Any answer; the promises judge which one, and whether one comes."""
        until = time.monotonic() + RECOVERY_S
        while time.monotonic() < until and self.status_on_route(machine, 1) is None:
            time.sleep(0.05)

    def reload(self):
        machine = self.random.choice(self.present())
        if self.take("entry-%d" % machine.number):
            if machine.number not in self.gone:
                self.await_answer(machine)
                machine.reload("entry")
            self.give_back("entry-%d" % machine.number)

    def trouble(self, kind, share):
        backend = self.random.choice([item for item in self.platform.backends if item.alive])
        backend.trouble[kind] = share
        self.promises.disturb("backend")
        time.sleep(self.random.uniform(1.0, 4.0))
        backend.trouble.pop(kind, None)

    def crash(self):
        backend = self.random.choice([item for item in self.platform.backends if item.alive])
        if not self.take(backend.service):
            return
        backend.crash()
        self.promises.disturb("backend")
        time.sleep(self.random.uniform(0.5, 3.0))
        self.platform.add_backend(backend.service, backend.zone)
        time.sleep(1.0)
        self.give_back(backend.service)

    def drain(self):
        backend = self.random.choice([item for item in self.platform.backends if item.alive])
        if not self.take(backend.service):
            return
        self.platform.add_backend(backend.service, backend.zone)
        time.sleep(1.0)
        backend.state = "draining"
        if backend.say("heartbeat"):
            self.drains.append((backend, time.monotonic()))
            time.sleep(4.5)
            backend.say("deregister")
        backend.crash()
        self.give_back(backend.service)

    def faults(self):
        changes = [self.reload, self.replacements.read_everywhere] if self.replacements else [self.change, self.change]
        return changes + [
                self.change_badly, self.read, self.read, self.wipe, self.kill_all, self.stop, self.stop, self.crash, self.drain, lambda: self.kill("entry"), lambda: self.kill("control"),
                lambda: self.freeze("entry"), lambda: self.freeze("control"), lambda: self.trouble("refuse", 0.6),
                lambda: self.trouble("slow", 0.5), lambda: self.trouble("lose", 0.2)]

    # -- the run

    def start(self):
        for service in SERVICES:
            for i in range(REPLICAS):
                self.platform.add_backend(service, "zone-%d" % (i % ZONES + 1))
        self.sent[1] = configuration(1)
        if self.platform.put(self.sent[1]) != 200:
            self.promises.violate("the first configuration wasn't taken")
        self.promises.note_sent(1, [1])
        self.promises.note_acknowledged(1)
        self.whole_everywhere("a whole answer before any fault")

    def whole_everywhere(self, what):
        for machine in self.present():
            def whole(at=machine):
                status, headers, _ = self.platform.request(at, "/all/x", "whole-%d" % time.monotonic_ns())
                return status == 200 and headers.get("X-Missing-Parts", "0") == "0"
            try:
                eventually("%s of entry %d" % (what, machine.number), whole, patience=RECOVERY_S)
            except AssertionError as late:
                self.promises.violate(str(late))

    def status_on_route(self, machine, version):
        return self.platform.request(machine, "/v%d/x" % version, "newest-%d" % time.monotonic_ns())[0]

    def newest_everywhere(self):
        """The newest route at each entry that runs, once all has been calm for long enough."""
        version = self.change_routes(random.Random("%d-last" % self.seed))
        until = time.monotonic() + RECOVERY_S
        for machine in self.present():
            status = self.status_on_route(machine, version)
            while status != 200 and time.monotonic() < until:
                time.sleep(0.1)
                status = self.status_on_route(machine, version)
            self.promises.check_recovered(machine.number, version, status)

    def run(self, seconds):
        keepers = KEEPERS if self.replacements else 0
        callers = [threading.Thread(target=self.call_for_ever, args=(i,), daemon=True) for i in range(CALLERS + keepers)]
        for caller in callers:
            caller.start()
        until = time.monotonic() + seconds
        if self.replacements:
            self.start_replacements(until)
        while time.monotonic() < until or (self.replacements and not self.replacements.over.is_set()):
            time.sleep(self.random.uniform(0.3, 1.5))
            fault = threading.Thread(target=self.random.choice(self.faults()), daemon=True)
            fault.start()
            self.background.append(fault)
        for fault in self.background:
            fault.join()
        self.whole_everywhere("a whole answer after the last fault")
        if self.replacements:
            self.newest_everywhere()
        self.stopping.set()
        for caller in callers:
            caller.join()

    def start_replacements(self, until):
        for work in (lambda: self.replacements.run(until), lambda: self.replacements.change_for_ever(self.seed)):
            worker = threading.Thread(target=work, daemon=True)
            worker.start()
            self.background.append(worker)

    def check_end(self):
        for backend, acknowledged_at in self.drains:
            self.promises.check_drained(backend, acknowledged_at)
        for stop in self.stops:
            self.promises.check_planned_stop(*stop, self.platform.backends)
        self.promises.check_runs(self.platform.backends)
        held = self.platform.read()
        self.promises.check_read(held["version"], time.monotonic())
        sent = dict(self.sent.get(held["version"], {"routes": []}))
        sent["routes"] = sorted(sent["routes"], key=lambda route: route["name"])
        if held != sent:
            self.promises.violate("version %d reads back otherwise than it was sent" % held["version"])


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--entries", type=int, default=ENTRIES, help="entry processes, one on each machine")
    parser.add_argument("--replace-core", action="store_true", help="replace control replicas")
    parser.add_argument("--core", type=int, default=REPLICAS_OF_CONTROL, help="control replicas")
    options = parser.parse_args()
    if not REPLICAS_OF_CONTROL <= options.core <= min(options.entries, MOST_CONTROL_REPLICAS):
        parser.error("--core is from %d to %d, and at most --entries" % (REPLICAS_OF_CONTROL, MOST_CONTROL_REPLICAS))
    if options.entries > MOST_ENTRIES:
        parser.error("--entries is at most %d" % MOST_ENTRIES)
    with Platform(entries=options.entries, zones=ZONES, core=options.core, cuttable=options.replace_core) as platform:
        soak = Soak(platform, options.seed, options.replace_core)
        threading.excepthook = soak.note_own_failure
        soak.start()
        soak.run(options.seconds)
        soak.check_end()
    for (kind, status), count in sorted(soak.counts.items(), key=str):
        print("%s %s: %d" % (kind, status, count))
    print("violations: %d" % len(soak.promises.violations))
    return 1 if soak.promises.violations else 0


if __name__ == "__main__":
    sys.exit(main())
