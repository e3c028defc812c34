"""A profile is changed repeatedly, and each instance is polled for the change
in force there; meanwhile one instance is disconnected from the store, one gets
the store's responses late, and one restarts during an outage of the store.

Guards against a change that does not reach an instance, or takes longer than
PROPAGATION_S, and against an instance that goes back to an earlier profile.
"""

import json
import threading

from faultrun import FaultScenario, now_us
from harness import main, request, wait_for
from topology import Deployment, Service, StoreProxyTopology

PROPAGATION_S = 4
CHANGES = 30
INTERVAL_US = 100000  # between two changes
# Delay of the store's responses to one instance: its reads end when the other
# instances already have later changes, but within store_timeout_ms.
STORE_DELAY_MS = 370
DEPLOYMENT = Deployment("force", ["quezon"], [Service("booking", 4, 3)], 4)


def request_path(number):
    """Returns a path that needs no idempotency key once this change is in
    force: each change shortens the prefix of such paths."""
    return "/slot-check/" + "x" * (CHANGES + 2 - number)


class ProfilePoller(threading.Thread):
    """Continuously polls one instance for the change in force there.

    first_seen_us: time at which each change was first seen in force.
    reverted: changes that were in force and then were not.
    """

    def __init__(self, instance):
        super().__init__(daemon=True)
        self.instance = instance
        self.first_seen_us = {}
        self.reverted = []
        self.ended = threading.Event()
        self.start()

    def is_in_force(self, number):
        """Whether a change is in force at the instance; None if the response
        does not tell."""
        try:
            response = request(self.instance.callers, "POST",
                               "/s/booking" + request_path(number), "{}",
                               {"Request-Id": "watch"})
        except OSError:
            return None
        if response.status == 200:
            return True
        if response.status == 400 and b"key-required" in response.body:
            return False
        return None

    def run(self):
        number = 0
        while not self.ended.is_set():
            if number and self.is_in_force(number) is False:
                self.reverted.append(number)
                number -= 1
            elif self.is_in_force(number + 1):
                number += 1
                self.first_seen_us.setdefault(number, now_us())

    def end(self):
        self.ended.set()
        self.join()


def script(run):
    scenario = FaultScenario(run, DEPLOYMENT, StoreProxyTopology)
    topology = scenario.topology
    operator, cut, delayed, restarted = topology.instances
    stored = request(topology.platform.port, "GET",
                     "/objects/shared/profile/booking").json()
    profile = json.loads(stored["body"])
    pollers = [ProfilePoller(instance) for instance in topology.instances]
    accepted_us = {}

    def send_change(number):
        # Sends a change to the first instance; records the time of its
        # acceptance.
        response = request(operator.operators, "PUT", "/v1/profiles/booking",
                           {**profile,
                            "idempotent_prefix": request_path(number)},
                           {"If-Match": stored["version"] + len(accepted_us),
                            "Content-Type": "application/json"})
        if response.status != 200:
            scenario.log_measurement(f"change {number}: {response.status} "
                                     f"{response.body}")
        else:
            accepted_us[number] = now_us()

    def is_in_force(number):
        return all(number in poller.first_seen_us for poller in pollers)

    def send_changes(numbers):
        # Sends changes at a fixed interval; returns when the last is in force
        # everywhere.
        for number in numbers:
            send_change(number)
            due_us = now_us() + INTERVAL_US
            wait_for("the next change is due", lambda: now_us() >= due_us)
        wait_for("the last change is in force",
                 lambda: is_in_force(numbers[-1]),
                 PROPAGATION_S)

    topology.store_proxy.control(cut.name, cut=True)
    topology.store_proxy.control(delayed.name, delay_ms=STORE_DELAY_MS)
    send_changes(range(1, CHANGES))
    topology.platform.faults(down=True)
    restarted.process.signal(9)
    restarted.process.wait()
    restart_us = now_us()
    topology.start_instance(restarted)
    wait_for("the restarted instance has the last change",
             lambda: pollers[3].is_in_force(CHANGES - 1))
    scenario.log_measurement(f"restarted with the last change after "
                             f"{(now_us() - restart_us) / 1000:.0f} ms")
    topology.platform.faults(down=False)
    send_changes([CHANGES])
    for poller in pollers:
        poller.end()
    max_delay_ms = {poller.instance.name: max(
        (poller.first_seen_us[number] - accepted_us[number]) // 1000
        for number in accepted_us)
                    for poller in pollers}
    scenario.log_measurement(f"in force after at most, in ms: {max_delay_ms}")
    scenario.log_measurement("reverted: " + str({
        poller.instance.name: poller.reverted for poller in pollers
        if poller.reverted}))
    scenario.check("all changes are accepted", len(accepted_us) == CHANGES)
    scenario.check(f"each is in force everywhere within {PROPAGATION_S} s",
                   max(max_delay_ms.values()) <= PROPAGATION_S * 1000)
    scenario.check("no instance goes back", not any(poller.reverted
                                                    for poller in pollers))
    return 0 if scenario.passed and not any(topology.stop_instances()) else 1


main(script)
