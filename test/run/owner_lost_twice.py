"""An owner is killed while the store is down, just after a data centre was
taken out of service.

Guards against the loss of that change, or of idempotency keys, when the three
events coincide.
"""

from faultrun import FaultScenario, now_us, wait_until
from harness import main
from outage import Confirmations

RATE = 70  # requests per second and data centre
DURATION_MS = 13000
LEAVING = "pasig"
KEYS = 20
OUT_S = 3


def script(run):
    scenario = FaultScenario(run)
    topology = scenario.topology
    scenario.start_load(RATE, DURATION_MS)
    endpoints = topology.endpoints_in(LEAVING)
    owner = scenario.owner("quezon")
    first, second = [instance for instance in topology.instances
                     if instance is not owner][:2]
    confirmations = Confirmations("together", KEYS)
    for key in confirmations.keys:
        confirmations.send(owner, key)
    for endpoint in endpoints:
        endpoint.control(mark="out")
    topology.put_admin(f"/v1/data-centres/{LEAVING}/out", first)
    out_us = now_us()
    topology.platform.faults(down=True)
    scenario.kill(owner)
    for key in confirmations.keys:
        confirmations.send(first, key)
        confirmations.send(second, key)
    wait_until(out_us + (OUT_S + 3) * 1e6, "the end of the observation")
    scenario.check_no_late_requests(endpoints, OUT_S)
    scenario.check("repeats get the recorded answer or unknown, and none runs "
                   "again",
                   confirmations.is_consistent(scenario.starts_by_key()))
    topology.platform.faults(down=False)
    pools = topology.endpoints_in("quezon")
    scenario.wait_for_requests("the pools are served when the store is back",
                               pools,
                               scenario.requests(pools), now_us(), 10)
    scenario.check("the pools are served within 10 s of the store's return",
                   True)
    return scenario.finish(0.7)


main(script)
