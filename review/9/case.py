"""The operator gives a tenant one more key than 64 and takes another tenant's
key away."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from common_2 import TROUBLE, log_lines, main  # noqa: E402

# Keys of the tenant before the change and after it.
KEYS_BEFORE, KEYS_AFTER = 63, 65 if TROUBLE else 64
# The bounds: a configuration is in force at machines in touch after this.
CONFIG_APPLY_S = 2.0
WAIT_S = 8.0


def make_tenants(keys, helpers_keys):
    """keys: number of keys of the tenant "riders"."""
    return {
        "riders": {"api-keys": [f"rider-{i:03d}" for i in range(keys)],
                   "priority": 0, "rate-per-s": 0, "burst": 0},
        "helpers": {"api-keys": helpers_keys, "priority": 0,
                    "rate-per-s": 0, "burst": 0}}


async def ask_all(site, record, key):
    """Returns the statuses of a request with a key at each instance."""
    statuses = []
    for instance in site.instances:
        statuses.append(await asyncio.wait_for(site.ask(
            instance, "/look/1", [f"Authorization: Bearer {key}"]), 5))
    record.write(f"requests with the key {key} are answered {statuses}")
    return statuses


async def script(site, record):
    site.tenants = make_tenants(KEYS_BEFORE, ["helper-a", "helper-b"])
    await site.configure()
    await asyncio.sleep(CONFIG_APPLY_S + 1.0)
    before = [await ask_all(site, record, key)
              for key in ("rider-000", "helper-a", "helper-b", "rider-063")]
    if before != [[200] * 2, [200] * 2, [200] * 2, [401] * 2]:
        raise RuntimeError(f"the first configuration is not in force: "
                           f"{before}")
    site.tenants = make_tenants(KEYS_AFTER, ["helper-a"])
    await site.configure()
    acked_at = time.monotonic()
    record.write(f"the store has acknowledged version {site.version}: "
                 f"riders has {KEYS_AFTER} keys, helper-b is withdrawn")
    await asyncio.sleep(WAIT_S)
    record.write(f"{time.monotonic() - acked_at:.1f} s later:")
    withdrawn = await ask_all(site, record, "helper-b")
    added = await ask_all(site, record, "rider-063")
    kept = await ask_all(site, record, "helper-a")
    for instance in site.instances:
        for line in log_lines(instance, "is invalid")[:1]:
            record.write(f"{instance.name} logs: {line}")
    record.write(f"requests run by endpoints with the withdrawn key: "
                 f"{withdrawn.count(200)}; refused with the key that was "
                 f"added: {added.count(401)}; run with a key that stays: "
                 f"{kept.count(200)}")
    return 200 in withdrawn or 401 in added


main(script, FOLDER, instances=2)
