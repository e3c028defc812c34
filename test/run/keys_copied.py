"""Endpoints run confirmations but their responses are lost; then an instance
that owns slices of keys is killed right after other confirmations.

Guards against a client that is told that its request did not run although an
endpoint ran it, and against a key that runs again because its entry was lost
with the owner of its slice.
"""

from faultrun import FaultScenario, now_us
from harness import main, wait_for
from outage import Confirmations
from topology import Deployment, Service

# A new owner may treat a key as new once every other process has been up for
# the retention time; the last repeats are sent before the keys expire.
RETENTION_MS = 8000
LAST_REPEAT_MS = 7500
LOST_KEYS = 12  # keys of confirmations whose responses are lost
KEYS = 40  # keys of the other confirmations
DEPLOYMENT = Deployment(
    "keys", ["quezon"], [Service("booking", 4, 3)], 4,
    profile={"run_ms": 300, "timeout_ms": 1000,
             "key_retention_ms": RETENTION_MS})


def script(run):
    scenario = FaultScenario(run, DEPLOYMENT)
    topology = scenario.topology
    first, killed, *others = topology.instances

    for endpoint in topology.endpoints:
        endpoint.control(lose_answers=True)
    lost = Confirmations("lost", LOST_KEYS)
    for key in lost.keys:
        lost.send(first, key)
    ran = sum(key in scenario.starts_by_key() for key in lost.keys)
    scenario.log_measurement(
        f"ran with a lost answer: {ran} of {LOST_KEYS}, told: "
        f"{sorted(r[0][0] for r in lost.responses.values())}")
    scenario.check("endpoints ran confirmations whose answers were lost",
                   ran > 0)
    scenario.check("no caller is told that such a confirmation did not run",
                   lost.is_consistent(scenario.starts_by_key()))
    for endpoint in topology.endpoints:
        endpoint.control(lose_answers=False)

    answered = Confirmations("done", KEYS)
    begin_us = now_us()
    for key in answered.keys:
        wait_for("the confirmation is answered",
                 lambda key=key: answered.send(first, key) == "yes")
    killed_us = scenario.kill(killed)
    scenario.log_measurement(
        f"confirmed in {(killed_us - begin_us) / 1000:.0f} ms")
    pending = list(answered.keys)
    repeats = 0
    while pending and now_us() - begin_us < LAST_REPEAT_MS * 1000:
        key = pending.pop(0)
        repeats += 1
        if answered.send(others[repeats % 2], key) != "yes":
            pending.append(key)
    for key in lost.keys:
        lost.send(others[0], key)
    scenario.log_measurement(f"{repeats} repeats in "
                             f"{(now_us() - killed_us) / 1e6:.1f} s, "
                             f"without the recorded answer: {len(pending)}")
    scenario.check("repeats get the recorded answer", not pending)
    scenario.check("no confirmation runs twice",
                   lost.is_consistent(scenario.starts_by_key())
                   and answered.is_consistent(scenario.starts_by_key()))
    return 0 if scenario.passed and not any(topology.stop_instances()) else 1


main(script)
