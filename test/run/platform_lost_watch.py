"""The store's response to a watch is lost, and the connection carries nothing
more: that with a dropped route, then that with a data centre out of service.

Guards against a change that is in force too late because only the timeout of
the watch shows that its response was lost.
"""

import asyncio
import random
import time

import platformrun

# After a fault of the store has ended, it excuses late changes for this time.
EXCUSED_S = 3.0
CONFIG_S = 2.0
OUT_OF_SERVICE_S = 5.0


async def lose_watch(site, kind):
    """Loses the response to the next watch of a kind that reports changes.
    Returns when such a watch has just begun."""
    site.store.lost_watches.add(kind)
    await site.store.wait_for_watch(kind)


async def script(site):
    await lose_watch(site, "config")
    await site.configure(look=None)
    lost_at = time.monotonic()
    await asyncio.sleep(lost_at + max(EXCUSED_S, CONFIG_S) - time.monotonic())
    print("response with the dropped route was lost:",
          not site.store.lost_watches)
    print("dropped route is gone:",
          [await site.ask(i, "/look/1") for i in site.instances])
    await site.configure()
    print("route is back:",
          await site.all_return_status("/look/1", 200, CONFIG_S))

    await lose_watch(site, "evacuations")
    await site.store.put("evacuations", "a", {})
    lost_at = time.monotonic()
    await asyncio.sleep(lost_at + max(EXCUSED_S, OUT_OF_SERVICE_S)
                        - time.monotonic())
    print("response with the data centre was lost:",
          not site.store.lost_watches)
    out = {e.name for e in site.endpoints.values() if e.zone == "a"}
    since = time.monotonic()
    await asyncio.gather(*(
        site.simulate_caller("ab"[i % 2], 10, since + 2, random.Random(i))
        for i in range(8)))
    print("requests to the data centre that is out:",
          sum(len(site.executed_at(name, since)) for name in out))


platformrun.main(script, instances=4)
