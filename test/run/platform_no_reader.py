"""The store is silent and the instance that reads it is killed, at 8 instances.
A tenant goes on with half of its allowance.

Guards against instances that hear nothing of each other while nobody can read
the store: keepers of allowances would have no contact, and refuse requests
within the allowance.
"""

import asyncio
import signal
import time

import platformrun

RATE, BURST = 30, 30
LOAD_S = 8
TENANTS = 8


def log_of(instance):
    with open(instance.log_path, encoding="utf-8", errors="replace") as log:
        return log.read()


def find_reader(site):
    for instance in site.instances:
        text = log_of(instance)
        if (text.rfind("reads the store for all instances")
                > text.rfind("this instance stops reading the store")):
            return instance
    return None


async def script(site):
    site.tenants = {f"t{i}": {"api-keys": [f"k-{i}"], "rate-per-s": RATE,
                              "burst": BURST} for i in range(TENANTS)}
    await site.configure()
    await asyncio.sleep(4)
    statuses = []

    async def ask(instance, key):
        try:
            statuses.append(await asyncio.wait_for(site.ask(
                instance, "/look/1", [f"Authorization: Bearer {key}"]), 5))
        except Exception as error:  # pylint: disable=broad-except
            statuses.append(type(error).__name__)

    reader = find_reader(site)
    site.store.mode = "silent"
    site.store.cut()
    await asyncio.sleep(1)
    await reader.end(signal.SIGKILL)
    await asyncio.sleep(2)
    others = [i for i in site.instances if i is not reader]
    tasks = []
    until = time.monotonic() + LOAD_S
    n = 0
    while time.monotonic() < until:
        n += 1
        tasks.append(asyncio.create_task(
            ask(others[n % len(others)], f"k-{n % TENANTS}")))
        await asyncio.sleep(1 / 60)
    await asyncio.gather(*tasks)
    served = statuses.count(200) / len(statuses)
    print("within the allowances, most are served:", served >= 0.9 or
          f"{served:.2f} of {len(statuses)}")
    site.store.mode = None


platformrun.main(script, instances=8, endpoints={"slots": 8, "files": 2},
                 bounds={"quota-overshoot": 0.1, "quota-slack": 20,
                         "quota-window-s": 5})
