"""The store is busy, silent, cut or loses answers; entries lapse meanwhile.
Callers notice nothing, instances that start meanwhile learn from the others,
and the store is not flooded."""

import asyncio
import random
import signal
import time

import platformrun


async def away(site, mode, seconds):
    site.store.mode = mode
    if mode == "reset":
        site.store.cut()
    before = site.store.calls
    await asyncio.sleep(seconds)
    calls = (site.store.calls - before) / seconds
    site.store.mode = None
    print(f"{mode}: calls a second",
          "at most 12" if calls <= 12 else f"{calls:.1f}")


async def faults(site):
    await asyncio.sleep(0.5)
    for mode in ("busy", "silent", "reset"):
        await away(site, mode, 3.0)
        await asyncio.sleep(1.0)
    site.store.mode = "silent"
    await asyncio.sleep(0.5)
    restarted = site.instances[1]
    await restarted.end(signal.SIGKILL)
    await restarted.start()
    await asyncio.sleep(2.0)
    status, _ = await restarted.get(8140, "/ready")
    print("started while the store is away: ready" if status == 200
          else f"started while the store is away: {status}")
    for name in list(site.store.objects["servers"]):
        await site.store.remove("servers", name)
    site.store.mode = None
    await asyncio.sleep(2.5)


async def script(site):
    until = time.monotonic() + 18.5
    callers = [site.caller("ab"[i % 2], 6, until, random.Random(i))
               for i in range(8)]
    await asyncio.gather(faults(site), *callers)
    share = site.share("look", "book", "file")
    print("served:", "at least 0.98" if share >= 0.98
          else dict(site.outcomes))


platformrun.main(script, instances=4)
