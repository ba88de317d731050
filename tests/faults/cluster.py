"""Starts real flaxtiller processes and stand-ins for tests of failures, and stops just those."""

import http.client
import itertools
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.environ.get("FLAXTILLER_BUILD", os.path.join(ROOT, "build"))
FLAXTILLER = os.path.join(BUILD, "flaxtiller")
STAND_IN = os.path.join(BUILD, "stand_in")
SUSPENSION = os.path.join(BUILD, "libsuspension.so")
CUT = os.path.join(BUILD, "libcut.so")

# A folder that is kept in memory.
MEMORY_FOLDER = "/dev/shm" if os.access("/dev/shm", os.W_OK) else None

# Bounds on waiting for what must come; generous, since a busy machine must not change a verdict.
PATIENCE_S = 30.0


# Below the range from which the kernel gives ports to outgoing connections, one of which could otherwise take a
# port between its choice here and its use. Each test process claims a block of its own by a socket at the block's first
# port: two in one block took the same ports between the choice and the use, and an entry never served.
FIRST_PORT, BLOCKS, BLOCK = 10000, 20, 1000
_claimed = []


def _claim_block():
    for offset in range(BLOCKS):
        base = FIRST_PORT + (os.getpid() + offset) % BLOCKS * BLOCK
        claim = socket.socket()
        try:
            claim.bind(("127.0.0.1", base))
            _claimed.append(claim)
            return base
        except OSError:
            claim.close()
    raise RuntimeError("all blocks of ports are taken by other test processes")


_first = _claim_block()
_ports = itertools.count()


def free_port():
    while True:
        port = _first + 1 + next(_ports) % (BLOCK - 1)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


def call(port, method, path, body=None, timeout=5.0):
    """One HTTP request. Returns (status, parsed body), or (None, None) if there was no answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        payload = None if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
        connection.request(method, path, payload)
        response = connection.getresponse()
        text = response.read()
        return response.status, json.loads(text) if text else None
    except (OSError, http.client.HTTPException, ValueError):
        return None, None
    finally:
        connection.close()


def eventually(what, condition, patience=PATIENCE_S):
    """Waits until the condition holds; returns its value."""
    until = time.monotonic() + patience
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > until:
            raise AssertionError("gave up waiting for: " + what)
        time.sleep(0.02)


class Process:
    def __init__(self, name, arguments, log):
        self.name = name
        self.arguments = arguments
        self.log = log
        self.handle = None
        self.environment = {}
        self.clock_file, self.suspended_ms, self.frozen_at = None, 0, None
        self.cut_file, self.cut_number = None, 0

    def start(self):
        environment = dict(os.environ, **self.environment)
        if self.clock_file:
            environment.update({"LD_PRELOAD": SUSPENSION, "SUSPENSION_FILE": self.clock_file})
        with open(self.log, "ab") as log:
            self.handle = subprocess.Popen(self.arguments, stdout=log, stderr=log, env=environment)
        return self

    def may_be_suspended(self):
        """To be called before the process starts."""
        self.clock_file = self.log + ".suspended"
        self.write_suspended()
        return self

    def write_suspended(self):
        with open(self.clock_file, "wb") as file:
            file.write(struct.pack("q", self.suspended_ms))

    def may_be_cut(self):
        """To be called before the process starts."""
        self.cut_file = self.log + ".cut"
        self.environment.update({"LD_PRELOAD": CUT, "CUT_FILE": self.cut_file})
        with open(self.cut_file, "wb") as file:
            file.write(struct.pack("q", self.cut_number))
        return self

    def change_cut(self):
        self.cut_number += 1
        with open(self.cut_file, "r+b") as file:
            file.write(struct.pack("q", self.cut_number))

    def cut(self):
        """Cuts it off from all other processes, in silence and in both directions."""
        if self.cut_number % 2 == 0:
            self.change_cut()

    def join(self):
        if self.cut_number % 2 != 0:
            self.change_cut()

    def suspend(self):
        """As a machine that is suspended: it stands still, and its steady clock with it."""
        self.frozen_at = time.monotonic()
        self.freeze()

    def resume(self):
        self.suspended_ms += int((time.monotonic() - self.frozen_at) * 1000)
        with open(self.clock_file, "r+b") as file:
            file.write(struct.pack("q", self.suspended_ms))
        self.thaw()

    def signal(self, number):
        os.kill(self.handle.pid, number)

    def kill(self):
        """As a lost machine would end: at once."""
        if self.handle and self.handle.poll() is None:
            self.signal(signal.SIGCONT)
            self.handle.kill()
            self.handle.wait()

    def end_silent(self):
        """Ends it for good, also if it stands still: without a moment in which it goes on."""
        if self.handle and self.handle.poll() is None:
            self.handle.kill()
            self.handle.wait()

    def freeze(self):
        self.signal(signal.SIGSTOP)

    def thaw(self):
        self.signal(signal.SIGCONT)

    def stop(self, timeout=PATIENCE_S):
        """A planned stop; returns the exit status."""
        self.signal(signal.SIGTERM)
        return self.handle.wait(timeout)


class Cluster:
    """Control replicas, entries and stand-in backend servers in a temporary folder."""

    def __init__(self, controls=1, entries=2, shards=3, replicas=2, behaviour=None, relays=False, drain_ms=5000,
                 connection_limit=25, suspendable=False, control_extra=None, in_memory=False):
        # A test that measures time can't wait for a disk that other processes keep busy.
        self.folder = tempfile.mkdtemp(prefix="flaxtiller-", dir=MEMORY_FOLDER if in_memory else None)
        self.processes = []
        self.ports = {}
        self.shards = shards
        self.replicas = replicas
        self.behaviour = behaviour or {}
        self.drain_ms = drain_ms
        self.connection_limit = connection_limit
        self.suspendable = suspendable
        self.control_extra = control_extra or {}
        self.relays = {}
        self.control_names = ["c%d" % i for i in range(1, controls + 1)]
        self.entry_names = ["e%d" % i for i in range(1, entries + 1)]
        self.backend_names = ["b%d%s" % (s, "abc"[r]) for s in range(shards) for r in range(replicas)]
        for name in self.control_names:
            self.ports[name] = {"link": free_port(), "operators": free_port()}
        for name in self.entry_names:
            self.ports[name] = {"callers": free_port(), "link": free_port(), "operators": free_port()}
        for name in self.backend_names:
            self.ports[name] = {"http": free_port()}
        self.by_name = {}
        if relays:
            self.start_relays()

    # -- starting and stopping

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            process.kill()
        if os.environ.get("FLAXTILLER_KEEP") is None:
            shutil.rmtree(self.folder, ignore_errors=True)

    def add(self, name, arguments):
        process = Process(name, arguments, os.path.join(self.folder, name + ".log"))
        self.processes.append(process)
        self.by_name[name] = process
        return process.may_be_suspended() if self.suspendable else process

    def start_relays(self):
        """One relay for each ordered pair of control replicas, so that each direction can be cut, and one from each entry
        to each control replica."""
        for a in self.control_names + self.entry_names:
            for b in self.control_names:
                if a != b:
                    port = free_port()
                    target = "127.0.0.1:%d" % self.ports[b]["link"]
                    self.relays[(a, b)] = (port, self.add("relay-%s-%s" % (a, b), [
                        STAND_IN, "--role=relay", "--listen=127.0.0.1:%d" % port, "--target=" + target]).start())

    def link_address(self, of, seen_by):
        relay = self.relays.get((seen_by, of))
        return "127.0.0.1:%d" % (relay[0] if relay else self.ports[of]["link"])

    def write(self, name, settings):
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w") as file:
            json.dump(settings, file)
        return path

    def control_settings(self, name):
        ports = self.ports[name]
        settings = {
            "replica": {"name": name},
            "listen": {"link": "127.0.0.1:%d" % ports["link"], "operators": "127.0.0.1:%d" % ports["operators"]},
            "replicas": [{"name": other, "address": self.link_address(other, name)} for other in self.control_names],
            "data_folder": os.path.join(self.folder, name)}
        settings.update(self.control_extra)
        return self.write(name, settings)

    def start_control(self, name, init=False):
        path = self.control_settings(name)
        if init:
            subprocess.run([FLAXTILLER, "control", "--settings=" + path, "--init"], check=True, capture_output=True)
        return self.add(name, [FLAXTILLER, "control", "--settings=" + path]).start()

    def start_entry(self, name, extra=None):
        ports = self.ports[name]
        settings = {
            "instance": {"name": name},
            "listen": {kind: "127.0.0.1:%d" % port for kind, port in ports.items()},
            "control": [{"name": c, "address": self.link_address(c, name)} for c in self.control_names],
            "limits": {"drain_bound_ms": self.drain_ms, "request_bytes": 65536, "request_timeout_ms": 1000},
            "threads": 2}
        settings.update(extra or {})
        return self.add(name, [FLAXTILLER, "entry", "--settings=" + self.write(name, settings)]).start()

    def start_backend(self, name):
        behaviour = {"shard": int(name[1]), "shards": self.shards, "work_ms": 2}
        behaviour.update(self.behaviour)
        return self.add(name, [
            STAND_IN, "--name=" + name, "--listen=127.0.0.1:%d" % self.ports[name]["http"],
            "--connection_cost_ms=0", "--connection_limit=%d" % self.connection_limit,
            "--behaviour=" + json.dumps(behaviour)]).start()

    def start_controls(self):
        first = self.control_names[0]
        self.start_control(first, init=True)
        for name in self.control_names[1:]:
            self.start_control(name)
        for name in self.control_names[1:]:
            self.members("add", name)
            self.await_voter(name)

    def start_all(self, extra=None):
        for name in self.backend_names:
            self.start_backend(name)
        self.start_controls()
        for name in self.entry_names:
            self.start_entry(name, extra)
        result = self.apply("declare", 0, self.document())
        assert result["status"] == "accepted", result
        self.await_serving()
        return self

    def await_serving(self, names=None):
        for name in names or self.entry_names:
            eventually(name + " serves", lambda: call(self.ports[name]["callers"], "GET", "/health")[0] == 200)
            eventually(name + " answers whole", lambda: (self.query(name)[1] or {}).get("complete"))

    # -- operators

    def document(self, **changes):
        document = {
            "services": [{"name": "dispatch", "labels": {"team": "depot"}, "shards": self.shards}],
            "backend_servers": [self.backend(name) for name in self.backend_names],
            "placement_rules": [{"name": "rule", "services": {"team": "depot"},
                                 "backend_servers": {"index": "scooters"}}],
            "instances": [{"name": name, "address": "127.0.0.1:%d" % self.ports[name]["link"]}
                          for name in self.entry_names]}
        document.update(changes)
        return document

    def backend(self, name, **changes):
        server = {"name": name, "address": "127.0.0.1:%d" % self.ports[name]["http"],
                  "labels": {"index": "scooters", "shard": name[1]}, "slots": 2, "connection_limit": self.connection_limit}
        server.update(changes)
        return server

    def leader_call(self, method, path, body=None, patience=PATIENCE_S):
        """Asks all control replicas until the leader answers."""
        until = time.monotonic() + patience
        while time.monotonic() < until:
            for name in self.control_names:
                status, answer = call(self.ports[name]["operators"], method, path, body, timeout=2.0)
                if status is not None and status not in (421, 503):
                    return status, answer
            time.sleep(0.05)
        raise AssertionError("no control replica leads")

    def apply(self, change_id, base, body, kind="replace"):
        change = {"id": change_id, "base_revision": base, "kind": kind, "body": body}
        return self.leader_call("POST", "/changes", change)[1]

    def members(self, action, name):
        eventually("%s %s" % (action, name),
                   lambda: self.leader_call("POST", "/members", {"action": action, "name": name})[0] == 200)

    def status(self):
        return self.leader_call("GET", "/status")[1]

    def leader(self):
        return self.status()["leader"]

    def revision(self):
        return self.leader_call("GET", "/configuration")[1]["revision"]

    def await_voter(self, name):
        def voter():
            status = self.status()
            return all(any(m["name"] == name and m["voter"] for m in status[log].get("members", []))
                       and self.incarnation(name, log) == [
                           m["incarnation"] for m in status[log]["members"] if m["name"] == name][0]
                       for log in ("catalog", "register"))
        eventually(name + " votes", voter)

    def incarnation(self, name, log):
        status, dump = call(self.ports[name]["operators"], "GET", "/dump")
        return dump[log].get("incarnation") if status == 200 else None

    def cut(self, name):
        """Cuts a control replica off from the others, in silence, in both directions."""
        for (a, b), (_, relay) in self.relays.items():
            if name in (a, b) and a in self.control_names:
                relay.signal(signal.SIGUSR2)

    def cut_one_way(self, source, target):
        """What `source` sends to `target` is lost; the other direction works."""
        self.relays[(source, target)][1].signal(signal.SIGUSR1)

    def silence(self, sources, how=signal.SIGALRM):
        """The open links that `sources` dialled to control replicas stay open and carry nothing more: in both directions,
        or with SIGPROF towards the replica, with SIGVTALRM from it. New ones work."""
        for (a, _), (_, relay) in self.relays.items():
            if a in sources:
                relay.signal(how)

    def heal(self):
        for _, relay in self.relays.values():
            relay.signal(signal.SIGHUP)

    # -- callers and backend servers

    def query(self, entry, body="q", timeout=10.0, **request):
        request = dict({"service": "dispatch", "body": body, "deadline_ms": 2000}, **request)
        return call(self.ports[entry]["callers"], "POST", "/query", request, timeout)

    def behave(self, backend, **changes):
        status, answer = call(self.ports[backend]["http"], "POST", "/control", changes)
        assert status == 200, (backend, status)
        return answer

    def runs(self, backend):
        return call(self.ports[backend]["http"], "GET", "/runs")[1]

    def dump(self, name):
        return call(self.ports[name]["operators"], "GET", "/dump")[1]

    def owner(self):
        dump = self.dump(self.entry_names[0])
        return dump["services"]["dispatch"]["versions"][0]["owner"]
