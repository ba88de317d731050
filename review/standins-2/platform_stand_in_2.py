"""A small stand-in of the users' platform for the cases of the second review.

It starts the programs of the deploy file as separate processes on loopback addresses, fills their settings templates,
and speaks as the operator, the requesters and the backends of the published protocol do. It needs only the Python
standard library.
"""

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "flaxtiller")

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

HEARTBEAT_MS = 1200
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 6,
          "lossSlackMs": 200, "configApplyMs": 3000, "downgradeSlackMs": 250, "maxSkewMs": 12000, "retryBudgetRatio": 0.2,
          "retryWindowS": 10, "retryBudgetSlack": 60, "recoveryS": 12}
FRONT, READINESS, CONTROL, FIRST_INTERNAL, LAST_INTERNAL = 8104, 8108, 8106, 7380, 7395


class CouldNotRun(Exception):
    """The case says nothing about the program, as it did not come to its point."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, with the time since the start; written to a file at the end."""

    def __init__(self, folder):
        self.path, self.lines, self.lock, self.begin = os.path.join(folder, "record.txt"), [], threading.Lock(), time.monotonic()

    def add(self, text):
        with self.lock:
            self.lines.append("%9.4f %s" % (time.monotonic() - self.begin, text))

    def elapsed_s(self):
        return time.monotonic() - self.begin

    def write(self):
        with self.lock, open(self.path, "w") as file:
            file.write("\n".join(self.lines) + "\n")


def eventually(what, condition, patience_s=30.0):
    until = time.monotonic() + patience_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > until:
            raise CouldNotRun("gave up waiting for: " + what)
        time.sleep(0.05)


def render(template, fields):
    """Fills {{a.b}}, {{a|json}}, {{#a}}..{{/a}}, {{^a}}..{{/a}} and {{,}} as the platform does."""

    def look_up(path, scopes):
        if path == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            value = scope
            for step in path.split("."):
                if isinstance(value, list) and step.isdigit():
                    value = value[int(step)] if int(step) < len(value) else None
                else:
                    value = value.get(step) if isinstance(value, dict) else None
            if value is not None:
                return value
        return None

    def fill(text, scopes, last):
        section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

        def expand(found):
            kind, path, inner = found.groups()
            value = look_up(path, scopes)
            if kind == "^":
                return "" if value else fill(inner, scopes, True)
            if isinstance(value, list):
                return "".join(fill(inner, scopes + [item], i + 1 == len(value)) for i, item in enumerate(value))
            return fill(inner, scopes, True) if value else ""

        text = section.sub(expand, text).replace("{{,}}", "" if last else ",")

        def gap(found):
            path, as_json = found.group(1), found.group(2)
            value = look_up(path, scopes)
            if as_json or isinstance(value, dict):
                return json.dumps(value)
            return "" if value is None else str(value)

        return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", gap, text)

    return fill(template, [fields], True)


def call(address, method, path, body=None, headers=None, timeout=3.0):
    """One HTTP request on a connection of its own. Returns (status, headers, body); the status is None without an answer."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        payload = json.dumps(body).encode() if isinstance(body, (dict, list)) else body
        connection.request(method, path, payload, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    except (OSError, http.client.HTTPException):
        return None, {}, b""
    finally:
        connection.close()


def free_network(machines):
    """A part of the loopback range in which no address of the machines is in use."""
    for _ in range(50):
        network = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
        try:
            for number in range(1, machines + 1):
                for port in (FRONT, READINESS, CONTROL, FIRST_INTERNAL, LAST_INTERNAL, 7384, 7385):
                    with socket.socket() as probe:
                        probe.bind(("%s.%d" % (network, number), port))
            return network
        except OSError:
            continue
    raise CouldNotRun("no free loopback addresses")


class Machine:
    """An instance with an entry process and, in the core, a control process."""

    def __init__(self, platform, number, core, zone):
        self.platform, self.number, self.in_core, self.zone = platform, number, core, zone
        self.ip = "%s.%d" % (platform.network, number)
        self.front, self.readiness, self.control = ("%s:%d" % (self.ip, port) for port in (FRONT, READINESS, CONTROL))
        self.data = os.path.join(platform.folder, "disk-%d" % number)
        self.roles = ("control", "entry") if core else ("entry",)
        self.processes = {}

    def log_of(self, role):
        return os.path.join(self.platform.folder, "%s-%d.log" % (role, self.number))

    def fields(self, role, bootstrap):
        platform = self.platform
        return {"nodeName": "front-%d" % self.number, "role": role, "machineClass": "front", "ip": self.ip, "zone": self.zone,
                "region": platform.zones[self.zone], "zones": platform.zones,
                "listenAddrs": {"front": self.front, "readiness": self.readiness, "control": self.control},
                "internalPortRange": [FIRST_INTERNAL, LAST_INTERNAL], "seeds": platform.seeds, "bootstrap": bootstrap,
                "inFailureBudget": self.in_core, "dataDir": self.data, "heartbeatIntervalMs": HEARTBEAT_MS,
                "limits": {"memoryMb": 260, "maxFds": 4100, "cpuShare": 0.45, "cpuCores": 1, "linkMbps": 1000.0, "diskMb": 64},
                "faultTolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": dict(BOUNDS, **platform.bounds)}

    def start(self, role, bootstrap=False):
        if role == "control":
            os.makedirs(self.data, exist_ok=True)
        with open(os.path.join(ROOT, "platform", role + ".json")) as file:
            text = render(file.read(), self.fields(role, bootstrap))
        settings = os.path.join(self.platform.folder, "%s-%d.json" % (role, self.number))
        with open(settings, "w") as file:
            file.write(text)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["FLAXTILLER_BOOT"] = settings
        with open(self.log_of(role), "ab") as log:
            self.processes[role] = subprocess.Popen([PROGRAM, "platform", role], cwd=ROOT, env=environment, stdout=log,
                                                    stderr=log, stdin=subprocess.DEVNULL)
        self.platform.record.add("process start %s %d pid %d" % (role, self.number, self.processes[role].pid))

    def running(self, role):
        return role in self.processes and self.processes[role].poll() is None

    def signal(self, role, number):
        self.platform.record.add("process signal %s %d %s" % (role, self.number, signal.Signals(number).name))
        self.processes[role].send_signal(number)

    def kill(self, role):
        if self.running(role):
            self.signal(role, signal.SIGKILL)
            self.processes[role].wait(30)

    def is_ready(self):
        return call(self.readiness, "GET", "/api/ready", timeout=1.0)[0] == 200


class Platform:
    """Machines with an entry each; the first three, one a zone, also have a control process and a disk."""

    def __init__(self, record, entries=6, bounds=None):
        self.record, self.bounds = record, bounds or {}
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.network = free_network(entries)
        self.zones = {"zone-%d" % n: "region-%d" % n for n in (1, 2, 3)}
        self.seeds = ["%s.%d:%d" % (self.network, n, CONTROL) for n in (1, 2, 3)]
        self.machines = [Machine(self, n, n <= 3, "zone-%d" % ((n - 1) % 3 + 1)) for n in range(1, entries + 1)]
        self.backends = []

    def __enter__(self):
        try:
            for machine in self.machines:
                for role in machine.roles:
                    machine.start(role, bootstrap=True)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        for backend in self.backends:
            backend.stop()
        for machine in self.machines:
            for process in machine.processes.values():
                if process.poll() is None:
                    process.kill()
                    process.wait(30)
        if os.environ.get("KEEP") is None:
            shutil.rmtree(self.folder, ignore_errors=True)

    def core(self):
        return [machine for machine in self.machines if machine.in_core]

    def check_alive(self):
        """A process that ends by itself breaks every rule it should keep."""
        ended = ["%s %d" % (role, machine.number) for machine in self.machines for role in machine.processes
                 if not machine.running(role)]
        if ended:
            self.record.add("processes ended by themselves: " + ", ".join(ended))
        return not ended

    def order(self, method, path, body=None, patience_s=30.0):
        """A call of the operator: at one control address after the other, following 307 twice."""

        def once():
            for machine in self.core():
                address = machine.control
                for _ in range(3):
                    status, headers, text = call(address, method, path, body, {"Content-Type": "application/json"})
                    if status != 307:
                        break
                    address = headers["Location"].split("/")[2]
                if status is not None and status < 500 and status != 307:
                    self.record.add("operator %s %s -> %d" % (method, path, status))
                    return status, text
            return None

        return eventually("an answer to " + path, once, patience_s)

    def put(self, configuration):
        status, text = self.order("POST", "/api/config/replace", configuration)
        if status != 200:
            raise CouldNotRun("configuration refused: %d %r" % (status, text))

    def await_ready(self):
        eventually("all entries are ready", lambda: all(machine.is_ready() for machine in self.machines))


def read_head(stream):
    """Reads the first line and the fields of a message; None at the end of the stream."""
    line = stream.readline()
    if not line.endswith(b"\r\n"):
        return None
    fields = {}
    while True:
        field = stream.readline()
        if not field.endswith(b"\r\n"):
            return None
        if field == b"\r\n":
            return line.decode("latin-1").strip(), fields
        name, _, value = field.decode("latin-1").partition(":")
        fields[name.strip().lower()] = value.strip()


def answer_bytes(status, fields, body):
    reasons = {200: "OK", 421: "Misdirected Request", 500: "Internal Server Error", 503: "Service Unavailable"}
    head = "HTTP/1.1 %d %s\r\n" % (status, reasons.get(status, "Other"))
    for name, value in fields.items():
        head += "%s: %s\r\n" % (name, value)
    return (head + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body


class Backend:
    """A backend as the pages describe it: `capacity` requests at once, a few more in a queue, 503 with
    `X-Not-Executed` beyond; on one connection one request at a time. It reports itself by heartbeats."""

    def __init__(self, platform, service, zone, capacity=2, queue=2, work_s=0.03):
        self.platform, self.service, self.zone = platform, service, zone
        self.capacity, self.queue, self.work_s = capacity, queue, work_s
        self.id = "i-%08x" % random.getrandbits(32)
        self.listener = socket.create_server(("%s.%d" % (platform.network, 200 + len(platform.backends)), 0), backlog=128)
        self.address = "%s:%d" % self.listener.getsockname()
        self.lock = threading.Condition()
        self.running, self.waiting, self.sequence, self.state, self.alive, self.beats = 0, 0, 0, "ready", True, True
        self.runs = {}
        platform.backends.append(self)
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def stop(self):
        self.alive = False
        self.listener.close()

    # -- service discovery

    def say(self, what):
        with self.lock:
            self.sequence += 1
            body = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                    "capacity": self.capacity, "state": self.state, "warmupRemainingMs": 0, "sequence": self.sequence}
        machines = self.platform.core()
        random.shuffle(machines)
        for machine in machines:
            path = "/api/instances/%s/%s" % (self.id, what)
            if call(machine.control, "POST", path, body, {"Content-Type": "application/json"}, timeout=1.0)[0] == 200:
                return machine
        return None

    def beat(self):
        while self.alive:
            if self.beats:
                self.say("heartbeat")
            time.sleep(HEARTBEAT_MS / 1000.0)

    # -- requests

    def accept(self):
        while self.alive:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            with connection, connection.makefile("rb") as stream:
                self.serve_requests(connection, stream)
        except OSError:
            return

    def serve_requests(self, connection, stream):
        while self.alive:
            head = read_head(stream)
            if head is None:
                return
            line, fields = head
            body = stream.read(int(fields.get("content-length", 0)))
            if not self.handle(connection, line, fields, body):
                return

    def handle(self, connection, line, fields, body):
        """Answers one request. Returns whether the connection goes on."""
        connection.sendall(self.answer_to(line, fields, body))
        return True

    def answer_to(self, line, fields, body):
        request = fields.get("x-request-id", "")
        common = {"X-Request-Id": request}
        if line.split()[1] == "/health":
            return answer_bytes(200, dict(common, **{"X-Instance-Id": self.id}), b"")
        if fields.get("x-expect-instance") not in (None, self.id):
            return answer_bytes(421, dict(common, **{"X-Not-Executed": "1"}), b"")
        if not self.enter():
            self.platform.record.add("%s rejects %s" % (self.id, request))
            return answer_bytes(503, dict(common, **{"X-Not-Executed": "1", "Retry-After": "0.02"}), b"")
        try:
            with self.lock:
                self.runs[request] = self.runs.get(request, 0) + 1
                nth = self.runs[request]
            self.platform.record.add("%s runs %s%s" % (self.id, request, "" if nth == 1 else " for the %d. time" % nth))
            time.sleep(self.work_s)
        finally:
            self.leave()
        return answer_bytes(200, dict(common, **{"X-Server-Stamp": "%s.%s" % (self.id, request)}), b"done " + request.encode())

    def enter(self):
        """Waits for a slot. Returns whether there is room."""
        with self.lock:
            if self.running >= self.capacity:
                if self.waiting >= self.queue:
                    return False
                self.waiting += 1
                while self.running >= self.capacity:
                    self.lock.wait()
                self.waiting -= 1
            self.running += 1
            return True

    def leave(self):
        with self.lock:
            self.running -= 1
            self.lock.notify()


class Requester:
    """A requester that keeps its connection, sends one request after the other, and waits as it is told; with
    @every_s, it sends at most one request in this time, at the same moments as the others."""

    def __init__(self, platform, machine, path, host="h.example", deadline_ms=2000, method="POST", body=b"credit", every_s=0.0):
        self.platform, self.machine, self.path, self.host = platform, machine, path, host
        self.deadline_ms, self.method, self.body, self.every_s = deadline_ms, method, body, every_s
        self.answers, self.stopped = {}, threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        connection, stream = None, None
        while not self.stopped.is_set():
            request = "%016x" % random.getrandbits(64)
            wait = 0.0
            try:
                if connection is None:
                    host, port = self.machine.front.split(":")
                    connection = socket.create_connection((host, int(port)), timeout=self.deadline_ms / 1000.0 + 2.0)
                    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    stream = connection.makefile("rb")
                self.platform.record.add("requester sends %s to entry %d" % (request, self.machine.number))
                connection.sendall(("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n" % (
                    self.method, self.path, self.host, request, self.deadline_ms, len(self.body))).encode() + self.body)
                head = read_head(stream)
                if head is None:
                    raise OSError("closed")
                status, fields = int(head[0].split()[1]), head[1]
                stream.read(int(fields.get("content-length", 0)))
                self.answers[request] = status
                self.platform.record.add("requester gets %s: %d" % (request, status))
                if status == 503:
                    wait = max(wait, float(fields.get("retry-after", 0)))
                if fields.get("connection", "").lower() == "close":
                    raise OSError("closed")
            except OSError as failed:
                if request not in self.answers:
                    self.answers[request] = None
                    self.platform.record.add("requester gets %s: no answer, %s" % (request, failed))
                if connection is not None:
                    stream.close()
                    connection.close()
                connection = None
            if self.every_s > 0.0:
                # On the next beat that all requesters of this kind share.
                wait += self.every_s - (time.monotonic() + wait) % self.every_s
            self.stopped.wait(wait)
        if connection is not None:
            connection.close()

    def stop(self):
        self.stopped.set()
        self.thread.join(self.deadline_ms / 1000.0 + 3.0)


def configuration(version, services, routes):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "healthCheckPath": "/health", "maxConnections": 45, "protocol": "h1", "tls": False}
                         for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


def unsafe_route(name, prefix, service):
    return {"name": name, "host": "h.example", "pathPrefix": prefix, "type": "unsafe", "timeoutMs": 2000,
            "targetLatencyMs": 300, "priority": 2, "maxAttempts": 2, "service": service}


def run_case(folder, case):
    """Runs a case: a function that is given the record and returns what broke the rule, as a list of lines."""

    def on_terminated(*_):
        raise CouldNotRun("ended from outside")

    signal.signal(signal.SIGTERM, on_terminated)
    record = Record(folder)
    result = COULD_NOT_RUN
    try:
        if not os.access(PROGRAM, os.X_OK):
            raise CouldNotRun(PROGRAM + " isn't built")
        broken = case(record)
        for line in broken:
            record.add("BROKEN " + line)
            print("BROKEN " + line)
        result = BROKEN if broken else HELD
    except CouldNotRun as reason:
        record.add("could not run: %s" % reason)
        print("could not run: %s" % reason)
    record.add("result %d, trouble %s" % (result, trouble()))
    record.write()
    print("result %d" % result)
    return result
