"""The store is overloaded, unresponsive or resets connections; meanwhile two
instances are killed and restarted, and the entries of the endpoints expire.

Guards against outages of the store that clients notice, against instances that
start meanwhile and do not learn the state from the others, also when the
reader of the store has been killed, and against a flood of store requests.
"""

import asyncio
import json
import random
import signal
import time

import platformrun


async def inject_outage(site, mode, seconds):
    # Sets a fault of the store for some seconds; prints the rate of calls.
    site.store.mode = mode
    if mode == "reset":
        site.store.cut()
    before = site.store.calls
    await asyncio.sleep(seconds)
    calls = (site.store.calls - before) / seconds
    site.store.mode = None
    print(f"{mode}: calls a second",
          "at most 12" if calls <= 12 else f"{calls:.1f}")


def find_reader(site):
    """Returns the instance that logged last that it reads the store."""
    latest_readers = {}
    for instance in site.instances:
        with open(instance.log_path, encoding="utf-8") as log:
            for line in log:
                if "reads the store for all instances" in line:
                    latest_readers[json.loads(line)["time"]] = instance
    return latest_readers[max(latest_readers)]


async def inject_faults(site):
    await asyncio.sleep(0.5)
    for mode in ("busy", "silent", "reset"):
        await inject_outage(site, mode, 3.0)
        await asyncio.sleep(1.0)
    site.store.mode = "silent"
    await asyncio.sleep(0.5)
    for which, chosen in (("reader", find_reader(site)),
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
    callers = [site.simulate_caller("ab"[i % 2], 6, until, random.Random(i))
               for i in range(8)]
    await asyncio.gather(inject_faults(site), *callers)
    share = site.share("look", "book", "file")
    print("served:", "at least 0.98" if share >= 0.98
          else dict(site.outcomes))


platformrun.main(script, instances=4)
