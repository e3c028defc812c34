"""While the store is down, an instance is shut down gracefully, another one is
killed, and confirmations are sent again with the same idempotency keys.

Guards against a graceful shutdown that needs the store, and against a key that
runs again because the instance that had it, or the owner of its slice, died.
"""

import json

from faultrun import FaultScenario, now_us
from harness import request

RATE = 80  # requests per second and data centre
DURATION_MS = 16000
KEYS = 40
HANDOVER_LIMIT_S = 10


class Confirmations:
    """Confirmations with different keys, and for each key all responses, as
    pairs (ran, body)."""

    def __init__(self, name, count):
        self.keys = [f"{name}-{i}" for i in range(count)]
        self.responses = {key: [] for key in self.keys}

    def send(self, instance, key):
        """Sends the confirmation once; returns whether it ran: "yes", or "no"
        or "unknown" as the refusal says."""
        response = request(instance.callers, "POST", "/s/booking/confirm",
                           json.dumps({"booking": key}),
                           {"Idempotency-Key": key, "Request-Id": key,
                            "Content-Type": "application/json",
                            "Request-Timeout-Ms": "2000"})
        ran = "yes" if response.status == 200 else response.json()["ran"]
        self.responses[key].append((ran, response.body))
        return ran

    def is_consistent(self, starts):
        """Whether no response contradicts another one or starts, the number of
        times that endpoints started each key."""
        for key, responses in self.responses.items():
            whole = {body for ran, body in responses if ran == "yes"}
            if len(whole) > 1 or starts.get(key, 0) > 1:
                return False
            if whole and not starts.get(key):
                return False
            if starts.get(key) and all(ran == "no" for ran, _ in responses):
                return False
        return True


def run_outage(run, down):
    # Runs the script; down is True if the store refuses connections, and
    # "silent" if it accepts them and never responds.
    scenario = FaultScenario(run)
    topology = scenario.topology
    scenario.start_load(RATE, DURATION_MS)
    topology.platform.faults(down=down)
    scenario.log_measurement(f"store: {down}")

    stopped = scenario.owner("quezon")
    pools = scenario.endpoints_owned_by(stopped)
    scenario.check("the stopped instance has pools", len(pools) > 0)
    stop_us = now_us()
    stopped.process.terminate()
    scenario.exit_statuses[stopped.name] = stopped.process.wait(30)
    scenario.log_measurement(
        f"stopped after {(now_us() - stop_us) / 1e6:.1f} s")
    before = scenario.requests(pools)
    scenario.wait_for_requests("the pools of the stopped instance are served",
                               pools, before, stop_us, HANDOVER_LIMIT_S)
    scenario.check("pools of the stopped instance were handed over", True)

    running = scenario.running_instances()
    first, other, third = running[0], running[1], running[2]
    sent = Confirmations("answered", KEYS)
    for key in sent.keys:
        sent.send(first, key)
    answered = sum(responses[0][0] == "yes"
                   for responses in sent.responses.values())
    scenario.kill(first)
    for key in sent.keys:
        sent.send(other, key)
        sent.send(third, key)
    replayed = sum(responses[1][0] == "yes"
                   for responses in sent.responses.values())
    scenario.log_measurement(
        f"first answers: {answered} of {KEYS}, repeats answered: "
        f"{replayed}, others: "
        f"{[r[1][0] for r in sent.responses.values()].count('no')} "
        "not run")
    scenario.check("most first confirmations are answered",
                   answered > KEYS * 0.8)
    scenario.check("repeats get the recorded answer or unknown, and none runs "
                   "again",
                   sent.is_consistent(scenario.starts_by_key()))
    scenario.check("most repeats get the recorded answer",
                   replayed > answered * 0.6)
    return scenario.finish(0.8)
