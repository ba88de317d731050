"""Control replicas that are replaced one after the other while entries are out of contact, and changes all the while."""

import random
import signal
import threading
import time

from platform_stand_in import call
from promises import CORE

# How long before the first replacement an entry may fall out of contact. Links to it are closed within that time, so that
# messages that wait in their buffers don't tell it of later replicas.
LONGEST_ABSENCE_BEFORE_S = 16.0
SUCCESSOR_AFTER_S = (0.3, 2.0)
PAUSE_S = (0.0, 4.0)
# A machine counts as lost for so long after its return, and the one that a new machine replaces for so long after its start.
CATCH_UP_S = 4.0
CHANGE_EVERY_S = (0.5, 6.0)
# Routes of earlier versions that a change keeps at most.
ROUTES_KEPT = 4
# A successor votes within this time.
VOTES_WITHIN_S = 30.0
WAYS = ("kill", "end", "silence")


class CoreBudget:
    """How many control replicas are lost at once: never more than tolerated."""

    def __init__(self, tolerated):
        self.tolerated, self.lock = tolerated, threading.Lock()
        self.lost, self.returned = 0, []

    def lose(self):
        with self.lock:
            now = time.monotonic()
            self.returned = [at for at in self.returned if now < at + CATCH_UP_S]
            if self.lost + len(self.returned) >= self.tolerated:
                return False
            self.lost += 1
            return True

    def regain(self):
        with self.lock:
            self.lost -= 1
            self.returned.append(time.monotonic())

    def all_returned(self, count):
        with self.lock:
            self.returned += [time.monotonic()] * count


class Replacements:
    """Series of replacements, each of up to all control replicas, and the absences and changes beside them."""

    def __init__(self, soak, seed):
        self.soak, self.platform, self.promises = soak, soak.platform, soak.promises
        self.draw = random.Random("%d-replacements" % seed)
        self.over = threading.Event()
        self.done, self.absences = 0, []
        self.log_at = time.monotonic()

    def log(self, what):
        print("%7.1f %s" % (time.monotonic() - self.log_at, what), flush=True)

    # -- the series

    def run(self, until):
        while time.monotonic() < until:
            self.one_series()
        self.over.set()
        for absence in self.absences:
            absence.join()

    def one_series(self):
        core = self.platform.core()
        count = self.draw.choice([len(core)] * 3 + list(range(1, len(core) + 1)))
        outside = [machine for machine in self.soak.present() if not machine.in_core]
        absent = self.draw.sample(outside, self.draw.randint(1, max(1, len(outside) - 1))) if outside else []
        lead = self.draw.uniform(0.0, LONGEST_ABSENCE_BEFORE_S)
        first_at, ends_at = time.monotonic() + lead, self.done + count
        self.log("replaces %d control replicas in %.1f s; out of contact meanwhile: %s"
                 % (count, lead, [machine.number for machine in absent]))
        for machine in absent:
            seed = self.draw.random()
            absence = threading.Thread(target=self.be_absent, args=(machine, seed, first_at, ends_at), daemon=True)
            absence.start()
            self.absences.append(absence)
        time.sleep(max(0.0, first_at - time.monotonic()))
        for machine in self.draw.sample(core, count):
            if not self.replace(machine):
                break
            time.sleep(self.draw.uniform(*PAUSE_S))
        self.done = ends_at

    def replace(self, machine):
        names = ["control-%d" % machine.number, "entry-%d" % machine.number, "disk"]
        while not self.soak.take_all(names):
            time.sleep(0.05)
        while not self.soak.budget.lose():
            time.sleep(0.05)
        way, began_at = self.draw.choice(WAYS), time.monotonic()
        with self.promises.disturbance(CORE):
            self.leave(machine, way)
            time.sleep(self.draw.uniform(*SUCCESSOR_AFTER_S))
            added = self.platform.succeed(machine)
            self.promises.disturb("entry-%d" % added.number)
        started_at = time.monotonic()
        votes = self.await_vote(added, started_at + VOTES_WITHIN_S)
        self.log("machine %d gone (%s) for %.1f s; machine %d %s after %.1f s"
                 % (machine.number, way, time.monotonic() - began_at, added.number,
                    "votes" if votes else "doesn't vote", time.monotonic() - started_at))
        if not votes:
            self.promises.violate("the successor %d of control replica %d doesn't vote within %.0f s"
                                  % (added.number, machine.number, VOTES_WITHIN_S))
        self.soak.budget.regain()
        self.soak.give_back("disk")
        self.done += 1
        return votes

    def leave(self, machine, way):
        """Goes for good: killed, ended in order, or silent until the end of the run."""
        machine.in_core = False
        self.soak.gone.add(machine.number)
        entry, control = machine.processes["entry"], machine.processes["control"]
        if way == "kill":
            entry.kill()
            control.kill()
        elif way == "silence":
            entry.freeze()
            control.freeze()
        else:
            control.signal(signal.SIGTERM)
            self.soak.stop_entry(machine)
            if control.handle.wait(30) != 0:
                self.promises.violate("control replica %d didn't end well when told to stop" % machine.number)

    def await_vote(self, added, until):
        name = added.ip + ":7395"
        while time.monotonic() < until:
            voters = self.platform.voters()
            if len(voters) == 2 and all(name in log for log in voters):
                return True
            time.sleep(0.1)
        return False

    # -- entries out of contact

    def be_absent(self, machine, seed, first_at, ends_at):
        """From some moment before the first replacement, or between two, until some are done."""
        draw, name = random.Random(seed), "entry-%d" % machine.number
        time.sleep(max(0.0, first_at - time.monotonic() - draw.uniform(0.0, LONGEST_ABSENCE_BEFORE_S)))
        until_done = draw.choice([ends_at, ends_at, draw.randint(self.done + 1, max(self.done + 1, ends_at))])
        while not self.soak.take(name):
            time.sleep(0.05)
        # A process that hasn't begun to answer has no handler of SIGHUP yet.
        self.soak.await_answer(machine)
        began_at, process, cut = time.monotonic(), machine.processes["entry"], draw.random() < 0.5
        with self.promises.disturbance(name):
            if cut:
                process.cut()
            else:
                process.freeze()
            while self.done < until_done and not self.over.is_set():
                time.sleep(0.05)
            time.sleep(draw.uniform(0.0, 3.0))
            reload = draw.random() < 0.5
            if reload:
                machine.write_settings("entry")
            if cut:
                process.join()
            else:
                process.thaw()
            if reload:
                machine.reload("entry")
        self.log("entry %d is back, %s for %.1f s%s" % (machine.number, "cut off" if cut else "stopped",
                                                        time.monotonic() - began_at, ", with new settings" if reload else ""))
        self.soak.give_back(name)

    # -- changes

    def change_for_ever(self, seed):
        draw = random.Random("%d-changes" % seed)
        while not self.over.is_set():
            self.soak.change_routes(draw)
            time.sleep(draw.uniform(*CHANGE_EVERY_S))

    # -- reads

    def read_everywhere(self):
        """Each control replica's own word, or the leader's where it points to it."""
        for machine in self.platform.core():
            begun_at, address = time.monotonic(), machine.control
            status, headers, body = call(address, "GET", "/api/config/get", timeout=2.0)
            if status == 307:
                status, headers, body = call(headers["Location"].split("/")[2], "GET", "/api/config/get", timeout=2.0)
            if status == 200:
                self.promises.check_read_at(machine.number, self.soak.version_in(body), begun_at)
