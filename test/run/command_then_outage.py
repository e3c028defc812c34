"""The store goes down as soon as it has acknowledged that a data centre is out
of service.  No instance can read the change any more.

Guards against a change that the operator was told is made, and that no instance
knows until the store is back.
"""

from faultrun import FaultScenario, now_us, wait_until
from harness import main

RATE = 70  # requests per second and data centre
DURATION_MS = 12000
LEAVING = "pasig"
OUT_S = 3


def script(run):
    scenario = FaultScenario(run)
    topology = scenario.topology
    scenario.start_load(RATE, DURATION_MS)
    endpoints = topology.endpoints_in(LEAVING)
    for endpoint in endpoints:
        endpoint.control(mark="out")
    topology.platform.faults(down_after_put="shared/out/")
    topology.put_admin(f"/v1/data-centres/{LEAVING}/out",
                       topology.instances[0])
    out_us = now_us()
    wait_until(out_us + (OUT_S + 3) * 1e6, "the end of the observation")
    scenario.check_no_late_requests(endpoints, OUT_S)
    topology.platform.faults(down=False)
    return scenario.finish(0.7)


main(script)
