"""The owner of pools and key slices is paused for longer than its ownership
lease.

Guards against a resumed owner that grants or lets a confirmation run because
it has not seen that another instance took over meanwhile.
"""

from faultrun import FaultScenario, now_us, wait_for_since, wait_until
from harness import main

REQUEST_MS = 300
RATE = 90  # requests per second and data centre
DURATION_MS = 17000
PAUSE_S = 3
# The time for a takeover is the sum of the ownership lease, the collection of
# support, the update of the record, another lease and the longest grant.
TAKEOVER_LIMIT_S = 10


def script(run):
    scenario = FaultScenario(run)
    owner, pools = scenario.saturate_data_centre("pasig", REQUEST_MS, RATE,
                                                 DURATION_MS)
    paused_us = scenario.pause(owner)
    wait_until(paused_us + PAUSE_S * 1e6, "the end of the pause")
    scenario.resume(owner)
    # The pause exceeds the ownership lease, so the record names other owners
    # of the pools; the paused one learns this from them or from the store.
    wait_for_since(paused_us, TAKEOVER_LIMIT_S, "the pools have another owner",
                   lambda: not {endpoint.name for endpoint in pools}
                   & {endpoint.name for endpoint
                      in scenario.endpoints_owned_by(owner, owner)})
    scenario.log_measurement(
        f"moved {(now_us() - paused_us) / 1e6:.1f} s after the "
        f"pause")
    scenario.wait_for_requests("the pools are served again", pools,
                               scenario.requests(pools), paused_us,
                               TAKEOVER_LIMIT_S)
    scenario.log_measurement(
        f"served {(now_us() - paused_us) / 1e6:.1f} s after the "
        f"pause")
    scenario.check("pools have another owner and are served", True)
    return scenario.finish(0.9)


main(script)
