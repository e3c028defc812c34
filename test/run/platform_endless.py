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


async def run_fault(site, name):
    # Half of the endpoints of each service send without end now and then.
    for endpoint in list(site.endpoints.values())[::2]:
        endpoint.faults = {name: 0.3}
    site.outcomes.clear()
    site.endless_sent.clear()
    before = [i.peak_memory_kb() for i in site.instances]
    until = time.monotonic() + 2
    await asyncio.gather(*(
        site.simulate_caller("ab"[i % 2], 10, until, random.Random(i))
        for i in range(6)))
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


async def script(site):
    for name in platform_site.ENDLESS:
        await run_fault(site, name)
    failed = sum([(await i.metrics())["peridot_endless_responses_total"]
                  for i in site.instances])
    print("counted:", failed > 0)
    print("no instance was restarted:",
          all(i.process.returncode is None for i in site.instances))


platformrun.main(script, instances=2)
