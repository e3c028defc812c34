"""Endpoints refuse requests and ask for no more for a time.

Guards against requests to an endpoint in the time for which it has asked, and
against callers that wait, or come back at the same moment, while all endpoints
of their service have asked for time.
"""

import asyncio
import random
import time

import platformrun

ASKED_S = 3.0
REACTION_S = 0.5
INSTANCES = 3


def most_in_asked_time(refused_at):
    """Returns the largest number of requests that arrived in the time for
    which a refusal has asked, but for the reaction time."""
    return max((sum(at + REACTION_S < other < at + ASKED_S
                    for other in refused_at) for at in refused_at), default=0)


async def script(site):
    until = time.monotonic() + 14.0
    callers = [site.simulate_caller("ab"[i % 2], 12, until, random.Random(i))
               for i in range(8)]

    async def change():
        await asyncio.sleep(0.5)
        one = site.endpoints["i-0001"]
        one.declines = ASKED_S
        await asyncio.sleep(6.0)
        one.declines = None
        print("refusals of one endpoint:", len(one.declined_at) > 0)
        # Each instance may send once more when the time is over.
        print("in the time that it has asked for, at most two an instance:",
              most_in_asked_time(one.declined_at) <= 2 * INSTANCES)
        files = [e for e in site.endpoints.values() if e.service == "files"]
        for endpoint in files:
            endpoint.declines = ASKED_S
        await asyncio.sleep(1.0)
        since = len(site.refusals)
        began = time.monotonic()
        await asyncio.sleep(1.5)
        found = site.refusals[since:]
        print("refused meanwhile:", len(found) > 5)
        print("at once:", all(took < 0.2 for _, took, _ in found))
        print("with a time after which the endpoints take requests again:",
              all(at + after > began + ASKED_S - 1.2
                  for at, _, after in found))
        returns = sorted(at + after for at, _, after in found)
        print("spread over more than 0.2 s:",
              bool(returns) and returns[-1] - returns[0] > 0.2)
        for endpoint in files:
            endpoint.declines = None
        for value in ("-1", "soon", "Fri, 31 Dec 2027 23:59:59 GMT", "1e999",
                      "nan"):
            for endpoint in files:
                endpoint.declines = value
            await asyncio.sleep(0.2)
        for endpoint in files:
            endpoint.declines = None

    await asyncio.gather(change(), *callers)
    site.outcomes.clear()
    until = time.monotonic() + 2.0
    await asyncio.gather(*(
        site.simulate_caller("ab"[i % 2], 12, until, random.Random(i))
        for i in range(8)))
    print("served afterwards:", "at least 0.98"
          if site.share("look", "book", "file") >= 0.98
          else dict(site.outcomes))


platformrun.main(script, instances=INSTANCES)
