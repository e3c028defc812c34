"""Compares the responses that clients got with the endpoints' journals."""

import collections

REFUSALS = ("refused_no", "refused_unknown")
# A request that breaks up to this long after a kill or restart is attributed
# to it: a client may send on a persistent connection before it has noticed
# that the kernel closed it.
CLOSE_DETECTION_US = 20000
COUNTS = ("requests", "whole", "refused_no", "refused_unknown", "broken",
          "wrong", "timeout")


class Audit:
    """Counts the violated invariants of a run.

    counts: requests by outcome, and all requests.
    keys_run_twice: keys that were started more than once on any endpoint.
    refused_but_ran: keys for which every response said that the request did
      not run, although it did.
    answered_but_not_run: keys with a whole response that no endpoint started.
    broken_by_fault: requests whose connection broke because the process of
      their entry instance was killed or an endpoint was restarted; no other
      request may break.
    above_slots: the most requests by which any endpoint exceeded its slots, or
      the one request that it can serve while it is cold.
    cold_overloads: crashes of cold endpoints that got a second request.
    late_after_out, late_after_drain: requests that reached an endpoint over
      3 s after it was marked as out or after it began to drain.

    killed: time in us at which an instance was killed, by its address.
    restarts: times in us at which an endpoint was restarted, which cuts off
      the responses that it was sending.
    """

    def __init__(self, summaries, records, journal, stats, killed=None,
                 restarts=()):
        self.counts = {name: sum(summary[name] for summary in summaries)
                       for name in COUNTS}
        self.broken_by_fault = sum(
            record["outcome"] == "broken"
            and (self._was_in_flight(record, killed or {})
                 or any(record["start_us"] <= at_us <= record["end_us"]
                        <= at_us + CLOSE_DETECTION_US for at_us in restarts))
            for record in records)
        starts = collections.Counter(entry["key"] for entry in journal
                                     if entry["key"])
        outcomes_by_key = collections.defaultdict(set)
        for record in records:
            if record["key"]:
                outcomes_by_key[record["key"]].add(record["outcome"])
        self.keys_run_twice = sum(count > 1 for count in starts.values())
        self.refused_but_ran = sum(
            outcomes == {"refused_no"} and key in starts
            for key, outcomes in outcomes_by_key.items())
        self.answered_but_not_run = sum(
            "whole" in outcomes and key not in starts
            for key, outcomes in outcomes_by_key.items())
        self.above_slots = max(entry["max_over_bearing"]
                               for entry in stats.values())
        self.cold_overloads = sum(entry["cold_overloads"]
                                  for entry in stats.values())
        self.late_after_out = sum(entry["late_after_out"]
                                  for entry in stats.values())
        self.late_after_drain = sum(entry["late_after_drain"]
                                    for entry in stats.values())

    @staticmethod
    def _was_in_flight(record, killed):
        """Whether the instance was killed while it had the request."""
        at_us = killed.get(record.get("instance"))
        return (at_us is not None
                and record["start_us"] <= at_us + CLOSE_DETECTION_US
                and record["end_us"] >= at_us)

    def refused(self):
        return sum(self.counts[name] for name in REFUSALS)

    def wrong(self):
        """Counts wrong responses, requests that broke without an injected
        fault, and responses that contradict the journals."""
        return (self.counts["wrong"] + self.counts["broken"]
                - self.broken_by_fault
                + self.refused_but_ran + self.answered_but_not_run)

    def violations(self):
        """Returns names and counts of the invariants that did not hold."""
        values = {"wrong": self.wrong(), "double": self.keys_run_twice,
                  "above slots": self.above_slots,
                  "cold overloads": self.cold_overloads,
                  "late after out": self.late_after_out,
                  "late after drain": self.late_after_drain}
        return [f"{name}={value}" for name, value in values.items() if value]


def percentiles(records, kinds=None):
    """Returns p50, p99 and p99.9 in ms of the whole responses, by nearest
    rank, or None without any such response."""
    times = sorted(record["end_us"] - record["start_us"] for record in records
                   if record["outcome"] == "whole"
                   and (kinds is None or record["kind"] in kinds))
    if not times:
        return None
    return [times[-(-len(times) * thousandths // 1000) - 1] / 1000
            for thousandths in (500, 990, 999)]
