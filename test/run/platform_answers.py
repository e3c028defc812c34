"""Endpoints lose, corrupt or duplicate their responses, shed requests, or are
replaced by others at the same address.

Guards against a client that gets a corrupt response, the response to another
request, or a refusal of a request that an endpoint executed, and against a
second execution of a request because the endpoint sends a refusal that is not
its.
"""

import asyncio
import random
import time

import platformrun


async def run_load(site, name, seconds=3):
    # Sends requests with the faults that were set, then ends the faults and
    # prints the share of whole responses.
    site.outcomes.clear()
    until = time.monotonic() + seconds
    await asyncio.gather(*(
        site.simulate_caller("ab"[i % 2], 10, until, random.Random(i))
        for i in range(8)))
    for endpoint in site.endpoints.values():
        endpoint.faults = {}
    print(f"{name}: repeatable requests",
          "at least 0.9" if site.share("look") >= 0.9
          else dict(site.outcomes))


async def script(site):
    for fault in ("lost", "short", "extra", "late", "unframed", "errors", "rot",
                  "head", "refusal", "nameless"):
        for endpoint in list(site.endpoints.values())[:2]:
            endpoint.faults = {fault: 0.3}
        await run_load(site, fault)
    for endpoint in list(site.endpoints.values())[:2]:
        endpoint.slots, endpoint.queue = 3, -3
    await run_load(site, "shed")
    for endpoint in site.endpoints.values():
        endpoint.queue = 6
    first = site.endpoints["i-0001"]
    await first.stop(forget=False)
    other = await site.add_endpoint("files", "a", address=first.address)
    await run_load(site, "address used again")
    await site.store.remove("servers", first.name)
    site.endpoints["i-0002"].faults = {"silent": 1}
    await run_load(site, "silent endpoint")
    for endpoint in site.endpoints.values():
        endpoint.reports_load = False
    await run_load(site, "load not stated")
    print("the new endpoint runs requests:", any(
        name == other.name for runs in site.runs.values()
        for _, name in runs))


platformrun.main(script, instances=3)
