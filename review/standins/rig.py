"""A small rig for the cases of the review: it starts flaxtiller's processes on loopback addresses with the settings
templates of platform/, and plays the operator, the backends and the requesters. Everything else in a case stands in
its run.py. Python's standard library only."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "flaxtiller")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2

# The bounds of the site brackenmoor-fleet, and those of brackenmoor-fleet-grown.
SMALL_BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000,
                "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000, "downgradeSlackMs": 250, "maxSkewMs": 12000,
                "retryBudgetRatio": 0.2, "retryWindowS": 10, "retryBudgetSlack": 60, "recoveryS": 12}
GROWN_BOUNDS = dict(SMALL_BOUNDS, contactMs=6000, ackMs=8000, catchUpS=6, drainMs=4000, configApplyMs=4000,
                    maxSkewMs=15000, retryBudgetSlack=170, recoveryS=15)
HEARTBEAT_MS = 1200
ZONES = {"zone-1": "region-1", "zone-2": "region-2", "zone-3": "region-3"}
FRONT, CONTROL, READY = 8104, 8106, 8108


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Record:
    """The lines of record.txt: seconds since the start, what happened, and its fields."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, what, **fields):
        text = " ".join("%s=%s" % (key, value) for key, value in fields.items())
        self.file.write("%9.4f %s %s\n" % (self.now(), what, text))

    def close(self):
        self.file.close()


# ---------------------------------------------------------------------------------------------------------------------
# settings
# ---------------------------------------------------------------------------------------------------------------------

def render(template, fields):
    """Fills a settings template as DEPLOY.md says."""

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
        def section(found):
            kind, path, inner = found.groups()
            value = look_up(path, scopes)
            if kind == "^":
                return "" if value else fill(inner, scopes, True)
            if isinstance(value, list):
                return "".join(fill(inner, scopes + [item], i + 1 == len(value)) for i, item in enumerate(value))
            return fill(inner, scopes, True) if value else ""

        text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)
        text = text.replace("{{,}}", "" if last else ",")

        def gap(found):
            value = look_up(found.group(1), scopes)
            if found.group(2) or isinstance(value, dict):
                return json.dumps(value)
            return "" if value is None else str(value)

        return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", gap, text)

    return fill(template, [fields], True)


def free_network():
    """A prefix 127.x.y of loopback addresses on which nothing listens at our ports."""
    for _ in range(50):
        prefix = "127.%d.%d" % (random.randint(10, 250), random.randint(1, 250))
        try:
            for last in (1, 2, 3):
                for port in (FRONT, CONTROL, READY, 7380, 7384, 7385, 7395):
                    with socket.socket() as probe:
                        probe.bind(("%s.%d" % (prefix, last), port))
            return prefix
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


class Machine:
    """A machine of the class `front`: an entry, and with a disk a control process as well."""

    def __init__(self, rig, number, zone, has_disk):
        self.rig, self.number, self.zone, self.has_disk = rig, number, zone, has_disk
        self.ip = "%s.%d" % (rig.network, number)
        self.disk = os.path.join(rig.folder, "disk-%d" % number)
        self.roles = ("control", "entry") if has_disk else ("entry",)
        self.running = {}

    def start(self, bootstrap=False):
        for role in self.roles:
            self.start_role(role, bootstrap)

    def start_role(self, role, bootstrap=False):
        os.makedirs(self.disk, exist_ok=True)
        fields = {"nodeName": "front-%s-%d" % (self.zone, self.number), "role": role, "machineClass": "front",
                  "ip": self.ip, "zone": self.zone, "region": ZONES[self.zone], "zones": ZONES,
                  "listenAddrs": {"front": "%s:%d" % (self.ip, FRONT), "readiness": "%s:%d" % (self.ip, READY),
                                  "control": "%s:%d" % (self.ip, CONTROL)},
                  "internalPortRange": [7380, 7395], "seeds": self.rig.seeds, "bootstrap": bootstrap,
                  "dataDir": self.disk, "heartbeatIntervalMs": HEARTBEAT_MS, "bounds": self.rig.bounds}
        with open(os.path.join(ROOT, "platform", role + ".json")) as file:
            text = render(file.read(), fields)
        path = os.path.join(self.rig.folder, "%s-%d.json" % (role, self.number))
        with open(path, "w") as file:
            file.write(text)
        log = open(os.path.join(self.rig.folder, "%s-%d.log" % (role, self.number)), "ab")
        self.running[role] = subprocess.Popen([PROGRAM, "platform", role], stdout=log, stderr=log, cwd=ROOT,
                                              env={"FLAXTILLER_BOOT": path, "PATH": os.environ.get("PATH", ""),
                                                   "LANG": "C"})
        log.close()
        self.rig.record.add("started", machine=self.number, role=role, pid=self.running[role].pid)

    def signal(self, number, role=None):
        for name in [role] if role else self.roles:
            process = self.running.get(name)
            if process and process.poll() is None:
                os.kill(process.pid, number)
        self.rig.record.add("signal", machine=self.number, role=role or "all", number=number)

    def kill(self, role=None):
        self.signal(signal.SIGKILL, role)
        for name in [role] if role else self.roles:
            if name in self.running:
                self.running[name].wait()


class Rig:
    """Three machines with disks, one in each zone, and more machines without."""

    def __init__(self, case, more=(), bounds=SMALL_BOUNDS):
        self.case = os.path.dirname(os.path.abspath(case))
        if not os.path.exists(PROGRAM):
            raise CannotRun("target/flaxtiller is missing: build it as deploy/system.toml says")
        self.record = Record(self.case)
        self.folder = tempfile.mkdtemp(prefix="flaxtiller-review-")
        self.keep = bool(os.environ.get("KEEP"))
        self.bounds = bounds
        self.network = free_network()
        self.seeds = ["%s.%d:%d" % (self.network, number, CONTROL) for number in (1, 2, 3)]
        zones = list(ZONES)
        self.machines = [Machine(self, n + 1, zones[n], True) for n in range(3)]
        for zone in more:
            self.machines.append(Machine(self, len(self.machines) + 1, zone, False))
        self.core = self.machines[:3]
        self.backends = []

    def start(self):
        for machine in self.machines:
            machine.start(bootstrap=True)

    def close(self):
        for machine in self.machines:
            for process in machine.running.values():
                if process.poll() is None:
                    process.kill()
                process.wait()
        self.record.close()
        if self.keep:
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def until(self, what, condition, patience_s=20.0):
        end = time.monotonic() + patience_s
        while True:
            if await condition():
                return
            if time.monotonic() > end:
                raise CannotRun("gave up waiting for: " + what)
            await asyncio.sleep(0.05)

    async def is_ready(self, machine):
        return (await call("%s:%d" % (machine.ip, READY), "GET", "/api/ready", timeout=1.0))[0] == 200

    async def all_ready(self):
        for machine in self.machines:
            await self.until("machine %d ready" % machine.number, lambda m=machine: self.is_ready(m))

    # -- the operator and the backends' calls

    async def order(self, method, path, body=None, patience_s=15.0):
        """An operator's call: follows two redirects, and goes to the next machine after a failure or a second of
        silence. Returns (status, body) of the first clear answer."""
        end = time.monotonic() + patience_s
        wait = 0.05
        while time.monotonic() < end:
            for machine in random.sample(self.core, len(self.core)):
                status, text = await self.order_at("%s:%d" % (machine.ip, CONTROL), method, path, body)
                if status is not None and status < 500 and status not in (307, 408, 429):
                    return status, text
            await asyncio.sleep(wait)
            wait = min(wait * 2, 1.0)
        return None, b""

    async def order_at(self, address, method, path, body=None):
        for _ in range(3):
            status, headers, text = await call(address, method, path, body, timeout=1.0)
            if status != 307:
                return status, text
            address = headers["location"].split("/")[2]
        return None, b""


# ---------------------------------------------------------------------------------------------------------------------
# HTTP
# ---------------------------------------------------------------------------------------------------------------------

async def read_message(reader):
    """Reads one HTTP message with a Content-Length. Returns (first line, headers, body), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return first, headers, body


async def exchange(reader, writer, method, path, headers, body=b""):
    lines = ["%s %s HTTP/1.1" % (method, path)] + ["%s: %s" % item for item in headers.items()]
    if body or method == "POST":
        lines.append("Content-Length: %d" % len(body))
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    answer = await read_message(reader)
    if answer is None:
        return None, {}, b""
    return int(answer[0].split()[1]), answer[1], answer[2]


async def call(address, method, path, body=None, headers=None, timeout=3.0):
    """One call on a new connection. Returns (status, headers, body); the status is None if no answer came."""
    host, port = address.split(":")
    payload = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
    fields = {"Host": address, "Connection": "close"}
    if payload:
        fields["Content-Type"] = "application/json"
    fields.update(headers or {})
    writer = None

    async def talk():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        return await exchange(reader, writer, method, path, fields, payload)

    try:
        return await asyncio.wait_for(talk(), timeout)
    except (OSError, asyncio.TimeoutError):
        return None, {}, b""
    finally:
        if writer is not None:
            writer.close()


# ---------------------------------------------------------------------------------------------------------------------
# backends
# ---------------------------------------------------------------------------------------------------------------------

class Backend:
    """A sound backend: it runs what names its id, answers 421 to what names another, queues a few requests and rejects
    what is beyond them, ends at the deadline, tells its load, and pings a control address."""

    def __init__(self, rig, service, zone, address, slots=2, work_s=0.005, records=0, queue=12):
        self.rig, self.service, self.zone, self.address = rig, service, zone, address
        self.slots, self.work_s, self.records, self.queue = slots, work_s, records, queue
        # How many times as long its work takes.
        self.slowness = 1.0
        self.running, self.waiting = 0, 0
        self.id = "i-%08x" % random.getrandbits(32)
        self.sequence, self.state, self.pings = 0, "ready", True
        self.free = asyncio.Semaphore(slots)
        self.runs = []          # (seconds since the start, request id)
        self.parts = {}         # what each stamp stands for: (request id, records)
        self.preferred = random.randrange(3)
        rig.backends.append(self)

    async def start(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.pinging = asyncio.create_task(self.ping_forever())

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                await self.answer(writer, *message)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, writer, first, headers, body):
        request = headers.get("x-request-id", "")
        stamp = "%s.%s.%d" % (self.id, request, len(self.runs))
        if headers.get("x-expect-instance", self.id) != self.id:
            self.write(writer, "421 Misdirected Request", request, None, b"", not_run=True)
            return
        if self.running >= self.slots and self.waiting >= self.queue:
            self.write(writer, "503 Service Unavailable", request, None, b"", not_run=True)
            return
        ends = time.monotonic() + float(headers.get("x-deadline-ms", "3600000")) / 1000.0
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        try:
            self.running += 1
            left = ends - time.monotonic()
            if left <= 0:
                self.write(writer, "503 Service Unavailable", request, None, b"", not_run=True)
                return
            self.runs.append((self.rig.record.now(), request))
            self.rig.record.add("run", backend=self.id, service=self.service, request=request,
                                path=first.split()[1])
            work = self.work_s * self.slowness
            await asyncio.sleep(min(work, left))
        finally:
            self.running -= 1
            self.free.release()
        if work > left:
            self.write(writer, "504 Gateway Timeout", request, stamp, b"")
            return
        draw = random.Random(stamp)
        records = [bytes(draw.getrandbits(8) for _ in range(16)) for _ in range(self.records)]
        self.parts[stamp] = (request, records)
        self.write(writer, "200 OK", request, stamp, b"".join(records))

    def write(self, writer, status, request, stamp, body, not_run=False):
        lines = ["HTTP/1.1 " + status, "X-Request-Id: " + request, "Content-Length: %d" % len(body),
                 "X-Server-Load: %d,%d,%d" % (self.running, self.waiting, self.slots)]
        if stamp:
            lines.append("X-Server-Stamp: " + stamp)
        if not_run:
            lines.append("X-Not-Executed: 1")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    # -- its pings

    def ping_body(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "capacity": self.slots, "state": self.state, "warmupRemainingMs": 0, "sequence": self.sequence}

    async def ping_forever(self):
        while self.pings:
            await self.tell("heartbeat", self.ping_body())
            await asyncio.sleep(HEARTBEAT_MS / 1000.0 * random.uniform(0.9, 1.1))

    async def tell(self, what, body):
        """Sends a ping or the notice of the end to the control address used before, and after a failure to the next
        one. Returns the machine that confirmed it, or None."""
        for _ in range(3):
            machine = self.rig.core[self.preferred]
            status, _, _ = await call("%s:%d" % (machine.ip, CONTROL), "POST",
                                      "/api/instances/%s/%s" % (self.id, what), body, timeout=1.0)
            if status is not None and 200 <= status < 300:
                return machine
            self.preferred = (self.preferred + 1) % len(self.rig.core)
        return None

    async def stop(self):
        self.pings = False
        self.pinging.cancel()
        self.server.close()


def run_case(main):
    """Runs a case, ends its processes, prints its verdict and exits with its status."""
    try:
        verdict = asyncio.run(main())
    except CannotRun as reason:
        print("could not run:", reason)
        sys.exit(COULD_NOT_RUN)
    except Exception:
        # Whatever else goes wrong in the case itself says nothing about the rule.
        traceback.print_exc()
        sys.exit(COULD_NOT_RUN)
    sys.exit(verdict)
