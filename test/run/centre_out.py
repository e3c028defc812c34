"""A data centre is taken out while instances are cut off, paused, or without
the store.

Guards against an instance that goes on sending work to the data centre
because it has not heard of the change, and against a return without a ramp.
"""

from faultrun import THREE_CENTRES, Faults, now_us, wait_until
from harness import main
from topology import StoreLinks

RATE = 90  # requests per second and data centre
DURATION_MS = 17000
LEAVING = "pasig"
OUT_S = 3
PAUSE_S = 3.5


def script(run):
    faults = Faults(run, THREE_CENTRES, StoreLinks, ("--cold-ms", 500))
    topology = faults.topology
    faults.load(RATE, DURATION_MS)
    leaving = topology.in_data_centre(LEAVING)
    cut_off = topology.instances[-1]
    accepting = topology.instances[0]
    # An owner, but not of the pool that has to stop being used: its work
    # would end with the pause.
    granting = faults.owner(LEAVING)
    paused = next(instance for instance in topology.instances
                  if instance.data_centre == LEAVING
                  and instance not in (cut_off, accepting, granting))
    far = next(instance for instance in topology.instances
               if instance.data_centre != accepting.data_centre
               and instance not in (cut_off, paused))
    for one, other in ((accepting, far), (far, accepting)):
        topology.proxy.control(topology.link(one, other), cut=True)
    topology.stores.control(cut_off.name, cut=True)
    faults.pause(paused)
    # Marked before the command: what arrives later than 3 s after the mark
    # counts as late.
    for endpoint in leaving:
        endpoint.control(mark="out")
    topology.operate(f"/v1/data-centres/{LEAVING}/out", accepting)
    out_us = now_us()
    wait_until(out_us + PAUSE_S * 1e6, "the end of the pause")
    faults.resume(paused)
    # The paused process has to learn of the change before it sends.
    wait_until(out_us + (PAUSE_S + 1.5) * 1e6, "work of the resumed process")
    faults.say_left(leaving, OUT_S)
    topology.stores.control(cut_off.name, cut=False)
    for one, other in ((accepting, far), (far, accepting)):
        topology.proxy.control(topology.link(one, other), cut=False)
    # A server that has been idle is cold when work returns.
    for endpoint in leaving:
        endpoint.control(mark="in", cold=True)
    before = faults.requests(leaving)
    topology.operate(f"/v1/data-centres/{LEAVING}/in", accepting)
    faults.wait_work("the data centre gets work again", leaving, before)
    faults.say("the data centre gets work again", True)
    return faults.finish(0.8)


main(script)
