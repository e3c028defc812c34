"""The machine that keeps the account of a tenant's allowance is lost while the
tenant asks for more than its allowance."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from common_2 import TROUBLE, main, signal  # noqa: E402

MACHINES = 135
TENANT, KEY = "shop", "shop-key"
RATE_PER_S, BURST = 10, 10
# The bounds of the site with allowances.
WINDOW_S, OVERSHOOT, SLACK = 5, 0.1, 20
# The site file: allowances are 1.6 times what tenants usually send, and a hot
# tenant sends at most 8.3 times its usual, over all machines alike.
ASKED_PER_S = RATE_PER_S / 1.6 * 8.3
LENGTH_S = 12
LOST_AT_S = 6
ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK


def weight(machine):
    """Weight of a machine for the tenant; the one with the highest keeps the
    tenant's account (relay_find_keeper() in lib/fleet/relay_permit.c)."""
    value = 5381
    for byte in f"{machine}/{TENANT}".encode():
        value = (value * 33 + byte) & 0xffffffff
    return value * 2654435761 & 0xffffffff


async def script(site, record):
    site.tenants = {TENANT: {"api-keys": [KEY], "priority": 0,
                             "rate-per-s": RATE_PER_S, "burst": BURST}}
    await site.configure()
    await asyncio.sleep(4.0)
    keeper = max(site.instances, key=lambda i: weight(i.name))
    live = list(site.instances)
    rng = random.Random(1)
    outcomes = {}

    async def ask():
        try:
            status = await asyncio.wait_for(site.ask(
                rng.choice(live), "/look/1",
                [f"Authorization: Bearer {KEY}"]), 5)
        except Exception as error:  # pylint: disable=broad-except
            status = type(error).__name__
        outcomes[status] = outcomes.get(status, 0) + 1

    record.write(f"{MACHINES} machines; the tenant may have {RATE_PER_S} "
                 f"requests a second and {BURST} more, and asks for "
                 f"{ASKED_PER_S:.1f} a second")
    began = time.monotonic()
    asked = []
    while time.monotonic() < began + LENGTH_S:
        asked.append(asyncio.create_task(ask()))
        if TROUBLE and keeper in live \
                and time.monotonic() > began + LOST_AT_S:
            record.write(f"{keeper.name} is lost for good")
            live.remove(keeper)
            keeper.stopping = True
            keeper.process.send_signal(signal.SIGKILL)
        await asyncio.sleep(1 / ASKED_PER_S)
    await asyncio.gather(*asked)
    runs = sorted(at for found in site.runs.values() for at, _ in found)
    for at in runs:
        record.write(f"an endpoint ran a request of the tenant at "
                     f"{at - began:.3f} s")
    most, first = max((sum(at <= other < at + WINDOW_S for other in runs), at)
                      for at in runs)
    record.write(f"answers: {outcomes}")
    record.write(f"{most} requests ran in the {WINDOW_S} s from "
                 f"{first - began:.1f} s on; allowed are {ALLOWED:.1f}")
    return most > ALLOWED


main(script, FOLDER, instances=MACHINES, bounds={
    "quota-window-s": WINDOW_S, "quota-overshoot": OVERSHOOT,
    "quota-slack": SLACK})
