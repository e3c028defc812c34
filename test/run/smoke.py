"""Smoke test with one entry instance and one endpoint."""

from audit import Audit
from harness import Caller, main, request
from topology import SMALL, Topology


def script(run):
    topology = Topology(run, SMALL, backend_options=("--cold-ms", 200))
    topology.start_instances()
    instance = topology.instances[0]
    print("addresses:", topology.addresses(instance)
          == [f"127.0.0.1:{instance.callers}"])
    unknown = request(instance.callers, "GET", "/s/nowhere/slot-check")
    print("unknown service:", unknown.status, unknown.headers["content-type"])
    unkeyed = request(instance.callers, "POST", "/s/booking/confirm", "{}")
    print("confirmation without a key:", unkeyed.status)
    caller = Caller(run, "callers", "--entry", topology.entry_list(),
                    "--data-centre", instance.data_centre, "--rate", 50,
                    "--duration-ms", 2000, "--mix", SMALL.mix,
                    "--repeat-share", 0.2)
    summary = caller.finish()
    audit = Audit([summary], caller.records(), topology.journal(),
                  topology.stats())
    print("most answers are whole:",
          audit.counts["whole"] > 0.9 * audit.counts["requests"])
    print("invariants that did not hold:", *audit.violations() or ["none"])
    print("stop:", *topology.stop_instances())


main(script)
