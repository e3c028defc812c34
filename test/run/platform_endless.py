"""Endpoints send bytes that are no response, in a head or a body, until the
instance closes the connection.

Guards against an instance whose memory grows with such a response, that reads
it until the deadline of the request, or that gives part of it to a client.
"""

import asyncio
import random
import time

import platformrun
import platform_site

# An instance reads at most 1 MiB of a response before it is known to belong to
# the request; the rest is what the buffers of both sockets hold.
SENT_MAX_BYTES = 8 << 20
# A stated bound far below the shortest timeout of the routes, 800 ms.
OPEN_MAX_S = 0.4
MEMORY_GROWTH_MAX_KB = 8 << 10
# Requests at the same time, and a quarter of the memory of the smallest
# machines, 160 MB.
CROWD = 200
CROWD_GROWTH_MAX_KB = 40 << 10


async def run_fault(site, name):
    # Half of the endpoints of each service send without end now and then.
    for endpoint in list(site.endpoints.values())[::2]:
        endpoint.faults = {name: 0.3}
    site.outcomes.clear()
    site.endless_sent.clear()
    before = [i.peak_memory_kb() for i in site.instances]
    # The endpoints draw at random which of some 90 requests get the fault; in
    # one of a few hundred rounds it is none.
    for _ in range(3):
        until = time.monotonic() + 2
        await asyncio.gather(*(
            site.simulate_caller("ab"[i % 2], 10, until, random.Random(i))
            for i in range(6)))
        if site.endless_sent:
            break
    for endpoint in site.endpoints.values():
        endpoint.faults = {}
    await asyncio.sleep(0.2)
    growth = max(i.peak_memory_kb() - b for i, b in zip(site.instances, before))
    sent = max(site.endless_sent, default=(0, 0))[0]
    open_s = max((s for _, s in site.endless_sent), default=0)
    print(f"{name}:", "sent" if site.endless_sent else "never sent")
    print("  memory:", "bounded" if growth <= MEMORY_GROWTH_MAX_KB
          else f"grew by {growth} KB")
    print("  accepted:", "at most 8 MB" if sent <= SENT_MAX_BYTES
          else f"{sent} bytes")
    print("  closed:", "soon" if open_s <= OPEN_MAX_S
          else f"after {open_s:.2f} s")
    print("  repeatable requests:", "at least 0.9"
          if site.share("look") >= 0.9 else dict(site.outcomes))


async def run_crowd(site, name):
    """All endpoints of a service send without end in response to as many
    requests as they take at a time; another service has to be served."""
    before = site.instances[0].peak_memory_kb()
    for endpoint in site.endpoints.values():
        if endpoint.service == "slots":
            endpoint.faults = {name: 1.0}
            # The responses grow side by side.
            endpoint.endless_pause_s = 0.01
    site.outcomes.clear()

    async def send(kind):
        streams = await asyncio.open_connection(site.instances[0].ip,
                                                platform_site.FRONT)
        try:
            await site.request(*streams, kind)
        finally:
            streams[1].transport.abort()

    await asyncio.gather(*(send("book") for _ in range(CROWD)),
                         *(send("file") for _ in range(4)))
    growth = site.instances[0].peak_memory_kb() - before
    print(f"crowd, {name}:", "bounded" if growth <= CROWD_GROWTH_MAX_KB
          else f"grew by {growth} KB")
    print("  other service:", "at least 0.9" if site.share("file") >= 0.9
          else dict(site.outcomes))
    for endpoint in site.endpoints.values():
        endpoint.faults, endpoint.endless_pause_s = {}, 0


async def script(site):
    for endpoint in range(4):
        await site.add_endpoint("slots", "a", slots=CROWD // 4, work=0.3)
    await asyncio.sleep(1.5)
    await run_crowd(site, "endless body of a failure")
    await asyncio.sleep(1.0)
    for name in platform_site.ENDLESS:
        await run_fault(site, name)
    failed = sum([(await i.metrics())["peridot_endless_responses_total"]
                  for i in site.instances])
    print("counted:", failed > 0)
    print("no instance was restarted:",
          all(i.process.returncode is None for i in site.instances))


platformrun.main(script, instances=2)
