"""A bad version of a service's software is ordered, then a good one, while
callers send requests.  The instance that decides is killed when it has
promoted the good version and has not told the store yet.  At last an order is
taken away, and one names a version that no endpoint has.

Guards against a bad version that gets more than its share, against old
endpoints that are stopped while they have requests, and against a decision
that is lost with the instance that has taken it.
"""

import asyncio
import random
import signal
import time

import platformrun
from platformrun import platform_site

SHARE, SLACK = 0.1, 50
DURATION_S = 9
# What the platform allows from the 50th bad answer on.
ROLLBACK_S = 5
CALLERS, CALLER_PER_S = 8, 30


def requests_at(site, version, since=0.0):
    """Returns the times of executions at endpoints of a version."""
    names = {e.name for e in site.endpoints.values()
             if e.service == "slots" and e.version == version}
    return [at for runs in site.runs.values() for at, name in runs
            if name in names and at >= since]


def status_of(site):
    return (site.store.objects["rollouts"]["slots"]["status"] or {})


async def order(site, version, faults=None, count=6):
    """Starts endpoints of a version and orders its rollout; returns when it
    was ordered."""
    ordered_at = time.monotonic()
    await site.store.put("rollouts", "slots", {
        "service": "slots", "target-version": version,
        "duration-s": DURATION_S})
    for i in range(count):
        endpoint = await site.add_endpoint("slots", "ab"[i % 2],
                                           version=version)
        endpoint.faults.update(faults or {})
    return ordered_at


async def wait_for(condition, timeout_s):
    until = time.monotonic() + timeout_s
    while not condition() and time.monotonic() < until:
        await asyncio.sleep(0.02)
    return condition()


def has_logged(instance, text):
    with open(instance.log_path, encoding="utf-8", errors="replace") as log:
        return text in log.read()


async def stop_endpoints(site, version):
    for endpoint in [e for e in site.endpoints.values()
                     if e.version == version and e.service == "slots"]:
        await endpoint.stop()


async def try_bad_version(site):
    ordered_at = await order(site, "v2", {"errors": 0.5})
    done = await wait_for(
        lambda: status_of(site).get("state") == "rolled_back", DURATION_S)
    rolled_back_at = time.monotonic()
    print("bad version rolled back:", done, status_of(site))
    await asyncio.sleep(max(0, ordered_at + DURATION_S - time.monotonic()))
    bad = requests_at(site, "v2")
    slots = bad + requests_at(site, "v1", ordered_at)
    print("it got no more than its share:",
          0 < len(bad) <= SHARE * len(slots) + SLACK)
    print("none after the rollback:",
          not requests_at(site, "v2", rolled_back_at + 0.5))
    await stop_endpoints(site, "v2")


async def try_good_version(site):
    busy = []

    def on_status(_kind, _name, status):
        if status["state"] == "completed":
            busy.append(sum(e.running + e.waiting
                            for e in site.endpoints.values()
                            if e.service == "slots" and e.version == "v1"))

    site.store.status_written = on_status
    await order(site, "v3")
    reader = await site.find_reader()
    promoted = await wait_for(
        lambda: has_logged(reader, "version v3: promoted"), DURATION_S)
    await reader.end(signal.SIGKILL)
    print("promoted:", promoted, "and told the store:",
          status_of(site).get("state") == "completed")
    done = await wait_for(
        lambda: status_of(site).get("state") == "completed", 6)
    print("completed by another instance:", done, status_of(site))
    print("requests at old endpoints then:", busy)
    await stop_endpoints(site, "v1")
    stopped_at = time.monotonic()
    await reader.start()
    await site.wait_until_ready()
    before = sum(site.outcomes.values())
    lost = site.outcomes["book", 502] + site.outcomes["look", 502]
    await asyncio.sleep(1.5)
    print("requests to old endpoints after the end:",
          len(requests_at(site, "v1", stopped_at)))
    lost = site.outcomes["book", 502] + site.outcomes["look", 502] - lost
    print("served on without losses:",
          sum(site.outcomes.values()) - before > 100 and lost == 0)


async def try_orders(site):
    await order(site, "v4", count=3)
    await wait_for(lambda: requests_at(site, "v4"), 4)
    print("another version is tried:", bool(requests_at(site, "v4")))
    await site.store.remove("rollouts", "slots")
    removed_at = time.monotonic()
    await asyncio.sleep(1.5)
    print("requests to it after its order was removed:",
          len(requests_at(site, "v4", removed_at + 0.5)))
    await order(site, "v5", count=0)
    await asyncio.sleep(1.5)
    print("a version that no endpoint has:", status_of(site).get("state"))


async def script(site):
    stop = [time.monotonic() + 3600]

    async def call(zone, seed):
        rng = random.Random(seed)
        while time.monotonic() < stop[0]:
            await site.simulate_caller(zone, CALLER_PER_S,
                                       time.monotonic() + 1, rng)

    callers = [asyncio.create_task(call("ab"[i % 2], i))
               for i in range(CALLERS)]
    await asyncio.sleep(1)
    await try_bad_version(site)
    await try_good_version(site)
    await try_orders(site)
    stop[0] = 0
    await asyncio.gather(*callers)


platformrun.main(script, instances=3, endpoints={"slots": 6, "files": 2},
                 bounds={"exposure-share": SHARE, "exposure-slack": SLACK,
                         "rollback-s": ROLLBACK_S})
