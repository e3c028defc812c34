"""A data centre is taken out of service while instances are disconnected from
each other or from the store, or paused.

Guards against an instance that goes on sending work to the data centre because
it has not heard of the change, and against a return without a slow start.
"""

from faultrun import THREE_CENTRES, FaultScenario, now_us, wait_until
from harness import main
from topology import StoreProxyTopology

RATE = 90  # requests per second and data centre
DURATION_MS = 17000
LEAVING = "pasig"
# No request may reach the data centre later than this after the command.
OUT_S = 3
PAUSE_S = 3.5


def script(run):
    scenario = FaultScenario(run, THREE_CENTRES, StoreProxyTopology,
                             ("--cold-ms", 500))
    topology = scenario.topology
    scenario.start_load(RATE, DURATION_MS)
    endpoints = topology.endpoints_in(LEAVING)
    disconnected = topology.instances[-1]
    accepting = topology.instances[0]
    # The paused instance must not own the data centre's first booking pool:
    # during the pause, no instance could send requests to that pool.
    pool_owner = scenario.owner(LEAVING)
    paused = next(instance for instance in topology.instances
                  if instance.data_centre == LEAVING
                  and instance not in (disconnected, accepting, pool_owner))
    remote = next(instance for instance in topology.instances
                  if instance.data_centre != accepting.data_centre
                  and instance not in (disconnected, paused))
    for one, other in ((accepting, remote), (remote, accepting)):
        topology.peer_proxy.control(topology.link_name(one, other), cut=True)
    topology.store_proxy.control(disconnected.name, cut=True)
    scenario.pause(paused)
    # The mark is set before the command: requests that arrive later than 3 s
    # after the mark count as late.
    for endpoint in endpoints:
        endpoint.control(mark="out")
    topology.put_admin(f"/v1/data-centres/{LEAVING}/out", accepting)
    out_us = now_us()
    wait_until(out_us + PAUSE_S * 1e6, "the end of the pause")
    scenario.resume(paused)
    # The resumed process must learn of the change before it sends requests.
    wait_until(out_us + (PAUSE_S + 1.5) * 1e6, "work of the resumed process")
    scenario.check_no_late_requests(endpoints, OUT_S)
    topology.store_proxy.control(disconnected.name, cut=False)
    for one, other in ((accepting, remote), (remote, accepting)):
        topology.peer_proxy.control(topology.link_name(one, other), cut=False)
    # A backend server that has been idle is cold when requests return.
    for endpoint in endpoints:
        endpoint.control(mark="in", cold=True)
    before = scenario.requests(endpoints)
    topology.put_admin(f"/v1/data-centres/{LEAVING}/in", accepting)
    scenario.wait_for_requests("the data centre gets work again", endpoints,
                               before)
    scenario.check("the data centre gets work again", True)
    return scenario.finish(0.8)


main(script)
