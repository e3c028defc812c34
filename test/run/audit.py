"""Compares what callers were told with what the endpoints recorded."""

import collections

REFUSALS = ("refused_no", "refused_unknown")
COUNTS = ("requests", "whole", "refused_no", "refused_unknown", "broken",
          "wrong", "timeout")


class Audit:
    """Result of a run.

    double: keys that were started more than once on any endpoint.
    refused_but_ran: keys whose every answer said that the request did not
      run, although it did.
    unrecorded: keys with a whole answer that no endpoint started.
    """

    def __init__(self, summaries, records, journal, stats):
        self.counts = {name: sum(summary[name] for summary in summaries)
                       for name in COUNTS}
        starts = collections.Counter(entry["key"] for entry in journal
                                     if entry["key"])
        told = collections.defaultdict(set)
        for record in records:
            if record["key"]:
                told[record["key"]].add(record["outcome"])
        self.double = sum(count > 1 for count in starts.values())
        self.refused_but_ran = sum(
            outcomes == {"refused_no"} and key in starts
            for key, outcomes in told.items())
        self.unrecorded = sum("whole" in outcomes and key not in starts
                              for key, outcomes in told.items())
        self.above_slots = max(entry["max_over_bearing"]
                               for entry in stats.values())
        self.cold_overloads = sum(entry["cold_overloads"]
                                  for entry in stats.values())
        self.late_after_out = sum(entry["late_after_out"]
                                  for entry in stats.values())
        self.late_after_drain = sum(entry["late_after_drain"]
                                    for entry in stats.values())

    def refused(self):
        return sum(self.counts[name] for name in REFUSALS)

    def wrong(self):
        """Answers that break a promise to a caller."""
        return (self.counts["wrong"] + self.counts["broken"]
                + self.refused_but_ran + self.unrecorded)

    def faults(self):
        """Names of the invariants that did not hold."""
        values = {"wrong": self.wrong(), "double": self.double,
                  "above slots": self.above_slots,
                  "cold overloads": self.cold_overloads,
                  "late after out": self.late_after_out,
                  "late after drain": self.late_after_drain}
        return [f"{name}={value}" for name, value in values.items() if value]


def percentiles(records, kinds=None):
    """p50, p99 and p99.9 in ms of the whole answers, by nearest rank."""
    times = sorted(record["end_us"] - record["start_us"] for record in records
                   if record["outcome"] == "whole"
                   and (kinds is None or record["kind"] in kinds))
    if not times:
        return None
    return [times[-(-len(times) * thousandths // 1000) - 1] / 1000
            for thousandths in (500, 990, 999)]
