"""Endpoints restart again and again under load, and once while idle.

Guards against grants, made or lent before a restart, that are still used and
together exceed the one request that a cold server bears; and against a burst
of requests before anybody knows of a restart.
"""

import concurrent.futures
import random

from faultrun import FaultScenario, now_us, wait_until
from harness import main, request

RATE = 100  # requests per second and data centre
LEAD_MS = 1500
RESTARTS = 60
# About 250 ms for an endpoint to be cold, then some time with more slots.
STEP_MS = 120
SEEDS = (20261, 20262, 20263)
IDLE_S = 3
BURST = 36


def burst(topology):
    """Requests through all instances at once; returns their statuses."""
    def ask(turn):
        port = topology.instances[turn % len(topology.instances)].callers
        return request(port, "GET", "/s/booking/slot-check", None,
                       {"Request-Timeout-Ms": 1500}).status

    with concurrent.futures.ThreadPoolExecutor(BURST) as pool:
        return list(pool.map(ask, range(BURST)))


def script(run):
    scenario = FaultScenario(run, backend_options=(
        "--cold-ms", 250, "--slot-check-ms", 25, "--confirm-ms", 25))
    endpoints = [endpoint for endpoint in scenario.topology.endpoints
                 if endpoint.service.name == "booking"]
    scenario.start_load(RATE, LEAD_MS + len(SEEDS) * RESTARTS * STEP_MS,
                        repeat_share=0)
    before = sum(entry["cold_overloads"]
                 for entry in scenario.topology.stats().values())
    next_us = now_us() + LEAD_MS * 1000
    for seed in SEEDS:
        choice = random.Random(seed)
        for turn in range(RESTARTS):
            if turn % len(endpoints) == 0:
                choice.shuffle(endpoints)
            wait_until(next_us, "the next restart")
            before_us = now_us()
            endpoints[turn % len(endpoints)].control(restart=True)
            scenario.restarts += [before_us, now_us()]
            next_us += choice.uniform(0.5, 1.5) * STEP_MS * 1000
        total = sum(entry["cold_overloads"]
                    for entry in scenario.topology.stats().values())
        scenario.note(f"seed {seed}: {total - before} overloads in {RESTARTS} "
                      f"restarts")
        before = total
    for caller in scenario.callers:
        caller.finish()
    wait_until(now_us() + IDLE_S * 1e6, "the endpoints are idle for a while")
    for endpoint in endpoints:
        endpoint.control(restart=True)
    statuses = burst(scenario.topology)
    total = sum(entry["cold_overloads"]
                for entry in scenario.topology.stats().values())
    scenario.note(f"burst after {IDLE_S} s: {total - before} overloads, "
                  f"{statuses.count(200)} of {BURST} answered")
    return scenario.finish(0.9)


main(script)
