"""An entry is cut off from all other processes in silence, and joined again: on a stand-in of the users' platform, in real
processes."""

import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from cluster import eventually
from platform_stand_in import Platform, configuration

# What the users state: an instance is in contact this long after it is back.
CONTACT_S = 4.0
CUT_S = 6.0


class CutOffEntryTest(unittest.TestCase):
    def test_an_entry_that_is_joined_again_serves_the_change_that_it_missed(self):
        with Platform(entries=4, zones=3, cuttable=True) as platform:
            platform.add_backend("s0")
            self.assertEqual(platform.put(configuration(7)), 200)
            cut_off, other = platform.machines[3], platform.machines[0]
            for machine in (cut_off, other):
                eventually("an answer", lambda m=machine: platform.request(m, "/one/x", "warm-up")[0] == 200)
            cut_off.processes["entry"].cut()
            began_at = time.monotonic()
            changed = configuration(9)
            changed["routes"].append(dict(changed["routes"][1], name="r-added", pathPrefix="/added/"))
            self.assertEqual(platform.put(changed), 200)
            answers = set()
            while time.monotonic() < began_at + CUT_S:
                answers.add(platform.request(cut_off, "/one/x", "cut-%d" % time.monotonic_ns())[0])
            self.assertEqual(answers, {None})
            self.assertEqual(platform.request(other, "/added/x", "other")[0], 200)
            cut_off.processes["entry"].join()
            time.sleep(CONTACT_S)
            self.assertEqual(platform.request(cut_off, "/added/x", "joined")[0], 200)


if __name__ == "__main__":
    unittest.main(verbosity=2)
