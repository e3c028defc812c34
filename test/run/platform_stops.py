"""Instances are shut down gracefully and restarted, one after another, under
load.

Guards against requests that are lost in a shutdown, and against an instance
that does not end in time or does not start again.
"""

import asyncio
import random
import signal
import time

import platformrun

SHUTDOWN_LIMIT_S = 6.0


async def restart_instances(site):
    for instance in site.instances[:3]:
        began = time.monotonic()
        status = await instance.end(signal.SIGTERM)
        took = time.monotonic() - began
        print(f"{instance.name} ended with {status},",
              "in time" if took < SHUTDOWN_LIMIT_S else f"after {took:.1f} s")
        await instance.start()
        await asyncio.sleep(0.5)


async def script(site):
    until = time.monotonic() + 14
    callers = [site.simulate_caller("ab"[i % 2], 8, until, random.Random(i))
               for i in range(10)]
    await asyncio.gather(restart_instances(site), *callers)
    cut = {k: n for k, n in site.outcomes.items()
           if k[1] in ("cut", "none", 502, 504)}
    print("requests that were cut or failed:", cut or "none")
    print("served:", "at least 0.98" if site.share("look", "book", "file")
          >= 0.98 else dict(site.outcomes))


platformrun.main(script, instances=4)
