"""Routes whose hosts differ in their port or their case: on a stand-in of the users' platform, in real processes."""

import json
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from cluster import eventually
from platform_stand_in import Platform, call, configuration

# Within this a confirmed configuration is in force.
APPLIED_S = 3.0
REQUESTS = 8


def route(name, host, service, prefix="/find/", **more):
    return dict(configuration(1)["routes"][1], name=name, host=host, service=service, pathPrefix=prefix, **more)


def with_routes(version, *routes):
    return dict(configuration(version, shards=3), routes=list(routes))


class RouteHostsTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform(entries=4, zones=2)
        self.platform.__enter__()
        self.addCleanup(self.platform.__exit__)
        self.backends = {service: self.platform.add_backend(service) for service in ("s0", "s1", "s2")}
        self.sent = 0

    def put(self, document):
        self.assertEqual(self.platform.put(document), 200)
        self.assertEqual(self.platform.read()["routes"], sorted(document["routes"], key=lambda item: item["name"]))
        time.sleep(APPLIED_S)

    def served_by(self, host, path="/find/x"):
        """The status and the service that ran the requests, through each entry."""
        found = set()
        for machine in self.platform.machines[:self.platform.entries]:
            self.sent += 1
            request = "r-%d" % self.sent
            status = self.platform.request(machine, path, request, host=host)[0]
            ran = tuple(service for service, backend in self.backends.items() if request in backend.served)
            found.add((status,) + ran)
        return found

    def warm_up(self, host, service):
        eventually("requests are served", lambda: self.served_by(host) == {(200, service)})

    def test_each_port_of_a_host_has_its_own_routes(self):
        self.put(with_routes(2, route("r-b", "desk.example:8443", "s0"), route("r-a", "desk.example:9443", "s1"),
                             route("r-c", "desk.example:9443", "s2", "/find/deep/")))
        self.warm_up("desk.example:8443", "s0")
        for _ in range(REQUESTS):
            self.assertEqual(self.served_by("desk.example:8443"), {(200, "s0")})
            self.assertEqual(self.served_by("Desk.Example:9443"), {(200, "s1")})
            self.assertEqual(self.served_by("desk.example:8443", "/find/deep/x"), {(200, "s0")})
            self.assertEqual(self.served_by("desk.example:9443", "/find/deep/x"), {(200, "s2")})
            self.assertEqual(self.served_by("desk.example:7777"), {(404,)})
            self.assertEqual(self.served_by("desk.example"), {(404,)})

    def test_a_host_without_a_port_serves_the_ports_without_routes(self):
        self.put(with_routes(2, route("r-a", "desk.example", "s0"), route("r-b", "desk.example:8443", "s1")))
        self.warm_up("desk.example", "s0")
        for _ in range(REQUESTS):
            self.assertEqual(self.served_by("desk.example"), {(200, "s0")})
            self.assertEqual(self.served_by("desk.example:7777"), {(200, "s0")})
            self.assertEqual(self.served_by("desk.example:8443"), {(200, "s1")})

    # Also where requests are passed on to the region that their route names.
    def test_requests_follow_a_route_to_another_port(self):
        for version, port, other in ((2, 8443, 9443), (3, 9443, 8443)):
            self.put(with_routes(version, route("r-a", "desk.example:%d" % port, "s0", allowedRegions=["region-1"])))
            self.warm_up("desk.example:%d" % port, "s0")
            for _ in range(REQUESTS):
                self.assertEqual(self.served_by("desk.example:%d" % port), {(200, "s0")})
                self.assertEqual(self.served_by("desk.example:%d" % other), {(404,)})

    # Guards against a confirmed configuration of which one route is never in force.
    def test_hosts_that_are_the_same_for_requests_are_refused(self):
        self.put(with_routes(2, route("r-a", "desk.example", "s0")))
        confirmed = self.platform.read()
        for same in ("Desk.Example", "desk.example:"):
            refused = with_routes(3, route("r-a", "desk.example", "s0"), route("r-b", same, "s1"))
            self.assertEqual(self.platform.put(refused), 400)
        self.assertEqual(self.platform.read(), confirmed)
        self.preview("Desk.Example", 400)
        self.preview("other.example", 200)

    def preview(self, host, wanted):
        """What the product's own interface says of a change that adds a route with this host."""
        found = [json.loads(body) for status, _, body in
                 (call(machine.ip + ":7385", "GET", "/configuration") for machine in self.platform.core()) if status == 200]
        self.assertEqual(len(found), 1)
        routes = found[0]["configuration"]["routes"]
        added = dict(routes[0], name="r-b", host=host)
        change = {"id": "c-" + host, "base_revision": found[0]["revision"], "kind": "patch", "body": {"upsert": {"routes": [added]}}}
        answers = {call(machine.ip + ":7385", "POST", "/changes/preview", change)[0] for machine in self.platform.core()}
        self.assertEqual(answers, {wanted, 421})


if __name__ == "__main__":
    unittest.main(verbosity=2)
