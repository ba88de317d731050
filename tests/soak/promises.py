"""What must always hold, checked from what callers, backend servers and operators saw."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "faults"))
from platform_stand_in import records_of

RECORDS_KEPT = 4
# A change is in force at calm entries this long after it was acknowledged; the platform allows four seconds.
IN_FORCE_S = 4.0
# A backend server that leaves gets nothing new this long after its word was acknowledged: three seconds, and a
# request's own way.
DRAIN_S = 3.5
# A process is calm this long after the last fault that touched it or the core.
CALM_AFTER_S = 6.0
NOT_RUN = (408, 421, 429, 503)
# Names under which disturbances are noted, beside those of single processes.
CORE = "core"
EVERYTHING = "everything"


class Call:
    """One request of a caller and its end."""

    def __init__(self, request, kind, version, machine, life):
        self.request, self.kind, self.version = request, kind, version
        self.machine, self.life = machine, life
        self.sent_at = time.monotonic()
        self.ended_at, self.status, self.headers, self.body = None, None, {}, b""

    def end(self, status, headers, body):
        self.ended_at, self.status, self.headers, self.body = time.monotonic(), status, headers, body


class Promises:
    """Collects violations. Threads may note calls at any time; what needs all backend servers is checked at the end."""

    def __init__(self, services, least_share):
        self.services, self.least_share = services, least_share
        self.lock = threading.Lock()
        self.violations, self.calls = [], []
        # By entry and life: the greatest version seen there, and when its answer had come.
        self.seen = {}
        # What was disturbed, and when.
        self.disturbed = []
        # Versions acknowledged: number, and when.
        self.acknowledged = []

    def violate(self, what):
        with self.lock:
            self.violations.append(what)
        print("VIOLATION " + what, flush=True)

    def disturb(self, name):
        with self.lock:
            self.disturbed.append((time.monotonic(), name))

    def calm(self, name, since, until):
        """Whether neither the named process nor the core was disturbed in that time, or shortly before; with EVERYTHING,
        whether nothing at all was."""
        with self.lock:
            return not any(name == EVERYTHING or who in (name, CORE, EVERYTHING)
                           for at, who in self.disturbed if since - CALM_AFTER_S <= at <= until)

    # -- as each call ends

    def check(self, call):
        with self.lock:
            self.calls.append(call)
        if call.status == 200 and call.kind == "all":
            self.check_merged(call)
        elif call.status == 200:
            self.check_single(call)
        if call.kind == "bad" and call.status == 200:
            self.violate("%s: an invalid configuration is in force" % call.request)
        if call.kind == "version":
            self.check_version(call)

    def check_merged(self, call):
        stamps = [stamp.strip() for stamp in call.headers.get("X-Part-Stamps", "").split(",")]
        named = [stamp.split("-")[1] for stamp in stamps if stamp.endswith("." + call.request)]
        missing = int(call.headers.get("X-Missing-Parts", "0"))
        if len(named) != len(stamps) or len(set(named)) != len(named):
            self.violate("%s: parts of another request, or one twice: %s" % (call.request, stamps))
        elif len(named) + missing != len(self.services) or len(named) < self.least_share * len(self.services):
            self.violate("%s: %d parts and %d missing of %d" % (call.request, len(named), missing, len(self.services)))
        else:
            records = sorted((record for service in named for record in records_of(service)), reverse=True)
            if call.body != b"".join(records[:RECORDS_KEPT]):
                self.violate("%s: not the greatest records of the parts that it names" % call.request)

    def check_single(self, call):
        own = call.headers.get("X-Server-Stamp", "").endswith("." + call.request)
        if not own or not call.body.endswith(b"rest"):
            self.violate("%s: not the backend server's answer to this request" % call.request)

    def check_version(self, call):
        key = (call.machine, call.life)
        with self.lock:
            newest, known_at = self.seen.get(key, (0, 0.0))
            back = call.status == 200 and call.version < newest and known_at < call.sent_at
            if call.status == 200 and call.version > newest:
                self.seen[key] = (call.version, call.ended_at)
        if back:
            self.violate("%s: entry %d went back to version %d" % (call.request, call.machine, call.version))

    # -- what operators see

    def note_acknowledged(self, version):
        with self.lock:
            self.acknowledged.append((version, time.monotonic()))

    def newest_acknowledged(self, before):
        with self.lock:
            return max((version for version, at in self.acknowledged if at < before), default=0)

    def check_read(self, version, begun_at):
        newest = self.newest_acknowledged(begun_at)
        if version < newest:
            self.violate("version %d was read after %d had been acknowledged" % (version, newest))

    def check_in_force(self, call, newest_sent):
        """A call on the newest version's own route that found no such route."""
        with self.lock:
            at = dict(self.acknowledged).get(call.version)
        due = at is not None and call.sent_at > at + IN_FORCE_S and call.version == newest_sent
        if due and call.status == 404 and self.calm("entry-%d" % call.machine, call.sent_at, call.ended_at):
            self.violate("%s: version %d isn't in force at entry %d" % (call.request, call.version, call.machine))

    # -- at the end

    def check_runs(self, backends):
        """At most once, and what is said not to have run hasn't."""
        ran = {}
        for backend in backends:
            for request in list(backend.served):
                ran[request] = ran.get(request, 0) + 1
        for call in self.calls:
            times = ran.get(call.request, 0)
            if call.kind == "once" and times > 1:
                self.violate("%s: ran %d times" % (call.request, times))
            if call.status in NOT_RUN and times > 0:
                self.violate("%s: answered %d, but ran" % (call.request, call.status))

    def check_drained(self, backend, acknowledged_at):
        for at, request in list(backend.arrivals):
            if at > acknowledged_at + DRAIN_S and self.calm(EVERYTHING, acknowledged_at, at):
                self.violate("%s: sent to %s %.1f s after it left" % (request, backend.id, at - acknowledged_at))

    def check_planned_stop(self, machine, life, begun_at, backends):
        """A planned stop cuts nothing that the entry had passed on, whatever else is disturbed meanwhile."""
        ran = {request for backend in backends for request in list(backend.served)}
        for call in list(self.calls):
            mine = call.machine == machine and call.life == life and call.ended_at >= begun_at
            if mine and call.status is None and call.request in ran:
                self.violate("%s: cut by the planned stop of entry %d" % (call.request, machine))
