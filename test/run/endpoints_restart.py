"""Endpoints restart repeatedly under load, and once while idle.

A cold backend server can serve one request at a time.  Guards against grants
from before a restart, among them reused ones, that together exceed it, and
against a burst of requests before any instance knows of a restart.
"""

import concurrent.futures
import random

from faultrun import FaultScenario, now_us, wait_until
from harness import main, request

RATE = 100  # requests per second and data centre
START_MS = 1500  # from the start of the load to the first restart
RESTARTS = 60
# Mean time between two restarts.  Each of the 12 endpoints restarts about
# every 1.4 s; it is cold for about 250 ms of these, then it has more slots.
INTERVAL_MS = 120
SEEDS = (20261, 20262, 20263)
IDLE_S = 3
BURST_REQUESTS = 36


def send_burst(topology):
    """Sends concurrent requests through all instances; returns their
    statuses."""
    def send_request(index):
        port = topology.instances[index % len(topology.instances)].callers
        return request(port, "GET", "/s/booking/slot-check", None,
                       {"Request-Timeout-Ms": 1500}).status

    with concurrent.futures.ThreadPoolExecutor(BURST_REQUESTS) as pool:
        return list(pool.map(send_request, range(BURST_REQUESTS)))


def script(run):
    scenario = FaultScenario(run, backend_options=(
        "--cold-ms", 250, "--slot-check-ms", 25, "--confirm-ms", 25))
    endpoints = [endpoint for endpoint in scenario.topology.endpoints
                 if endpoint.service.name == "booking"]
    scenario.start_load(RATE, START_MS + len(SEEDS) * RESTARTS * INTERVAL_MS,
                        repeat_share=0)
    before = sum(entry["cold_overloads"]
                 for entry in scenario.topology.stats().values())
    next_us = now_us() + START_MS * 1000
    for seed in SEEDS:
        choice = random.Random(seed)
        for index in range(RESTARTS):
            if index % len(endpoints) == 0:
                choice.shuffle(endpoints)
            wait_until(next_us, "the next restart")
            before_us = now_us()
            endpoints[index % len(endpoints)].control(restart=True)
            scenario.restarts += [before_us, now_us()]
            next_us += choice.uniform(0.5, 1.5) * INTERVAL_MS * 1000
        total = sum(entry["cold_overloads"]
                    for entry in scenario.topology.stats().values())
        scenario.log_measurement(
            f"seed {seed}: {total - before} overloads in {RESTARTS} "
            f"restarts")
        before = total
    for caller in scenario.callers:
        caller.finish()
    wait_until(now_us() + IDLE_S * 1e6, "the endpoints are idle for a while")
    for endpoint in endpoints:
        endpoint.control(restart=True)
    statuses = send_burst(scenario.topology)
    total = sum(entry["cold_overloads"]
                for entry in scenario.topology.stats().values())
    scenario.log_measurement(
        f"burst after {IDLE_S} s: {total - before} overloads, "
        f"{statuses.count(200)} of {BURST_REQUESTS} answered")
    return scenario.finish(0.9)


main(script)
