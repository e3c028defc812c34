"""Tests that the audit finds each kind of violation, and none in a run
without any."""

from audit import Audit, percentiles
from harness import main

STATS = {"max_over_bearing": 0, "cold_overloads": 0, "late_after_out": 0,
         "late_after_drain": 0}
NAMES = ("requests", "whole", "refused_no", "refused_unknown", "broken",
         "wrong", "timeout")


def audit(requests, started_keys, **stats):
    """Returns the audit of requests, given as (key, outcome), and of the keys
    that endpoints started; stats replaces statistics of one endpoint."""
    records = [{"key": key, "outcome": outcome} for key, outcome in requests]
    summary = {name: sum(outcome == name for _, outcome in requests)
               for name in NAMES}
    summary["requests"] = len(requests)
    return Audit([summary], records, [{"key": key} for key in started_keys],
                 {"one": STATS, "two": {**STATS, **stats}})


def broken_at(address, start_us, end_us):
    """Returns the count of wrong responses for a broken request, when the
    process at address one is killed at 500 us."""
    record = {"key": "", "outcome": "broken", "instance": address,
              "start_us": start_us, "end_us": end_us}
    return Audit([{**dict.fromkeys(NAMES, 0), "broken": 1}], [record], [],
                 {"one": STATS}, {"one": 500}).wrong()


def script(run):
    valid = audit([("", "whole"), ("a", "whole"), ("b", "refused_no"),
                   ("c", "refused_unknown"), ("d", "refused_no"),
                   ("d", "whole"), ("e", "timeout")], ["a", "c", "d", "", ""])
    print("kept:", valid.violations() or "none", "refused:", valid.refused(),
          "requests:", valid.counts["requests"])
    print("ran twice:", audit([("a", "whole")], ["a", "a"]).violations())
    print("refused but ran:", audit([("a", "refused_no")], ["a"]).violations())
    print("answered but never ran:", audit([("a", "whole")], []).violations())
    print("wrong and broken:",
          audit([("", "wrong"), ("", "broken")], []).violations())
    print("broken at a killed process, elsewhere, before, after:",
          *(broken_at(*at) for at in (("one", 100, 900), ("two", 100, 900),
                                      ("one", 100, 400),
                                      ("one", 90000, 91000))))
    for name in STATS:
        print(name + ":", audit([], [], **{name: 2}).violations())
    times = [{"outcome": "whole", "kind": "k", "start_us": 0,
              "end_us": 1000 * (i + 1)} for i in range(1000)]
    print("percentiles:", percentiles(times), percentiles([]))


main(script)
