"""A version of the configuration with an odd route, service and tenant, with a
key of two tenants, and that withdraws a key; then one whose tenants cannot be
read.

Guards against one odd row that keeps the rest of its version from taking
effect, so that a withdrawn key stays valid, against requests that an odd row
lets pass, and against a version without its tenants that needs no keys.
"""

import asyncio

import platformrun
from platformrun import platform_site


def bearer(key):
    return [f"Authorization: Bearer {key}"]


def route(**changes):
    return {"host": "here.example", "kind": "safe", "service": "slots",
            "timeout-s": 1.5, "target-latency-s": 0.3, "priority": 2,
            "max-attempts": 2, **changes}


async def ask_all(site, target, key):
    return sorted({await site.ask(i, target, bearer(key))
                   for i in site.instances})


async def script(site):
    site.tenants = {"one": {"api-keys": ["k-1", "k-old"]},
                    "two": {"api-keys": ["k-2"]},
                    "three": {"api-keys": ["k-3"]}}
    await site.configure()
    await site.all_return_status("/look/1", 401, platform_site.CONFIG_S)
    site.tenants = {"one": {"api-keys": ["k-1", "k-both", 7]},
                    "two": {"api-keys": ["k-2"], "rate-per-s": -1},
                    "three": {"api-keys": ["k-3", "k-both"]}}
    await site.configure(
        odd=route(**{"path-prefix": "/look/odd/", "timeout-s": -1}),
        lost=route(**{"path-prefix": "/look/lost/", "service": "missing"}))
    print("withdrawn key refused:", await site.all_return_status(
        "/look/1", 401, platform_site.CONFIG_S, bearer("k-old")))
    for what, target, key in (
            ("key that stays", "/look/1", "k-1"),
            ("key of an odd tenant", "/look/1", "k-2"),
            ("key of another tenant", "/look/1", "k-3"),
            ("key of two tenants", "/look/1", "k-both"),
            ("odd route", "/look/odd/1", "k-1"),
            ("route of a missing service", "/look/lost/1", "k-1")):
        print(f"{what}:", await ask_all(site, target, key))
    print("rows left out:", sorted({
        int((await i.metrics())["peridot_config_rows_left_out"])
        for i in site.instances}))

    site.tenants = []
    await site.configure()
    await asyncio.sleep(platform_site.CONFIG_S)
    print("no key, tenants unreadable:", await ask_all(site, "/look/1", ""))
    print("its reader counts it:", sum([
        (await i.metrics())["peridot_configs_rejected_total"] > 0
        for i in site.instances]))


platformrun.main(script, instances=3, endpoints={"slots": 4, "files": 2})
