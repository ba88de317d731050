"""Of two hosts that differ in their port, one gets the answers of the other's service."""

import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))

from platform_stand_in_2 import Backend, Platform, call, configuration, run_case, trouble, unsafe_route  # noqa: E402

REQUESTS = 40
# configApplyMs of the deployment, and a margin: the rule counts requests sent later than this.
APPLIED_S = 3.0 + 1.0


def hosts():
    return ("desk.example:8443", "desk.example:9443") if trouble() else ("desk-a.example:8443", "desk-b.example:9443")


def routes(changed):
    first, second = hosts()
    listed = [dict(unsafe_route("r-clubs", "/find/", "clubs"), type="safe", host=first)]
    if changed:
        listed.append(dict(unsafe_route("r-judges", "/find/", "judges"), type="safe", host=second))
    return listed


def case(record):
    with Platform(record, entries=3) as platform:
        backends = {service: [Backend(platform, service, zone, capacity=4, queue=16) for zone in ("zone-1", "zone-2")]
                    for service in ("clubs", "judges")}
        platform.put(configuration(1, ["clubs", "judges"], routes(False)))
        platform.await_ready()
        time.sleep(3.0)
        # The planned work: a route is added, for another host.
        platform.put(configuration(2, ["clubs", "judges"], routes(True)))
        time.sleep(APPLIED_S)
        sent = {}
        for number in range(REQUESTS):
            machine = platform.machines[number % len(platform.machines)]
            service, host = random.choice(list(zip(("clubs", "judges"), hosts())))
            request = "%016x" % random.getrandbits(64)
            sent[request] = (service, host)
            status, fields, body = call(machine.front, "GET", "/find/x", headers={
                "Host": host, "X-Request-Id": request, "X-Deadline-Ms": "2000"})
            record.add("requester sends %s for host %s to entry %d and gets %s, stamp %s, %r" % (
                request, host, machine.number, status, fields.get("X-Server-Stamp"), body))
        broken = []
        for service, listed in backends.items():
            for backend in listed:
                for request in backend.runs:
                    wanted, host = sent.get(request, (None, None))
                    if wanted != service:
                        broken.append("ROUTE %s for host %s ran at a backend of %s; its route names %s" % (request, host, service, wanted))
        print("requests %d" % len(sent))
        if not platform.check_alive():
            broken.append("processes ended by themselves")
        return broken


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
