"""The owner of pools and key slices is killed under load.

Guards against a successor that grants while requests under grants of the
killed owner still run, against a confirmation that runs again because its key
was lost with the owner, and against pools that stay without an owner.
"""

from faultrun import GRANT_S, FaultScenario, now_us, wait_until
from harness import main

REQUEST_MS = 300
RATE = 90  # requests per second and data centre
DURATION_MS = 16000
TAKEOVER_LIMIT_S = 10


def script(run):
    scenario = FaultScenario(run)
    owner, pools = scenario.saturate_data_centre("pasig", REQUEST_MS, RATE,
                                                 DURATION_MS)
    killed_us = scenario.kill(owner)
    wait_until(killed_us + GRANT_S * 1e6, "the grants have expired")
    scenario.wait_for_requests("the pools are served again", pools,
                               scenario.requests(pools), killed_us,
                               TAKEOVER_LIMIT_S)
    takeover_s = (now_us() - killed_us) / 1e6
    scenario.log_measurement(f"served again after {takeover_s:.1f} s")
    scenario.check(f"pools are served again within {TAKEOVER_LIMIT_S} s",
                   takeover_s <= TAKEOVER_LIMIT_S)
    return scenario.finish(0.9)


main(script)
