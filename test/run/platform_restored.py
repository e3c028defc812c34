"""The store is restored from an older copy, and more than half of the
instances, the reader among them, are killed.

Guards against a configuration that is not in force in time at instances that
were not killed: to them the announcements of the new reader have an older
store revision than they know.
"""

import asyncio
import signal

import platformrun
from platformrun import platform_site

LOST_CHANGES = 60


def route(prefix):
    return {"host": "here.example", "path-prefix": prefix, "kind": "safe",
            "service": "slots", "timeout-s": 1.5, "target-latency-s": 0.3,
            "priority": 2, "max-attempts": 2}


async def in_force(site, name):
    return await site.all_return_status(f"/{name}/1", 200,
                                        platform_site.CONFIG_S)


async def script(site):
    first, second, third = (route(f"/{n}/") for n in ("one", "two", "three"))
    await site.configure(one=first)
    print("first route in force:", await in_force(site, "one"))
    copy = site.store.copy()
    for n in range(LOST_CHANGES):
        await site.store.put("notes", f"note-{n}", {})
    await site.configure(one=first, two=second)
    print("second route in force:", await in_force(site, "two"))
    # The reader lists the endpoints, and learns the revision, each 600 ms.
    await asyncio.sleep(1.0)
    reader = await site.find_reader()
    killed = [reader] + [i for i in site.instances if i is not reader][:2]

    site.store.mode = "reset"
    site.store.cut()
    await asyncio.sleep(0.7)
    lost_config = site.store.objects["config"]["main"]["spec"]
    site.store.restore(copy)
    site.store.mode = None
    await asyncio.sleep(0.5)
    await site.store.put("config", "main", lost_config)
    await asyncio.sleep(0.8)
    for instance in killed:
        await instance.end(signal.SIGKILL)
    # The new reader does not know the version before, so that it announces
    # only the number of the version and not what has changed.
    await site.configure(one=first, two=second, three=third)
    for instance in killed:
        await instance.start()
    await site.wait_until_ready()
    print("third route in force after the restore:",
          await in_force(site, "three"))
    print("second route still in force:", await in_force(site, "two"))


platformrun.main(script, instances=5)
