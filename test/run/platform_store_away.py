"""The store is busy, silent, cut or loses answers; entries lapse meanwhile.
Callers notice nothing, instances that start meanwhile learn from the others,
also when the one that read the store for all is gone, and the store is not
flooded."""

import asyncio
import json
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


def reader(site):
    """The instance that said last that it reads the store."""
    since = {}
    for instance in site.instances:
        with open(instance.log_path, encoding="utf-8") as log:
            for line in log:
                if "reads the store for all instances" in line:
                    since[json.loads(line)["time"]] = instance
    return since[max(since)]


async def faults(site):
    await asyncio.sleep(0.5)
    for mode in ("busy", "silent", "reset"):
        await away(site, mode, 3.0)
        await asyncio.sleep(1.0)
    site.store.mode = "silent"
    await asyncio.sleep(0.5)
    for which, chosen in (("reader", reader(site)),
                          ("other", site.instances[1])):
        await chosen.end(signal.SIGKILL)
        await chosen.start()
        await asyncio.sleep(2.0)
        status, _ = await chosen.get(8140, "/ready")
        print(f"{which} started while the store is away:",
              "ready" if status == 200 else status)
    for name in list(site.store.objects["servers"]):
        await site.store.remove("servers", name)
    site.store.mode = None
    await asyncio.sleep(2.5)


async def script(site):
    until = time.monotonic() + 20.5
    callers = [site.caller("ab"[i % 2], 6, until, random.Random(i))
               for i in range(8)]
    await asyncio.gather(faults(site), *callers)
    share = site.share("look", "book", "file")
    print("served:", "at least 0.98" if share >= 0.98
          else dict(site.outcomes))


platformrun.main(script, instances=4)
