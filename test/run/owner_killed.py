"""The owner of pools and key slices is killed under load.

Guards against a successor that grants while requests of the killed owner's
grants still run, against a confirmation that runs again because its key was
lost with the owner, and against pools that stay without an owner.
"""

from faultrun import MAX_GRANT_AGE_S, FaultScenario, now_us, wait_until
from harness import main

LONG_MS = 300
RATE = 90  # requests per second and data centre
DURATION_MS = 16000
SERVED_AGAIN_S = 10


def script(run):
    scenario = FaultScenario(run)
    owner, pools = scenario.saturate_data_centre("pasig", LONG_MS, RATE, DURATION_MS)
    killed_us = scenario.kill(owner)
    wait_until(killed_us + MAX_GRANT_AGE_S * 1e6, "the grants have expired")
    scenario.wait_for_requests("the pools are served again", pools,
                               scenario.requests(pools), killed_us, SERVED_AGAIN_S)
    again_s = (now_us() - killed_us) / 1e6
    scenario.note(f"served again after {again_s:.1f} s")
    scenario.check(f"pools are served again within {SERVED_AGAIN_S} s",
                   again_s <= SERVED_AGAIN_S)
    return scenario.finish(0.9)


main(script)
