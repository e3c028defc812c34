"""Demonstration: a data centre is taken out of service under load and put
back."""

import time

from audit import Audit, percentiles
from harness import Caller, main, wait_for
from topology import KALAMANSI, Topology

RATE = 400  # requests per second and data centre
DURATION_MS = 20000
OUT_AFTER_S = 6
OUT_FOR_S = 6
LEAVING = "pasig"


def wait_until(time_s, what):
    """Waits until a scheduled time on the monotonic clock; it must not stand
    in for waiting until a process has done something."""
    wait_for(what, lambda: time.monotonic() >= time_s, 60)


def print_table(records, audit, last_request_ms):
    print(f"{'requests':14}{'count':>8}{'whole':>8}{'refused':>9}"
          f"{'p50 ms':>9}{'p99 ms':>9}{'p99.9 ms':>10}")
    for kind in ("slot-check", "confirm", "history", "archive", "all"):
        selected = [record for record in records
                    if kind in ("all", record["kind"])]
        whole = sum(record["outcome"] == "whole" for record in selected)
        refused = sum(record["outcome"].startswith("refused")
                      for record in selected)
        times = percentiles(selected) or [0, 0, 0]
        print(f"{kind:14}{len(selected):8}{whole:8}{refused:9}{times[0]:9.1f}"
              f"{times[1]:9.1f}{times[2]:10.1f}")
    print(f"timeouts: {audit.counts['timeout']}, broken: "
          f"{audit.counts['broken']}, told not run but ran: "
          f"{audit.refused_but_ran}")
    print(f"most requests above the capacity of an endpoint: "
          f"{audit.above_slots}, cold overloads: {audit.cold_overloads}")
    print(f"{LEAVING} got no new work {last_request_ms} ms after it was taken "
          f"out")


def script(run):
    topology = Topology(run, KALAMANSI, delays=True)
    topology.start_instances()
    started = time.monotonic()
    callers = [Caller(run, "callers-" + centre, "--entry",
                      topology.entry_list(), "--data-centre", centre,
                      "--rate", RATE, "--duration-ms", DURATION_MS, "--seed",
                      seed, "--mix", KALAMANSI.mix, "--delay-ms",
                      KALAMANSI.client_delay_ms, "--repeat-share", 0.05)
               for seed, centre in enumerate(KALAMANSI.data_centres, 1)]

    def count_requests():
        stats = topology.stats()
        return sum(stats[endpoint.name]["requests"]
                   for endpoint in topology.endpoints_in(LEAVING))

    wait_until(started + OUT_AFTER_S, "time to take the data centre out")
    for endpoint in topology.endpoints_in(LEAVING):
        endpoint.control(mark="out")
    topology.put_admin(f"/v1/data-centres/{LEAVING}/out")
    wait_until(started + OUT_AFTER_S + OUT_FOR_S, "time to take it back")
    stats = topology.stats()
    last_request_ms = max(stats[endpoint.name]["last_after_out_ms"]
                          for endpoint in topology.endpoints_in(LEAVING))
    for endpoint in topology.endpoints_in(LEAVING):
        endpoint.control(mark="in")
    before = count_requests()
    topology.put_admin(f"/v1/data-centres/{LEAVING}/in")
    wait_for(f"{LEAVING} gets work again", lambda: count_requests() > before)

    summaries = [caller.finish() for caller in callers]
    records = [record for caller in callers for record in caller.records()]
    statuses = topology.stop_instances()
    audit = Audit(summaries, records, topology.journal(), topology.stats())
    print_table(records, audit, last_request_ms)
    if any(statuses):
        print("exit statuses of the instances:", *statuses)
    violations = audit.violations()
    if violations:
        print("violated invariants:", ", ".join(violations))
    print(f"demo: requests={audit.counts['requests']} "
          f"whole={audit.counts['whole']} refused={audit.refused()} "
          f"wrong={audit.wrong()} double={audit.keys_run_twice}")
    return 1 if violations or any(statuses) else 0


main(script)
