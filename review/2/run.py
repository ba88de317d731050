"""MIXED: a route with a longer path prefix and a greater topK is added and removed while requests run."""

import asyncio
import itertools
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from rig import BROKEN, FRONT, GROWN_BOUNDS, HELD, TROUBLE, Backend, Rig, exchange, run_case

# The grown site has 65 machines and 54 connections for each backend; here are 6 machines.
CONNECTIONS = 6
SHARDS, TOP_SMALL, TOP_LARGE, LEAST_SHARE = 8, 5, 50, 0.75
# Storms of changes, as the site file has them among its troubles: 4 s long, a change each 0.33 s.
STORMS, STORM_S, GAP_S, PAUSE_S = 5, 4.0, 0.33, 2.0
REQUESTERS = 12
HOST, SMALL, LARGE = "search.example", "/cards/", "/cards/full/"


def config(version, with_large):
    services = ["shard-%02d" % i for i in range(SHARDS)]

    def route(name, prefix, top):
        return {"name": name, "host": HOST, "pathPrefix": prefix, "type": "safe", "timeoutMs": 2000,
                "targetLatencyMs": 300, "priority": 1, "fanoutServices": services, "maxAttempts": 2, "topK": top,
                "minSuccessShare": LEAST_SHARE}

    routes = [route("r-small", SMALL, TOP_SMALL)]
    if with_large:
        routes.append(route("r-large", LARGE, TOP_LARGE))
    return {"version": version, "routes": routes,
            "services": [{"name": name, "healthCheckPath": "/health", "maxConnections": CONNECTIONS, "protocol": "h1",
                          "tls": False} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


def fault_of(rig, request, headers, body):
    """What is wrong with a success, by the words of the rule; None if nothing is. Both values of topK are accepted."""
    stamps = [text.strip() for text in headers.get("x-part-stamps", "").split(",") if text.strip()]
    parts, services = [], []
    for stamp in stamps:
        owner = [backend for backend in rig.backends if stamp in backend.parts]
        if not owner or owner[0].parts[stamp][0] != request:
            return "a digest that is no answer to this request"
        services.append(owner[0].service)
        parts.append(owner[0].parts[stamp][1])
    if len(set(services)) != len(services):
        return "two digests of one service"
    if len(stamps) + int(headers.get("x-missing-parts", "0")) != SHARDS or len(stamps) < LEAST_SHARE * SHARDS:
        return "the parts and the missing ones are not the set"
    greatest = sorted((record for part in parts for record in part), reverse=True)
    if body in (b"".join(greatest[:TOP_SMALL]), b"".join(greatest[:TOP_LARGE])):
        return None
    return "%d records, neither the greatest %d nor the greatest %d of the %d parts" % (
        len(body) // 16, TOP_SMALL, TOP_LARGE, len(parts))


async def requester(rig, machine, numbers, results, stop):
    reader, writer = await asyncio.open_connection(machine.ip, FRONT)
    while not stop.is_set():
        request = "q%08d" % next(numbers)
        rig.record.add("sent", request=request, machine=machine.number)
        status, headers, body = await exchange(reader, writer, "GET", LARGE + "2f", {
            "Host": HOST, "X-Request-Id": request, "X-Deadline-Ms": "2000"})
        results["all"] += 1
        fault = None
        if status == 200:
            results["ok"] += 1
            fault = fault_of(rig, request, headers, body)
            if fault:
                results["bad"].append((request, fault))
        rig.record.add("answered", request=request, status=status, records=len(body) // 16,
                       fault=(fault or "none").replace(" ", "_"))
        if status is None:
            writer.close()
            reader, writer = await asyncio.open_connection(machine.ip, FRONT)
        await asyncio.sleep(0.03)
    writer.close()


async def main():
    rig = Rig(__file__, more=("zone-1", "zone-2", "zone-3"), bounds=GROWN_BOUNDS)
    try:
        rig.start()
        version = itertools.count(11)
        status, _ = await rig.order("POST", "/api/config/replace", config(next(version), True))
        assert status == 200, status
        port = itertools.count(9001)
        for i in range(SHARDS):
            # As depot-desk of the site: two backends, in two of the three zones.
            for zone in ("zone-1", "zone-2"):
                address = "%s.%d:%d" % (rig.network, 100 + i, next(port))
                await Backend(rig, "shard-%02d" % i, zone, address, work_s=0.008, records=60).start()
        await rig.all_ready()
        await asyncio.sleep(4.0)
        results, stop, numbers = {"all": 0, "ok": 0, "bad": []}, asyncio.Event(), itertools.count(1)
        loads = [asyncio.create_task(requester(rig, rig.machines[(2, 5)[i % 2]], numbers, results, stop))
                 for i in range(REQUESTERS)]
        await asyncio.sleep(2.0)
        changes = 0
        for _ in range(STORMS):
            for _ in range(round(STORM_S / GAP_S)):
                await asyncio.sleep(GAP_S)
                if TROUBLE:
                    changes += 1
                    number = next(version)
                    status, _ = await rig.order("POST", "/api/config/replace", config(number, number % 2 == 1))
                    rig.record.add("config", version=number, with_large=number % 2 == 1, status=status)
            await asyncio.sleep(PAUSE_S)
        stop.set()
        await asyncio.gather(*loads)
        print("%d changes, %d requests, %d answered with 200, %d of these wrong" % (
            changes, results["all"], results["ok"], len(results["bad"])))
        for request, fault in results["bad"][:5]:
            print("MIXED", request, fault)
        return BROKEN if results["bad"] else HELD
    finally:
        rig.close()


run_case(main)
