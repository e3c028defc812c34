"""Tests that probes and address requests stay within their budget.

Endpoints that shed all requests are probed, the others are not; clients
request addresses once in the lifetime of the cached response.
"""

import time

from audit import Audit
from harness import Caller, main
from topology import Deployment, Service, Topology

TRIO = Deployment("trio", ["quezon", "pasig", "caloocan"],
                  [Service("booking", 6, 3)], 3, 1, 1.5,
                  "slot-check=90,confirm=10")
RATE = 60  # requests per second
DURATION_MS = 8000
CACHE_LIFETIME_MS = 2000
PROBES_PER_S = 1  # of one endpoint
# Additional probes: one may come at each end of the run.  Additional address
# requests: the first one, and one more at the end of a lifetime.
TOLERANCE = 2


def script(run):
    topology = Topology(run, TRIO, backend_options=("--cold-ms", 200))
    topology.start_instances()
    shedding = topology.endpoints[:2]
    for endpoint in shedding:
        endpoint.control(shed=True)
    started = time.monotonic()
    caller = Caller(run, "callers", "--entry", topology.entry_list(),
                    "--data-centre", "quezon", "--rate", RATE,
                    "--duration-ms", DURATION_MS, "--mix", TRIO.mix,
                    "--seed", 7)
    summary = caller.finish()
    seconds = time.monotonic() - started
    stats = topology.stats()
    audit = Audit([summary], caller.records(), topology.journal(), stats)
    probes = {endpoint: stats[endpoint.name]["probes"]
              for endpoint in topology.endpoints}
    print("invariants that did not hold:", *audit.violations() or ["none"])
    print("probes of endpoints that answer:",
          sum(count for endpoint, count in probes.items()
              if endpoint not in shedding))
    print("endpoints that do not are probed:",
          all(probes[endpoint] > 0 for endpoint in shedding))
    print("at most one probe a second:",
          all(count <= PROBES_PER_S * seconds + TOLERANCE
              for count in probes.values()))
    print("at most one address request in a lifetime:",
          summary["address_answers"]
          <= DURATION_MS / CACHE_LIFETIME_MS + TOLERANCE)
    print("stop:", *topology.stop_instances())


main(script)
