"""Callers with keys of two tenants, with wrong ones and without.  A key is taken
away while callers use it, while the store is away and an instance starts
again.  At last a tenant sends several times its allowance while the instance
that keeps it is killed.

Guards against a key that is passed on to endpoints, a tenant's name that a
caller has forged, a key that stays good after it was taken away, and a tenant
that gets more than its allowance.
"""

import asyncio
import signal
import time

import platformrun
from platformrun import platform_site

RATE, BURST = 30, 30
OVERSHOOT, SLACK = 0.1, 20
WINDOW_S = 5
LOAD_S = 6.5


def bearer(key):
    return [f"Authorization: Bearer {key}"]


async def ask_all(site, target, fields):
    return sorted({await site.ask(i, target, fields) for i in site.instances})


async def script(site):
    print("key:", await ask_all(site, "/look/1", bearer("k-one")))
    print("its scheme in lower case:", await ask_all(
        site, "/look/1", ["authorization: bearer k-one"]))
    for what, fields in (
            ("no key", []), ("unknown key", bearer("k-none")),
            ("key in upper case", bearer("K-ONE")),
            ("empty key", ["Authorization: Bearer "]),
            ("other scheme", ["Authorization: Basic k-one"]),
            ("two keys", bearer("k-one") + bearer("k-two"))):
        print(f"{what}:", await ask_all(site, "/look/1", fields))
    print("public route without a key:", await ask_all(site, "/open/1", []))
    print("no route:", await ask_all(site, "/none/1", bearer("k-one")))
    await ask_all(site, "/look/2",
                  bearer("k-two") + ["X-Tenant-Name: forged"])
    seen = [(fields.get("x-tenant-name"), fields.get("authorization"))
            for request_id, fields in site.seen_fields.items()
            if site.sent[request_id][1] == "/look/2"]
    print("what endpoints get:", sorted(set(seen)))

    site.tenants["one"]["api-keys"] = ["k-new"]
    await site.configure(open=OPEN)
    print("key taken away:", await site.all_return_status(
        "/look/1", 401, platform_site.CONFIG_S, bearer("k-one")))
    print("new key:", await ask_all(site, "/look/1", bearer("k-new")))
    site.store.mode = "silent"
    site.store.cut()
    await site.instances[1].end(signal.SIGKILL)
    await site.instances[1].start()
    await site.wait_until_ready()
    print("key taken away, after a restart without the store:",
          await ask_all(site, "/look/1", bearer("k-one")))
    site.store.mode = None
    await send_too_many(site)


async def send_too_many(site):
    """Sends about four times the allowance of a tenant to all instances."""
    statuses = []

    async def send(instance):
        try:
            statuses.append(await site.ask(instance, "/look/3",
                                           bearer("k-three")))
        except (OSError, platform_site.MessageError):
            pass

    tasks = []
    until = time.monotonic() + LOAD_S
    killed = False
    while time.monotonic() < until:
        if not killed and time.monotonic() > until - LOAD_S / 2:
            killed = True
            await site.instances[0].end(signal.SIGKILL)
            await site.instances[0].start()
        for instance in site.instances:
            tasks.append(asyncio.create_task(send(instance)))
        await asyncio.sleep(len(site.instances) / (4 * RATE))
    await asyncio.gather(*tasks)
    times = sorted(at for request_id, runs in site.runs.items()
                   for at, _ in runs if site.sent[request_id][1] == "/look/3")
    most = max(sum(1 for t in times if at <= t < at + WINDOW_S)
               for at in times)
    allowed = (RATE * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK
    print("within its allowance:", most <= allowed)
    print("most of it used:", len(times) >= 0.6 * RATE * LOAD_S)
    print("the others were told so:", statuses.count(429) > 0)


OPEN = {"host": "here.example", "path-prefix": "/open/", "kind": "safe",
        "service": "slots", "timeout-s": 1.5, "target-latency-s": 0.3,
        "priority": 2, "max-attempts": 2, "public": True}
TENANTS = {"one": {"api-keys": ["k-one"], "priority": 0},
           "two": {"api-keys": ["k-two"]},
           "three": {"api-keys": ["k-three"], "rate-per-s": RATE,
                     "burst": BURST}}


async def run(site):
    site.tenants = TENANTS
    await site.configure(open=OPEN)
    await site.all_return_status("/open/1", 200, platform_site.CONFIG_S)
    await script(site)


platformrun.main(run, instances=3, endpoints={"slots": 6, "files": 2},
                 bounds={"quota-overshoot": OVERSHOOT, "quota-slack": SLACK})
