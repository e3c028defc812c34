"""A route is split between two services.  Versions of the configuration that
change no weight arrive after every few requests.

Guards against shares that are off their weights because each version starts
the division of the requests anew, with the heavier service first.
"""

import asyncio

import platformrun
from platformrun import platform_site

WEIGHTS = {"slots": 75, "files": 25}
VERSIONS = 25
REQUESTS_PER_VERSION = 2
# The largest difference of a share from its weight that the platform allows
# in 300 requests or more.
SHARE_ERROR_MAX = 0.1


def split_route(timeout_s):
    return {"host": "here.example", "path-prefix": "/split/", "kind": "safe",
            "traffic-split": [{"service": name, "weight": weight}
                              for name, weight in WEIGHTS.items()],
            "timeout-s": timeout_s, "target-latency-s": 0.3, "priority": 2,
            "max-attempts": 2}


async def send(site, instance):
    """Sends a request of the split route; returns its status."""
    site.next_id += 1
    request_id = f"w{site.next_id}"
    target = f"/split/{site.next_id}"
    site.sent[request_id] = ("GET", target, b"")
    reader, writer = await asyncio.open_connection(instance.ip,
                                                   platform_site.FRONT)
    try:
        writer.write(platform_site.message(
            f"GET {target} HTTP/1.1",
            {"Host": "here.example", platform_site.ATTEMPT_ID: request_id,
             platform_site.DEADLINE_MS: "1500"}))
        start_line, _, _ = await platform_site.read_message(reader)
        return int(start_line.split(" ")[1])
    finally:
        writer.transport.abort()


async def script(site):
    site.services["split"] = tuple(WEIGHTS)
    await site.configure(split=split_route(1.5))
    for instance in site.instances:
        while await send(site, instance) != 200:
            await asyncio.sleep(0.05)
    site.runs.clear()
    for version in range(VERSIONS):
        # Only the timeout of the route changes.
        await site.configure(split=split_route(1.0 + version / 100))
        await asyncio.sleep(0.15)
        await asyncio.gather(*(send(site, instance)
                               for instance in site.instances
                               for _ in range(REQUESTS_PER_VERSION)))
    by_service = {name: 0 for name in WEIGHTS}
    for runs in site.runs.values():
        by_service[site.endpoints[runs[0][1]].service] += 1
    total = sum(by_service.values())
    print("requests that ran:", total)
    for name, weight in WEIGHTS.items():
        share = by_service[name] / total
        if abs(share - weight / 100) <= SHARE_ERROR_MAX:
            print(f"share of {name}: as its weight says")
        else:
            print(f"share of {name}: {share:.2f}, its weight says "
                  f"{weight / 100:.2f}")
    starts = [(await i.metrics())['peridot_split_starts{route="split"}']
              for i in site.instances]
    print("divisions started anew by a version:",
          int(sum(n - 1 for n in starts)))


platformrun.main(script, instances=6)
