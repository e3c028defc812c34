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


async def find_reader(site):
    # Returns the running instance with the most successful calls of the store.
    busiest, max_calls = None, -1
    for instance in site.instances:
        if instance.process.returncode is not None:
            continue
        calls = (await instance.metrics())[
            'peridot_store_calls_total{result="ok"}']
        if calls > max_calls:
            busiest, max_calls = instance, calls
    return busiest


async def all_return_status(site, target, wanted, timeout_s):
    """Whether each instance responds with the wanted status in time."""
    until = time.monotonic() + timeout_s
    pending = list(site.instances)
    while pending and time.monotonic() < until:
        for instance in list(pending):
            site.next_id += 1
            request_id = f"s{site.next_id}"
            site.sent[request_id] = ("GET", target, b"")
            reader, writer = await asyncio.open_connection(
                instance.ip, platform_site.FRONT)
            writer.write(platform_site.message(
                f"GET {target} HTTP/1.1",
                {"Host": "here.example", platform_site.ATTEMPT_ID: request_id,
                 platform_site.DEADLINE_MS: "1000"}))
            start_line, _, _ = await platform_site.read_message(reader)
            writer.transport.abort()
            if int(start_line.split(" ")[1]) == wanted:
                pending.remove(instance)
        await asyncio.sleep(0.05)
    return not pending


async def script(site):
    print("route is there:", await all_return_status(site, "/look/1", 200, 1))
    await site.configure(look=None)
    print("dropped route is gone:",
          await all_return_status(site, "/look/1", 404, 2))
    site.store.compact()
    await site.configure()
    print("route is back after the history was dropped:",
          await all_return_status(site, "/look/1", 200, 2))

    reader = await find_reader(site)
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
