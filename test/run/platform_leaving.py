"""An endpoint says in its responses only that it leaves, while the store is
away.

Guards against requests to it later than the drain period, and against an
endpoint that is taken out of use by a malformed statement.
"""

import asyncio
import random
import time

import platformrun
from platformrun import platform_site

# Time in which each instance gets a response of the endpoint.
TOLD_S = 1.5


async def script(site):
    until = time.monotonic() + 9.0
    callers = [site.simulate_caller("ab"[i % 2], 12, until, random.Random(i))
               for i in range(8)]

    async def change():
        await asyncio.sleep(0.5)
        site.store.mode = "silent"
        malformed = site.endpoints["i-0002"]
        malformed.leaving = "yes"
        leaving = site.endpoints["i-0001"]
        leaving.leaving = "1"
        left_at = time.monotonic() + TOLD_S + platform_site.DRAIN_S
        await asyncio.sleep(TOLD_S + platform_site.DRAIN_S)
        malformed_since = time.monotonic()
        await asyncio.sleep(3.0)
        print("requests to the endpoint that leaves:",
              len(site.executed_at(leaving.name, left_at)))
        print("the endpoint with a malformed statement is used:",
              len(site.executed_at(malformed.name, malformed_since)) > 0)
        site.store.mode = None
        # Another endpoint at the address has not said so.
        await leaving.stop()
        other = await site.add_endpoint("slots", "a", address=leaving.address)
        await asyncio.sleep(2.0)
        print("another endpoint at its address is used:",
              len(site.executed_at(other.name, 0)) > 0)

    await asyncio.gather(change(), *callers)
    print("served:", "at least 0.98"
          if site.share("look", "book", "file") >= 0.98
          else dict(site.outcomes))


platformrun.main(script, instances=3)
