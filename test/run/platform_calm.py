"""A site without faults: all responses are whole, and the store gets few
requests."""

import asyncio
import random
import time

import platformrun

SECONDS = 6


async def script(site):
    before = site.store.calls
    began = time.monotonic()
    until = began + SECONDS
    await asyncio.gather(*(
        site.simulate_caller("ab"[i % 2], 8, until, random.Random(i))
        for i in range(10)))
    calls = (site.store.calls - before) / (time.monotonic() - began)
    print("whole answers: all" if site.share("look", "book", "file") == 1.0
          else f"whole answers: {dict(site.outcomes)}")
    # The limit is 8 calls a second for all instances together.
    print("store calls a second: at most 8" if calls <= 8
          else f"store calls a second: {calls:.1f}")
    metrics = [await i.metrics() for i in site.instances]
    print("one instance reads the store:", sum(
        m['peridot_store_calls_total{result="ok"}'] > SECONDS
        for m in metrics) == 1)
    answered = sum(m['peridot_routed_total{outcome="answered"}']
                   for m in metrics)
    print("metrics count the answers:",
          answered == sum(site.outcomes.values()))
    status, _ = await site.instances[0].get(8144, "/look/1")
    print("without a host:", status)


platformrun.main(script, instances=4)
