"""A route is removed, the store's history is compacted, an endpoint leaves,
the reader of the store is killed, and a data centre is taken out of service.

Guards against a change that is not in force at every instance within two
seconds.
"""

import asyncio
import random
import signal
import time

import platformrun
from platformrun import platform_site


async def script(site):
    print("route is there:", await site.all_return_status("/look/1", 200, 1))
    await site.configure(look=None)
    print("dropped route is gone:",
          await site.all_return_status("/look/1", 404, 2))
    site.store.compact()
    await site.configure()
    print("route is back after the history was dropped:",
          await site.all_return_status("/look/1", 200, 2))

    reader = await site.find_reader()
    leaving = site.endpoints["i-0001"]
    until = time.monotonic() + 5
    callers = [site.simulate_caller("ab"[i % 2], 10, until, random.Random(i))
               for i in range(8)]

    async def change():
        await asyncio.sleep(0.5)
        await leaving.drain()
        await reader.end(signal.SIGKILL)
        await asyncio.sleep(2.0)
        print("nothing more for the endpoint that left:",
              not any(name == leaving.name and at > leaving.drained_at + 2
                      for runs in site.runs.values() for at, name in runs))
        await site.store.put("evacuations", "a", {})
        await asyncio.sleep(2.0)
        taken_out_at = time.monotonic()
        await asyncio.sleep(0.5)
        taken_out = {e.name for e in site.endpoints.values()
                     if e.zone == "a"}
        print("nothing for the data centre that is out:", not any(
            name in taken_out and at > taken_out_at
            for runs in site.runs.values() for at, name in runs))

    await asyncio.gather(change(), *callers)
    await reader.start()
    await site.wait_until_ready()
    print("the killed reader is ready again:",
          (await reader.get(platform_site.READY, "/ready"))[0] == 200)


platformrun.main(script, instances=4)
