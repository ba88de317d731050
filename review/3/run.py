"""DRAIN: a backend deregisters and is confirmed, all processes of the core are killed and come back, and a ping that the
backend had sent before arrives late."""

import asyncio
import itertools
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from rig import BROKEN, CONTROL, FRONT, HELD, TROUBLE, Backend, Rig, call, exchange, run_case

HOST, SERVICE, BACKENDS = "search.example", "desk", 4
# After the ping was sent: the deregistration, the kill, the start of the killed processes, and the ping's arrival.
LEAVE_S, KILL_S, START_S, PING_S = 0.5, 1.0, 1.8, 3.5
# The backend keeps serving for drainMs after the confirmation and for some seconds more.
SERVES_S = 12.0


def config():
    return {"version": 7, "routes": [
                {"name": "r-desk", "host": HOST, "pathPrefix": "/desk/", "type": "safe", "timeoutMs": 2000,
                 "targetLatencyMs": 300, "priority": 1, "service": SERVICE, "maxAttempts": 2}],
            "services": [{"name": SERVICE, "healthCheckPath": "/health", "maxConnections": 120, "protocol": "h1",
                          "tls": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


async def requester(rig, machine, numbers, stop):
    writer = None
    while not stop.is_set():
        request = "q%08d" % next(numbers)
        status = None
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(machine.ip, FRONT)
            rig.record.add("sent", request=request, machine=machine.number)
            status, _, _ = await asyncio.wait_for(exchange(reader, writer, "GET", "/desk/2f", {
                "Host": HOST, "X-Request-Id": request, "X-Deadline-Ms": "2000"}), 3.0)
        except (OSError, asyncio.TimeoutError):
            pass
        rig.record.add("answered", request=request, machine=machine.number, status=status)
        if status is None and writer is not None:
            writer.close()
            writer = None
        await asyncio.sleep(0.05)


async def main():
    rig = Rig(__file__, more=("zone-1", "zone-2"))
    try:
        rig.start()
        assert (await rig.order("POST", "/api/config/replace", config()))[0] == 200
        zones = itertools.cycle(("zone-1", "zone-2", "zone-3"))
        for i in range(BACKENDS):
            await Backend(rig, SERVICE, next(zones), "%s.%d:%d" % (rig.network, 100 + i, 9001 + i), work_s=0.02).start()
        await rig.all_ready()
        stop, numbers = asyncio.Event(), itertools.count(1)
        loads = [asyncio.create_task(requester(rig, machine, numbers, stop)) for machine in rig.machines * 2]
        await asyncio.sleep(rig.bounds["contactMs"] / 1000.0 + 1.0)

        leaver = random.choice(rig.backends)
        late = random.choice(rig.core)
        begun = rig.record.now()

        async def at(second):
            await asyncio.sleep(max(0.0, begun + second - rig.record.now()))

        # A ping of the backend, which its network delivers seconds later. The backend has given up waiting for it and
        # has pinged the next address since.
        old_ping = leaver.ping_body()
        await leaver.tell("heartbeat", leaver.ping_body())
        await at(LEAVE_S)
        leaver.pings = False
        leaver.pinging.cancel()
        confirmed_by = await leaver.tell("deregister", {})
        assert confirmed_by is not None
        confirmed = rig.record.now()
        rig.record.add("deregistration_confirmed", backend=leaver.id, machine=confirmed_by.number)
        await at(KILL_S)
        if TROUBLE:
            for machine in rig.core:
                machine.signal(signal.SIGKILL)
            for machine in rig.core:
                machine.kill()
            await at(START_S)
            for machine in rig.core:
                machine.start()
        started = rig.record.now()
        await at(PING_S)
        status, _, _ = await call("%s:%d" % (late.ip, CONTROL), "POST", "/api/instances/%s/heartbeat" % leaver.id,
                                  old_ping, timeout=3.0)
        rig.record.add("late_ping", backend=leaver.id, machine=late.number, sequence=old_ping["sequence"],
                       status=status)
        await asyncio.sleep(confirmed + SERVES_S - rig.record.now())
        await leaver.stop()
        stop.set()
        await asyncio.gather(*loads)

        # Machines are in touch again contactMs after the last start; a requester's second is added to that.
        in_touch = started + rig.bounds["contactMs"] / 1000.0 + 1.0
        due = confirmed + rig.bounds["drainMs"] / 1000.0
        broken = [(at_s, request) for at_s, request in leaver.runs if at_s > max(due, in_touch)]
        print("%s: confirmed at %.2f s, due at %.2f s, all in touch from %.2f s; it ran %d requests after that" % (
            leaver.id, confirmed, due, in_touch, len(broken)))
        for at_s, request in broken[:5]:
            print("DRAIN %s ran on %s at %.2f s" % (request, leaver.id, at_s))
        return BROKEN if broken else HELD
    finally:
        rig.close()


run_case(main)
