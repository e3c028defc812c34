"""Endpoints end when they get a certain request, which callers send again and
again to both instances; one instance is killed and started in between.  Then
the same with a request that must not be repeated.  At last, endpoints end for
another reason.

Guards against a request that ends one endpoint after another, and against
other requests that are refused because endpoints have ended.
"""

import asyncio
import random
import signal
import time

import platformrun
from platformrun import platform_site

# All instances and requests together.
ENDINGS_MAX = 3
INTERVAL_S = 0.05
SENDING_S = 2.0
SUSPECT = 'peridot_routed_total{outcome="suspect"}'


async def send_deadly(site, instance, method, target):
    """Returns the status, or "cut"."""
    site.next_id += 1
    request_id = f"d{site.next_id}"
    body = b"x" if method == "POST" else b""
    site.sent[request_id] = (method, target, body)
    reader, writer = await asyncio.open_connection(instance.ip,
                                                   platform_site.FRONT)
    try:
        writer.write(platform_site.message(
            f"{method} {target} HTTP/1.1",
            {"Host": "here.example", platform_site.ATTEMPT_ID: request_id,
             platform_site.DEADLINE_MS: "1500"}, body))
        start_line, _, _ = await platform_site.read_message(reader)
        status = int(start_line.split(" ")[1])
        if status == 503 and site.runs.get(request_id):
            site.report_fault(f"refused after execution: {request_id}")
        return status
    except (platform_site.MessageError, ConnectionError, OSError):
        return "cut"
    finally:
        writer.transport.abort()


async def send_repeatedly(site, method, target):
    """Sends a deadly request for a time.  Returns the number of endpoints that
    have ended, and the statuses of the last requests."""
    statuses, tasks = [], []
    until = time.monotonic() + SENDING_S
    while time.monotonic() < until:
        tasks.append(asyncio.create_task(send_deadly(
            site, site.instances[len(tasks) % 2], method, target)))
        await asyncio.sleep(INTERVAL_S)
    statuses = await asyncio.gather(*tasks)
    return len(site.ended[target]), sorted(set(statuses[-10:]))


def report(what, endings, statuses):
    print(f"{what}:", "some endpoints ended, at most 3"
          if 0 < endings <= ENDINGS_MAX else f"{endings} endpoints ended",
          "and the last requests got", statuses)


async def count_refused(site):
    return sum([(await i.metrics())[SUSPECT] for i in site.instances])


async def script(site):
    site.deadly = {"/look/deadly", "/book/deadly"}
    stop = [time.monotonic() + 3600]

    async def call(zone, seed):
        rng = random.Random(seed)
        while time.monotonic() < stop[0]:
            await site.simulate_caller(zone, 10, time.monotonic() + 1, rng)

    callers = [asyncio.create_task(call("ab"[i % 2], i)) for i in range(4)]
    await asyncio.sleep(1)
    report("repeatable", *await send_repeatedly(site, "GET", "/look/deadly"))

    before = len(site.ended["/look/deadly"])
    await site.instances[1].end(signal.SIGKILL)
    await site.instances[1].start()
    await site.wait_until_ready()
    statuses = {await send_deadly(site, site.instances[1], "GET",
                                  "/look/deadly") for _ in range(5)}
    print("after the restart:", len(site.ended["/look/deadly"]) - before,
          "endpoints ended and the requests got", statuses)
    report("not repeatable", *await send_repeatedly(site, "POST",
                                                    "/book/deadly"))

    print("refused:", await count_refused(site) > 0)
    refused = await count_refused(site)
    for endpoint in [e for e in site.endpoints.values()
                     if e.server.is_serving() and e.service == "slots"][:4]:
        await asyncio.sleep(0.2)
        await endpoint.stop(forget=False)
    await asyncio.sleep(1)
    stop[0] = 0
    await asyncio.gather(*callers)
    print("refused when endpoints ended for another reason:",
          int(await count_refused(site) - refused))
    print("other requests:", "at least 0.95 served"
          if site.share("look", "file") >= 0.95 else dict(site.outcomes))


platformrun.main(script, instances=2, endpoints={"slots": 14, "files": 2})
