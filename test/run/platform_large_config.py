"""Configurations whose rows are larger than usual: many keys, long keys and
names, routes with many parts, and an object of nearly a mebibyte.  Each
version withdraws a key of another tenant.

Guards against a version that is ignored because of a limit below the size of
its object: withdrawn keys would stay valid, also after a restart.
"""

import asyncio
import signal

import platformrun
from platformrun import platform_site

SERVICE = "s" * 300


def bearer(key):
    return [f"Authorization: Bearer {key}"]


def route(**changes):
    return {"host": "here.example", "path-prefix": "/many/", "kind": "safe",
            "service": "slots", "timeout-s": 1.5, "target-latency-s": 0.3,
            "priority": 2, "max-attempts": 2, **changes}


def tenants(keys, name="large", **limits):
    return {name: {"api-keys": ["large"] + list(keys), **limits}}


CASES = (
    ("65 keys", tenants(f"l-{i}" for i in range(64)), {}, "/look/1"),
    ("a key of 200 bytes", tenants(["l" * 200]), {}, "/look/1"),
    ("5,000 keys", tenants(f"l-{i:05d}" for i in range(5000)), {}, "/look/1"),
    ("a name of 1,500 bytes and an allowance",
     tenants([], "n" * 1500, **{"rate-per-s": 20, "burst": 20}), {},
     "/look/1"),
    ("a route with 40 parts", tenants([]),
     {"many": route(**{"traffic-split": [
         {"service": "slots", "weight": i % 3} for i in range(40)]})},
     "/many/1"),
    ("a route with long texts", tenants([]),
     {"r" * 300: route(**{"path-prefix": "/" + "p" * 5000 + "/"})},
     "/" + "p" * 5000 + "/1"),
    ("a service with a long name", tenants([]),
     {"many": route(service=SERVICE)}, "/many/1"),
    ("1 MB", tenants(f"l-{i:060d}" for i in range(15500)), {}, "/look/1"),
)


async def script(site):
    site.services["many"] = ("slots", SERVICE)
    site.tenants = {"small": {"api-keys": ["k-0"]}}
    await site.configure()
    await site.all_return_status("/look/1", 200, platform_site.CONFIG_S,
                                 bearer("k-0"))
    for i, (name, large, routes, target) in enumerate(CASES):
        site.tenants = {**large, "small": {"api-keys": [f"k-{i + 1}"]}}
        if SERVICE in str(routes):
            site.configured_services.append(SERVICE)
        await site.configure(**routes)
        in_force = await asyncio.gather(
            site.all_return_status("/look/1", 401, platform_site.CONFIG_S,
                                   bearer(f"k-{i}")),
            site.all_return_status("/look/1", 200, platform_site.CONFIG_S,
                                   bearer(f"k-{i + 1}")),
            site.all_return_status(target, 200, platform_site.CONFIG_S,
                                   bearer("large")))
        print(f"{name}:", "in force" if all(in_force) else in_force)
    site.store.mode = "silent"
    site.store.cut()
    await site.instances[1].end(signal.SIGKILL)
    await site.instances[1].start()
    await site.wait_until_ready()
    print("after a restart without the store:",
          [await site.ask(site.instances[1], "/look/1", bearer(key))
           for key in ("k-0", f"k-{len(CASES)}", "large")])
    site.store.mode = None


platformrun.main(script, instances=3, endpoints={"slots": 4, SERVICE: 2},
                 bounds={"quota-overshoot": 0.1, "quota-slack": 20})
