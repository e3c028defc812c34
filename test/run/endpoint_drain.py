"""Endpoints begin to drain, but their health and load reports do not show it
yet.

Guards against new work for a draining endpoint when only its responses to
requests tell that it drains.
"""

from faultrun import FaultScenario, now_us, wait_until
from harness import main

RATE = 90  # requests per second and data centre
DURATION_MS = 8000
DRAIN_LIMIT_S = 3


def script(run):
    scenario = FaultScenario(run, backend_options=("--load-lag-ms", 60000))
    topology = scenario.topology
    scenario.start_load(RATE, DURATION_MS)
    draining = [next(endpoint for endpoint in topology.endpoints_in(centre)
                     if endpoint.service.name == "booking")
                for centre in topology.deployment.data_centres]
    at_us = now_us()
    for endpoint in draining:
        endpoint.control(drain=True)
    wait_until(at_us + (DRAIN_LIMIT_S + 2) * 1e6, "the end of the observation")
    stats = topology.stats()
    late = [stats[endpoint.name]["late_after_drain"] for endpoint in draining]
    scenario.log_measurement(
        f"late requests of the draining endpoints: {late}")
    scenario.check(f"no new work {DRAIN_LIMIT_S} s after the start of the "
                   f"drain",
                   not any(late))
    return scenario.finish(0.9)


main(script)
