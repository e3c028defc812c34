"""The reader can list the endpoints, but not read the other objects of the
store: its calls for them are reset, never answered, answered with an error or
from an older copy, and its watches are cut off.  Five instances.

Guards against a change of the configuration, or a data centre out of service,
that is in force nowhere because the instance that reads the store for all
cannot read it and does not say so.
"""

import asyncio
import random
import time

import platformrun

CONFIG_S = 2.0
OUT_OF_SERVICE_S = 5.0
OTHERS = ("config", "evacuations", "peridotrouter-instances")


async def change_in_time(site):
    """Whether a dropped route is gone at all instances in time."""
    await site.configure(look=None)
    return await site.all_return_status("/look/1", 404, CONFIG_S)


async def restore(site):
    for instance in site.instances:
        site.store.cut_off(instance, OTHERS + ("servers",), None)
    await site.configure()
    if not await site.all_return_status("/look/1", 200, 6):
        site.report_fault("the route is not back")
    await asyncio.sleep(1)


async def changes(site):
    return sum([int((await i.metrics())[
        'peridot_reader_changes_total{change="took_over"}'])
        for i in site.instances])


async def script(site):
    for name, fault in (("reset", "reset"), ("silent", "silent"),
                        ("busy", "busy"), ("older copy", site.store.copy())):
        site.store.cut_off(await site.current_reader(), OTHERS, fault)
        print(f"reader, {name}: dropped route is gone in time:",
              await change_in_time(site))
        await restore(site)

    reader = await site.current_reader()
    others = [i for i in site.instances if i is not reader]
    for instance in (reader, others[0]):
        site.store.cut_off(instance, OTHERS, "reset")
    print("reader and another one: dropped route is gone in time:",
          await change_in_time(site))
    await restore(site)

    # Only the orders of data centres out of service cannot be read.
    site.store.cut_off(await site.current_reader(), ("evacuations",), "silent")
    await site.store.put("evacuations", "a", {})
    out = {e.name for e in site.endpoints.values() if e.zone == "a"}
    since = time.monotonic() + OUT_OF_SERVICE_S
    await asyncio.gather(*(
        site.simulate_caller("ab"[i % 2], 10, since + 1, random.Random(i))
        for i in range(8)))
    print("requests to the data centre that is out:",
          sum(len(site.executed_at(name, since)) for name in out))
    await site.store.remove("evacuations", "a")
    await restore(site)

    # Nobody can list the endpoints, but the configuration can be read.
    for fault in ("busy", "silent"):
        for instance in site.instances:
            site.store.cut_off(instance, ("servers",), fault)
        await asyncio.sleep(3)
        print(f"endpoints cannot be read, {fault}: "
              "dropped route is gone in time:", await change_in_time(site))
        await restore(site)

    # Nobody can read all objects: somebody goes on with the endpoints, the
    # readers do not alternate, and calls stay few.
    for instance in site.instances:
        site.store.cut_off(instance, OTHERS, "reset")
    await asyncio.sleep(1)
    changes_before, calls_before = await changes(site), site.store.calls
    leaving = next(e for e in site.endpoints.values() if e.service == "slots")
    await leaving.drain()
    until = time.monotonic() + 5
    await asyncio.gather(*(
        site.simulate_caller("ab"[i % 2], 10, until, random.Random(i))
        for i in range(8)))
    print("all cut: changes of the reader:",
          await changes(site) - changes_before)
    # In a second, 4 attempts of the others with up to 4 calls each, and of the
    # reader 2 calls for each of 4 kinds, besides heartbeats of endpoints.
    calls = (site.store.calls - calls_before) / 5
    print("all cut: at most 48 calls of the store a second:", calls <= 48
          or calls)
    site.store.cut_off(site.instances[3], OTHERS, None)
    await site.configure(look=None)
    print("one can read all again: dropped route is gone:",
          await site.all_return_status("/look/1", 404, 5))
    print("it is the reader:",
          await site.current_reader() is site.instances[3])


platformrun.main(script, instances=5)
