"""The owner of pools and key slices is paused for longer than the fence.

Guards against an owner that grants or lets a confirmation run after its
resume, because it has not seen that another one took over meanwhile.
"""

from faultrun import Faults, now_us, wait_left, wait_until
from harness import main

LONG_MS = 300
RATE = 90  # requests per second and data centre
DURATION_MS = 17000
PAUSE_S = 3
# Of a lease that is lost: fence, support, update, fence and longest grant.
MOVED_S = 10


def script(run):
    faults = Faults(run)
    owner, pools = faults.busy_owner("pasig", LONG_MS, RATE, DURATION_MS)
    paused_us = faults.pause(owner)
    wait_until(paused_us + PAUSE_S * 1e6, "the end of the pause")
    faults.resume(owner)
    # The pause is longer than the fence, so the record names others for the
    # pools; the owner learns it from them or from the store.
    wait_left(paused_us, MOVED_S, "the pools have another owner",
              lambda: not {endpoint.name for endpoint in pools}
              & {endpoint.name for endpoint
                 in faults.owned_endpoints(owner, owner)})
    faults.note(f"moved {(now_us() - paused_us) / 1e6:.1f} s after the pause")
    faults.wait_work("the pools are served again", pools,
                     faults.requests(pools), paused_us, MOVED_S)
    faults.note(f"served {(now_us() - paused_us) / 1e6:.1f} s after the pause")
    faults.say("pools have another owner and are served", True)
    return faults.finish(0.9)


main(script)
