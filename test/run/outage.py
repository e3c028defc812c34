"""The store is down: a planned stop, a kill, and repeats of confirmations.

Guards against a planned stop that needs the store, and against a key that
runs again because the instance that had it, or the owner of its slice, died.
"""

import json

from faultrun import Faults, now_us
from harness import request

RATE = 80  # requests per second and data centre
DURATION_MS = 16000
KEYS = 40
HANDED_OVER_S = 10


class Confirmations:
    """Confirmations with chosen keys; what each instance told about them."""

    def __init__(self, name, count):
        self.keys = [f"{name}-{i}" for i in range(count)]
        self.told = {key: [] for key in self.keys}

    def send(self, instance, key):
        """Sends the confirmation once; returns the answer."""
        answer = request(instance.callers, "POST", "/s/booking/confirm",
                         json.dumps({"booking": key}),
                         {"Idempotency-Key": key, "Request-Id": key,
                          "Content-Type": "application/json",
                          "Request-Timeout-Ms": "2000"})
        ran = "yes" if answer.status == 200 else answer.json()["ran"]
        self.told[key].append((ran, answer.body))
        return ran

    def honest(self, starts):
        """Whether no answer contradicts another one or the journal."""
        for key, told in self.told.items():
            whole = {body for ran, body in told if ran == "yes"}
            if len(whole) > 1 or starts.get(key, 0) > 1:
                return False
            if whole and not starts.get(key):
                return False
            if starts.get(key) and all(ran == "no" for ran, _ in told):
                return False
        return True


def run_outage(run, down):
    faults = Faults(run)
    topology = faults.topology
    faults.load(RATE, DURATION_MS)
    topology.platform.faults(down=down)
    faults.note(f"store: {down}")

    stopped = faults.owner("quezon")
    pools = faults.owned_endpoints(stopped)
    faults.say("the stopped instance has pools", len(pools) > 0)
    stop_us = now_us()
    stopped.process.ask_to_stop()
    faults.statuses[stopped.name] = stopped.process.wait(30)
    faults.note(f"stopped after {(now_us() - stop_us) / 1e6:.1f} s")
    before = faults.requests(pools)
    faults.wait_work("the pools of the stopped instance are served", pools,
                     before, stop_us, HANDED_OVER_S)
    faults.say("pools of the stopped instance were handed over", True)

    left = faults.running()
    first, other, third = left[0], left[1], left[2]
    done = Confirmations("answered", KEYS)
    for key in done.keys:
        done.send(first, key)
    answered = sum(told[0][0] == "yes" for told in done.told.values())
    faults.kill(first)
    for key in done.keys:
        done.send(other, key)
        done.send(third, key)
    replayed = sum(told[1][0] == "yes" for told in done.told.values())
    faults.note(f"first answers: {answered} of {KEYS}, repeats answered: "
                f"{replayed}, others: "
                f"{[told[1][0] for told in done.told.values()].count('no')} "
                "not run")
    faults.say("most first confirmations are answered", answered > KEYS * 0.8)
    faults.say("repeats get the recorded answer or unknown, and none runs "
               "again", done.honest(faults.starts()))
    faults.say("most repeats get the recorded answer",
               replayed > answered * 0.6)
    return faults.finish(0.8)
