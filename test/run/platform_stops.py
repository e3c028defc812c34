"""Planned stops one after another while callers go on: nothing is lost, and
each instance ends in time and comes back."""

import asyncio
import random
import signal
import time

import platformrun

GRACE_S = 6.0


async def roll(site):
    for instance in site.instances[:3]:
        began = time.monotonic()
        status = await instance.end(signal.SIGTERM)
        took = time.monotonic() - began
        print(f"{instance.name} ended with {status},",
              "in time" if took < GRACE_S else f"after {took:.1f} s")
        await instance.start()
        await asyncio.sleep(0.5)


async def script(site):
    until = time.monotonic() + 14
    callers = [site.caller("ab"[i % 2], 8, until, random.Random(i))
               for i in range(10)]
    await asyncio.gather(roll(site), *callers)
    cut = {k: n for k, n in site.outcomes.items()
           if k[1] in ("cut", "none", 502, 504)}
    print("requests that were cut or failed:", cut or "none")
    print("served:", "at least 0.98" if site.share("look", "book", "file")
          >= 0.98 else dict(site.outcomes))


platformrun.main(script, instances=4)
