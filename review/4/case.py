"""Invalid configs make the control processes exceed their memory: one at the process that leads, one at all, for good."""

import json
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))

from platform_stand_in_2 import Platform, call, configuration, run_case, trouble, unsafe_route  # noqa: E402

# The size of a body that the deployment's limits and the site file (config.body_bytes) name.
CONFIG_BYTES = 262144
MEMORY_MB = 260
# The second config gets as far as the replicated log: it has one route, whose split consists of zeros. The pages state no size for
# a config.
SECOND_BYTES = 600000
# For how long the config is read back after the operator has given up, longer than recoveryS.
READ_BACK_S = 20.0
# A process that ended is started again after a short delay.
RESTART_S = 0.5
# For how long the operator sends the config again, as long as it gets no clear answer, and its longest pause.
OPERATOR_S = 45.0
SECOND_OPERATOR_S = 10.0
SETTLE_S = 5.0
LONGEST_PAUSE_S = 2.0
# The rule: on half of the core, processes end by themselves three times.
ENDS = 3


class Provider:
    """Kills a control process that is over its memory, and starts it again."""

    def __init__(self, platform):
        self.platform, self.ends, self.peak_mb, self.stopped = platform, {}, {}, threading.Event()
        self.threads = [threading.Thread(target=self.watch, args=(machine,), daemon=True) for machine in platform.core()]
        for thread in self.threads:
            thread.start()

    def resident_mb(self, machine):
        try:
            with open("/proc/%d/statm" % machine.processes["control"].pid) as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20
        except OSError:
            return 0.0

    def watch(self, machine):
        while not self.stopped.is_set():
            used = self.resident_mb(machine)
            self.peak_mb[machine.number] = max(used, self.peak_mb.get(machine.number, 0.0))
            if used > MEMORY_MB:
                self.platform.record.add("control %d uses %.0f MB of %d MB" % (machine.number, used, MEMORY_MB))
                machine.kill("control")
                self.ends[machine.number] = self.ends.get(machine.number, 0) + 1
                self.stopped.wait(RESTART_S)
                if not self.stopped.is_set():
                    machine.start("control")
            self.stopped.wait(0.01)

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join(10.0)


def invalid_config():
    """A config that can't be read whole: its routes lack everything."""
    head, tail = '{"version":2,"routes":[', '],"services":[]}'
    count = (CONFIG_BYTES - len(head) - len(tail) + 1) // 3
    return (head + ",".join(["{}"] * count) + tail).encode()


def second_config():
    """A config with a split that can't be read; only the replicas themselves find that out."""
    route = unsafe_route("r-refunds", "/refunds/", "refunds")
    del route["service"]
    route["trafficSplit"] = [0] * (SECOND_BYTES // 2)
    return json.dumps(configuration(3, ["refunds"], [route]), separators=(",", ":")).encode()


def valid_config(size, version):
    """A valid config of this size, as far as whole routes fit."""
    def document(count):
        routes = [unsafe_route("r-%04d" % number, "/refunds/%04d/" % number, "refunds") for number in range(count)]
        return json.dumps(configuration(version, ["refunds"], routes), separators=(",", ":")).encode()

    size_of_one = len(document(11)) - len(document(10))
    return document((size - len(document(0))) // size_of_one - 1)


def read(platform):
    """Reads the config at one node after the other; returns its version, or None if it doesn't come."""
    until = time.monotonic() + READ_BACK_S
    while time.monotonic() < until:
        for machine in platform.core():
            address = machine.control
            for _ in range(3):
                status, headers, text = call(address, "GET", "/api/config/get", timeout=1.0)
                if status != 307:
                    break
                address = headers["Location"].split("/")[2]
            platform.record.add("operator reads at %s: %s" % (address, status))
            if status == 200:
                return json.loads(text)["version"]
        time.sleep(0.3)
    return None


def send(platform, body, for_s):
    """Sends the config to one node after the other, after growing pauses, until there is a clear answer."""
    record, until, pause_s, number = platform.record, time.monotonic() + for_s, 0.2, 0
    while time.monotonic() < until:
        address = platform.core()[number % 3].control
        number += 1
        status = None
        for _ in range(3):
            status, headers, _ = call(address, "POST", "/api/config/replace", body, {"Content-Type": "application/json"}, timeout=5.0)
            record.add("operator sends %d bytes to %s: %s" % (len(body), address, status))
            if status != 307:
                break
            address = headers["Location"].split("/")[2]
        if status is not None and status < 500 and status != 307:
            return status
        time.sleep(pause_s)
        pause_s = min(pause_s * 2, LONGEST_PAUSE_S)
    return None


def over_memory(provider, step):
    """What breaks the rule: half of the core ended three times."""
    ends = dict(provider.ends)
    struck = sorted(number for number, count in ends.items() if count >= ENDS)
    if len(struck) * 2 < len(provider.threads):
        return []
    return ["Fault, %s: control processes of machines %s of %d ended by themselves %s times, over %d MB" % (
        step, struck, len(provider.threads), [ends[number] for number in struck], MEMORY_MB)]


def case(record):
    with Platform(record, entries=3) as platform:
        platform.put(configuration(1, ["refunds"], [unsafe_route("r-refunds", "/refunds/", "refunds")]))
        platform.await_ready()
        time.sleep(2.0)
        provider = Provider(platform)
        steps = (("first", CONFIG_BYTES, 2, invalid_config, OPERATOR_S), ("second", SECOND_BYTES, 3, second_config, SECOND_OPERATOR_S))
        broken = []
        for step, size, number, invalid, for_s in steps:
            body = invalid() if trouble() else valid_config(size, number)
            status = send(platform, body, for_s)
            time.sleep(SETTLE_S)
            version = read(platform)
            text = "%s config, %d bytes: answer %s; ends by machine %s, peak MB %s; then version %s is read back" % (
                step, len(body), status, provider.ends, {number: round(peak) for number, peak in provider.peak_mb.items()}, version)
            print(text)
            record.add(text)
            broken += over_memory(provider, step)
            if version is None:
                broken.append("CONFIG, %s: the confirmed config isn't read back in %.0f s, from %.0f s after the operator gave up" % (
                    step, READ_BACK_S, SETTLE_S))
            provider.ends = {}
        provider.stop()
        if not all(machine.running("entry") for machine in platform.machines):
            broken.append("entries ended by themselves")
        return broken


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
