"""What must always hold, checked from what callers, backend servers and operators saw."""

import contextlib
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
# What the users state: an entry is in contact this long after it and the core were last disturbed, and handles requests
# by a change this long after its acknowledgement. While the core is disturbed, but most of it runs, it may take longer.
CONTACT_S = 4.0
APPLY_S = 3.0
UNSTABLE_CORE_S = 12.0
# A final answer by which version a request was handled: run on the route, or refused because there is no such route.
DECIDED = (200, 404)
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
        # What was disturbed: from when, until when (None while it lasts), and its name.
        self.disturbed = []
        # By version that was sent: the routes of single versions that it has.
        self.routes = {}
        # By entry and life: versions that a request was seen handled by, and when its answer had come.
        self.handled = {}
        # Versions acknowledged: number, and when.
        self.acknowledged = []

    def violate(self, what):
        with self.lock:
            self.violations.append(what)
        print("VIOLATION " + what, flush=True)

    def disturb(self, name):
        """Something that happened to it at this moment."""
        with self.lock:
            now = time.monotonic()
            self.disturbed.append([now, now, name])

    @contextlib.contextmanager
    def disturbance(self, name):
        """It is disturbed all the while."""
        mark = [time.monotonic(), None, name]
        with self.lock:
            self.disturbed.append(mark)
        try:
            yield
        finally:
            mark[1] = time.monotonic()

    def was_disturbed(self, names, since, until):
        with self.lock:
            return any(who in names and begun_at <= until and (ended_at is None or ended_at >= since)
                       for begun_at, ended_at, who in self.disturbed)

    def calm(self, name, since, until):
        """Whether neither the named process nor the core was disturbed in that time, or shortly before; with EVERYTHING,
        whether nothing at all was."""
        with self.lock:
            names = {who for _, _, who in self.disturbed} if name == EVERYTHING else {name, CORE, EVERYTHING}
        return not self.was_disturbed(names, since - CALM_AFTER_S, until)

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
        if call.kind == "route" and call.status in DECIDED:
            self.check_handled(call)

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

    # -- routes that changes add and drop

    def note_sent(self, version, routes):
        with self.lock:
            self.routes[version] = frozenset(routes)

    def versions_of(self, call):
        """The versions by which the call may have been handled as it was."""
        with self.lock:
            return {version for version, routes in self.routes.items()
                    if (call.version in routes) == (call.status == 200)}

    def due_version(self, call):
        """The version that the call's entry must know by the users' terms; 0 if they state none."""
        entry = "entry-%d" % call.machine
        # Twice the time for contact after most of the core was disturbed at once.
        if (self.was_disturbed({entry}, call.sent_at - CONTACT_S, call.ended_at)
                or self.was_disturbed({EVERYTHING}, call.sent_at - 2 * CONTACT_S, call.ended_at)):
            return 0
        if not self.was_disturbed({CORE}, call.sent_at - CONTACT_S, call.ended_at):
            return self.newest_acknowledged(call.sent_at - APPLY_S)
        acknowledged_before = call.sent_at - APPLY_S - UNSTABLE_CORE_S
        if self.was_disturbed({EVERYTHING}, acknowledged_before, call.ended_at):
            return 0
        return self.newest_acknowledged(acknowledged_before)

    def check_handled(self, call):
        explained_by = self.versions_of(call)
        due, newest = self.due_version(call), max(explained_by, default=0)
        what = "%s: entry %d answered %d on the route of version %d" % (call.request, call.machine, call.status, call.version)
        if newest < due:
            self.violate("%s, as only version %d or older allows; version %d is due" % (what, newest, due))
        with self.lock:
            before = self.handled.setdefault((call.machine, call.life), [])
            least = max((version for version, known_at in before if known_at < call.sent_at), default=0)
            if explained_by and min(explained_by) > max((version for version, _ in before), default=0):
                before.append((min(explained_by), call.ended_at))
        if newest < least:
            self.violate("%s, as only version %d or older allows; it went by version %d before" % (what, newest, least))

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

    def check_read_at(self, machine, version, begun_at):
        newest = self.newest_acknowledged(begun_at)
        if version < newest:
            self.violate("machine %d reads back version %d after %d had been acknowledged" % (machine, version, newest))

    # -- at the end

    def check_recovered(self, machine, version, status):
        """What an entry that runs answers on the newest route once all has been calm for the time that recovery may take."""
        if status != 200:
            self.violate("entry %d answers %s on the route of version %d after the time to recover" % (machine, status, version))

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
