"""All endpoints of a service state a limit of requests per second, while
callers ask for much more, an instance is killed and another one is paused.

Guards against an endpoint that gets more than it has stated: from instances
that have seen its limit, from those that have only been told, and from those
that start or resume meanwhile.  Also guards against requests that wait although
no limit will allow them in time, and against a limit that outlasts its
statement.
"""

import asyncio
import random
import signal
import time

import platformrun
from platformrun import platform_site

# Time after which all instances should know of a limit.
TOLD_S = 1.0
CALLERS = 24
REQUESTS_PER_S = 8


def set_limit(site, value, limit_in=("probe", "request")):
    for endpoint in site.endpoints.values():
        if endpoint.service == "slots":
            endpoint.limit, endpoint.limit_in = value, limit_in


def check(site, title, limit, since, until):
    """Prints whether the endpoints got no more than the platform allows, and
    how much of the limit was used."""
    found = [site.executed_at(e.name, since) for e in site.endpoints.values()
             if e.service == "slots"]
    allowed = platform_site.allowed_in_window(limit)
    worst = max(platform_site.most_in_window(times) for times in found)
    print(f"{title}: at most {allowed:.0f} requests in 4 s:", worst <= allowed
          or worst)
    served = sum(len(times) for times in found)
    capacity = limit * len(found) * (until - since)
    if capacity > 0:
        print(f"{title}: most of the limit is used:",
              0.75 <= served / capacity <= 1.25 or served / capacity)


async def play(site, seconds, disturb=None):
    """Runs callers for a time; returns its start and end, the start being the
    time from which all instances should know of a limit."""
    since = time.monotonic() + TOLD_S
    until = since + seconds
    callers = [site.simulate_caller("ab"[i % 2], REQUESTS_PER_S, until,
                                    random.Random(i))
               for i in range(CALLERS)]
    await asyncio.gather(*callers, *([disturb()] if disturb else []))
    return since, until


async def script(site):
    set_limit(site, "2.0")
    since, until = await play(site, 6)
    check(site, "in all responses", 2.0, since, until)
    waits = sorted(duration for began, duration, _ in site.refusals
                   if began > since)
    print("requests that no limit allows are refused at once:",
          waits[len(waits) // 2] < 0.1 or waits[len(waits) // 2])
    print("refusals say when to come back:",
          all(0.01 <= after <= 2.0 for began, _, after in site.refusals
              if began > since) or
          sorted({after for _, _, after in site.refusals})[:5])

    set_limit(site, "1.5", ("request",))

    async def disturb():
        killed, paused = site.instances[1], site.instances[4]
        await asyncio.sleep(2.5)
        await killed.end(signal.SIGKILL)
        paused.signal_process(signal.SIGSTOP)
        await killed.start()
        await asyncio.sleep(2.5)
        paused.signal_process(signal.SIGCONT)

    since, until = await play(site, 7, disturb)
    check(site, "in responses to requests, with faults", 1.5, since, until)

    set_limit(site, "0")
    since, until = await play(site, 5)
    check(site, "a limit of 0", 0.0, since, until)

    set_limit(site, None)
    for endpoint in site.endpoints.values():
        endpoint.faults.clear()
    await play(site, 1)
    site.outcomes.clear()
    set_limit(site, "-3")
    await play(site, 2)
    print("after the end of the limit, with malformed ones, requests are "
          "served:", site.share("look", "book") > 0.95 or dict(site.outcomes))


platformrun.main(script, instances=6, endpoints={"slots": 6, "files": 2})
