"""Profile changes as callers see them at every instance, while one instance
is cut off from the store, one gets its answers late, and one restarts during
an outage.

Guards against a change that does not reach an instance, or takes longer than
FORCE_S, and against an instance that goes back to an earlier profile.
"""

import json
import threading

from faultrun import FaultScenario, now_us
from harness import main, request, wait_for
from topology import Deployment, Service, StoreProxyTopology

FORCE_S = 4
CHANGES = 30
GAP_US = 100000
# Reads of the store at one instance end after others have later changes, and
# before store_timeout_ms.
LATE_MS = 370
DEPLOYMENT = Deployment("force", ["quezon"], [Service("booking", 4, 3)], 4)


def path(level):
    """A path that needs no idempotency key from this level of change on:
    each change shortens the prefix of such paths."""
    return "/slot-check/" + "x" * (CHANGES + 2 - level)


class Watch(threading.Thread):
    """Asks one instance all the time which change is in force there.

    reached: time in us at which each change was first seen.
    reverted: changes that were in force and then were not.
    """

    def __init__(self, instance):
        super().__init__(daemon=True)
        self.instance = instance
        self.reached = {}
        self.reverted = []
        self.ended = threading.Event()
        self.start()

    def in_force(self, level):
        """None when the answer does not tell."""
        try:
            response = request(self.instance.callers, "POST",
                               "/s/booking" + path(level), "{}",
                               {"Request-Id": "watch"})
        except OSError:
            return None
        if response.status == 200:
            return True
        if response.status == 400 and b"key-required" in response.body:
            return False
        return None

    def run(self):
        level = 0
        while not self.ended.is_set():
            if level and self.in_force(level) is False:
                self.reverted.append(level)
                level -= 1
            elif self.in_force(level + 1):
                level += 1
                self.reached.setdefault(level, now_us())

    def end(self):
        self.ended.set()
        self.join()


def script(run):
    scenario = FaultScenario(run, DEPLOYMENT, StoreProxyTopology)
    topology = scenario.topology
    operator, cut, late, restarted = topology.instances
    stored = request(topology.platform.port, "GET",
                     "/objects/shared/profile/booking").json()
    profile = json.loads(stored["body"])
    watches = [Watch(instance) for instance in topology.instances]
    accepted = {}

    def change(level):
        response = request(operator.operators, "PUT", "/v1/profiles/booking",
                           {**profile, "idempotent_prefix": path(level)},
                           {"If-Match": stored["version"] + len(accepted),
                            "Content-Type": "application/json"})
        if response.status != 200:
            scenario.note(f"change {level}: {response.status} {response.body}")
        else:
            accepted[level] = now_us()

    def in_force(level):
        return all(level in watch.reached for watch in watches)

    def changes(levels):
        for level in levels:
            change(level)
            due_us = now_us() + GAP_US
            wait_for("the next change is due", lambda: now_us() >= due_us)
        wait_for("the last change is in force", lambda: in_force(levels[-1]),
                 FORCE_S)

    topology.store_proxy.control(cut.name, cut=True)
    topology.store_proxy.control(late.name, delay_ms=LATE_MS)
    changes(range(1, CHANGES))
    topology.platform.faults(down=True)
    restarted.process.signal(9)
    restarted.process.wait()
    again_us = now_us()
    topology.start_instance(restarted)
    wait_for("the restarted instance has the last change",
             lambda: watches[3].in_force(CHANGES - 1))
    scenario.note(f"restarted with the last change after "
                  f"{(now_us() - again_us) / 1000:.0f} ms")
    topology.platform.faults(down=False)
    changes([CHANGES])
    for watch in watches:
        watch.end()
    took = {watch.instance.name: max(
        (watch.reached[level] - accepted[level]) // 1000 for level in accepted)
            for watch in watches}
    scenario.note(f"in force after at most, in ms: {took}")
    scenario.note("went back from: " + str({
        watch.instance.name: watch.reverted for watch in watches
        if watch.reverted}))
    scenario.check("all changes are accepted", len(accepted) == CHANGES)
    scenario.check(f"each is in force everywhere within {FORCE_S} s",
                   max(took.values()) <= FORCE_S * 1000)
    scenario.check("no instance goes back", not any(watch.reverted
                                                    for watch in watches))
    return 0 if scenario.passed and not any(topology.stop_instances()) else 1


main(script)
