"""Each promise of the soak, broken on purpose: a check that can't fail would prove nothing."""

import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from promises import (APPLY_S, CONTACT_S, CORE, DRAIN_S, EVERYTHING, IN_FORCE_S, UNSTABLE_CORE_S, Call,
                      Promises)
from platform_stand_in import records_of

SERVICES = ["s0", "s1", "s2"]


class StandIn:
    def __init__(self, served=(), arrivals=()):
        self.id, self.served, self.arrivals = "i-s0-1", list(served), list(arrivals)


def merged(request, services, missing, body=None):
    call = Call(request, "all", 0, 1, 0)
    records = sorted((record for service in services for record in records_of(service)), reverse=True)
    stamps = ", ".join("stamp.i-%s-1.%s" % (service, request) for service in services)
    call.end(200, {"X-Part-Stamps": stamps, "X-Missing-Parts": str(missing)},
             b"".join(records[:4]) if body is None else body)
    return call


class PromisesTest(unittest.TestCase):
    def setUp(self):
        self.promises = Promises(SERVICES, 0.5)

    def violations(self):
        return len(self.promises.violations)

    def test_what_is_right_violates_nothing(self):
        self.promises.check(merged("r", SERVICES, 0))
        self.promises.check(merged("q", SERVICES[:2], 1))
        self.promises.check_runs([StandIn(["r"]), StandIn(["r", "q"])])
        self.assertEqual(self.violations(), 0)

    def test_merged_answers(self):
        foreign = merged("r", SERVICES, 0)
        foreign.headers["X-Part-Stamps"] = foreign.headers["X-Part-Stamps"].replace("s1-1.r", "s1-1.other")
        wrong = [foreign, merged("r", ["s0", "s0", "s1"], 0), merged("r", SERVICES[:2], 0), merged("r", SERVICES[:1], 2),
                 merged("r", SERVICES, 0, b"x" * 64)]
        for count, call in enumerate(wrong, 1):
            self.promises.check(call)
            self.assertEqual(self.violations(), count)

    def test_single_answers(self):
        for headers, body in (({"X-Server-Stamp": "stamp.i-s0-1.other"}, b"rest"),
                              ({"X-Server-Stamp": "stamp.i-s0-1.r"}, b"res")):
            call = Call("r", "one", 0, 1, 0)
            call.end(200, headers, body)
            self.promises.check(call)
        self.assertEqual(self.violations(), 2)

    def test_at_most_once_and_not_run_is_true(self):
        for kind, status in (("once", None), ("one", 503), ("all", 503)):
            call = Call(kind + str(status), kind, 0, 1, 0)
            call.end(status, {}, b"")
            self.promises.check(call)
        self.promises.check_runs([StandIn(["onceNone", "one503"]), StandIn(["onceNone", "all503"])])
        self.assertEqual(self.violations(), 3)

    def version_call(self, version, status, life=0):
        call = Call("v", "version", version, 1, life)
        call.end(status, {"X-Server-Stamp": "stamp.i-s2-1.v"}, b"rest")
        return call

    def test_a_version_that_goes_back(self):
        self.promises.check(self.version_call(5, 200))
        time.sleep(0.01)
        self.promises.check(self.version_call(4, 200, life=1))
        self.assertEqual(self.violations(), 0)
        self.promises.check(self.version_call(4, 200))
        self.assertEqual(self.violations(), 1)

    def test_a_version_that_isnt_in_force(self):
        self.promises.acknowledged.append((5, time.monotonic() - IN_FORCE_S - 1.0))
        self.promises.check_in_force(self.version_call(5, 404), 6)
        self.assertEqual(self.violations(), 0)
        self.promises.check_in_force(self.version_call(5, 404), 5)
        self.assertEqual(self.violations(), 1)
        self.promises.disturb(CORE)
        self.promises.check_in_force(self.version_call(5, 404), 5)
        self.assertEqual(self.violations(), 1)

    def route_call(self, version, status, life=0):
        call = Call("w", "route", version, 1, life)
        call.end(status, {"X-Server-Stamp": "stamp.i-s2-1.w"}, b"rest")
        return call

    def three_versions(self, since_s):
        """Each adds a route; the third drops the first's. The third was acknowledged that long ago."""
        for version, routes in ((1, {1}), (2, {1, 2}), (3, {2, 3})):
            self.promises.note_sent(version, routes)
        self.promises.acknowledged += [(2, time.monotonic() - 60.0), (3, time.monotonic() - since_s)]

    def check_all(self, *calls):
        for call in calls:
            self.promises.check(call)
        return self.violations()

    def disturbed(self, name, ago_s):
        at = time.monotonic() - ago_s
        self.promises.disturbed.append([at, at, name])

    def test_requests_handled_as_only_an_older_version_allows(self):
        self.three_versions(APPLY_S + 0.5)
        self.assertEqual(self.check_all(self.route_call(3, 200), self.route_call(2, 200, 1), self.route_call(1, 404, 2)), 0)
        self.assertEqual(self.check_all(self.route_call(3, 404, 3)), 1)
        self.assertEqual(self.check_all(self.route_call(1, 200, 4)), 2)
        self.assertEqual(self.check_all(self.route_call(2, 404, 5)), 3)

    def test_a_change_that_may_not_be_known_yet(self):
        self.three_versions(APPLY_S - 0.5)
        self.assertEqual(self.check_all(self.route_call(3, 404), self.route_call(1, 200)), 0)
        self.assertEqual(self.check_all(self.route_call(2, 404, 1)), 1)

    def test_an_entry_in_contact_again_that_knows_no_newer_version(self):
        self.three_versions(APPLY_S + 0.5)
        self.disturbed("entry-1", CONTACT_S - 0.5)
        self.assertEqual(self.check_all(self.route_call(3, 404)), 0)
        self.promises.disturbed.clear()
        self.disturbed("entry-1", CONTACT_S + 0.5)
        self.disturbed("entry-2", 0.0)
        self.assertEqual(self.check_all(self.route_call(3, 404, 1)), 1)
        with self.promises.disturbance("entry-1"):
            self.assertEqual(self.check_all(self.route_call(3, 404, 2)), 1)

    def test_an_entry_that_knows_no_newer_version_while_the_core_is_disturbed(self):
        self.three_versions(APPLY_S + UNSTABLE_CORE_S - 0.5)
        with self.promises.disturbance(CORE):
            self.assertEqual(self.check_all(self.route_call(3, 404)), 0)
        self.promises.acknowledged[-1] = (3, time.monotonic() - APPLY_S - UNSTABLE_CORE_S - 0.5)
        with self.promises.disturbance(CORE):
            self.assertEqual(self.check_all(self.route_call(3, 404, 1)), 1)
        self.disturbed(EVERYTHING, 2 * CONTACT_S + 0.5)
        self.assertEqual(self.check_all(self.route_call(3, 404, 2)), 1)
        self.promises.disturbed.clear()
        self.disturbed(EVERYTHING, 2 * CONTACT_S + 0.5)
        self.assertEqual(self.check_all(self.route_call(3, 404, 3)), 2)

    def test_an_entry_that_goes_back_to_a_version_without_a_route(self):
        self.three_versions(0.0)
        self.check_all(self.route_call(3, 200))
        time.sleep(0.01)
        self.assertEqual(self.check_all(self.route_call(3, 404, life=1), self.route_call(1, 200, life=1)), 0)
        self.assertEqual(self.check_all(self.route_call(3, 404)), 1)
        self.assertEqual(self.check_all(self.route_call(1, 200)), 2)

    def test_an_older_version_read_back_at_one_machine(self):
        self.promises.note_acknowledged(7)
        time.sleep(0.01)
        self.promises.check_read_at(1, 7, time.monotonic())
        self.assertEqual(self.violations(), 0)
        self.promises.check_read_at(1, 6, time.monotonic())
        self.assertEqual(self.violations(), 1)

    def test_an_entry_that_lacks_the_newest_route_after_the_time_to_recover(self):
        self.promises.check_recovered(1, 7, 200)
        self.assertEqual(self.violations(), 0)
        for count, status in enumerate((404, 503, None), 1):
            self.promises.check_recovered(1, 7, status)
            self.assertEqual(self.violations(), count)

    def test_an_invalid_configuration_in_force(self):
        call = Call("b", "bad", 0, 1, 0)
        call.end(200, {"X-Server-Stamp": "stamp.i-s0-1.b"}, b"rest")
        self.promises.check(call)
        self.assertEqual(self.violations(), 1)

    def test_an_older_version_read_back(self):
        self.promises.note_acknowledged(7)
        time.sleep(0.01)
        self.promises.check_read(7, time.monotonic())
        self.assertEqual(self.violations(), 0)
        self.promises.check_read(6, time.monotonic())
        self.assertEqual(self.violations(), 1)

    def test_work_for_a_backend_server_that_left(self):
        now = time.monotonic()
        self.promises.check_drained(StandIn(arrivals=[(now + DRAIN_S - 0.5, "a")]), now)
        self.assertEqual(self.violations(), 0)
        self.promises.check_drained(StandIn(arrivals=[(now + DRAIN_S + 0.5, "b")]), now)
        self.assertEqual(self.violations(), 1)

    def test_a_planned_stop_that_cuts(self):
        begun_at = time.monotonic()
        call = Call("c", "all", 0, 1, 0)
        call.end(None, {}, b"")
        self.promises.check(call)
        self.promises.check_planned_stop(1, 0, begun_at, [StandIn()])
        self.assertEqual(self.violations(), 0)
        self.promises.check_planned_stop(1, 0, begun_at, [StandIn(["c"])])
        self.assertEqual(self.violations(), 1)


if __name__ == "__main__":
    unittest.main(verbosity=2)
