"""A tenant asks for far more than its allowance at 40 instances.  The instance
that keeps the allowance is paused for 3 s and goes on; later it is killed and
starts again at once; at last it is killed for good.

Guards against instances that each admit requests while the keeper cannot be
asked, and against a second keeper: the sum over all instances is bounded.
Guards also against a tenant that gets nothing meanwhile.
"""

import asyncio
import signal
import time

import platformrun

INSTANCES = 40
RATE, BURST = 2, 10
OVERSHOOT, SLACK, WINDOW_S = 0.1, 20, 5
ASKED_PER_S = 60
GRANTED = 'peridot_allowance_tokens_total{result="granted"}'


async def granted(instance):
    return (await instance.metrics()).get(GRANTED, 0)


async def find_keeper(site):
    """Returns the instance that has granted most in a short time."""
    before = await asyncio.gather(*(granted(i) for i in site.instances))
    await asyncio.sleep(2)
    after = await asyncio.gather(*(granted(i) for i in site.instances))
    return max(zip(site.instances, before, after),
               key=lambda row: row[2] - row[1])[0]


class Load:
    """Requests of the tenant to all instances but those that are left out."""

    def __init__(self, site):
        self.site = site
        self.left_out = []
        self.tasks = []
        self.ended = False

    async def ask(self, instance):
        try:
            await asyncio.wait_for(self.site.ask(
                instance, "/look/1", ["Authorization: Bearer k-1"]), 5)
        except Exception:  # pylint: disable=broad-except
            pass

    async def run(self):
        n = 0
        while not self.ended:
            n += 7
            instance = self.site.instances[n % INSTANCES]
            if instance not in self.left_out:
                self.tasks.append(asyncio.create_task(self.ask(instance)))
            await asyncio.sleep(1 / ASKED_PER_S)
        await asyncio.gather(*self.tasks)


async def script(site):
    site.tenants = {"shop": {"api-keys": ["k-1"], "rate-per-s": RATE,
                             "burst": BURST}}
    await site.configure()
    await asyncio.sleep(4)
    load = Load(site)
    running = asyncio.create_task(load.run())
    spans = {}

    async def disturb(name, change):
        keeper = await find_keeper(site)
        load.left_out = [keeper]
        began = time.monotonic()
        await change(keeper)
        spans[name] = (began - 1, time.monotonic())

    async def pause(keeper):
        keeper.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(3)
        keeper.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(5)

    async def restart(keeper):
        await keeper.end(signal.SIGKILL)
        await keeper.start()
        await asyncio.sleep(5)

    async def lose(keeper):
        await keeper.end(signal.SIGKILL)
        await asyncio.sleep(6)

    await disturb("paused", pause)
    load.left_out = []
    await disturb("restarted", restart)
    load.left_out = []
    await disturb("lost", lose)
    load.ended = True
    await running
    allowed = (RATE * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK
    times = sorted(at for runs in site.runs.values() for at, _ in runs)
    for name, (began, ended) in spans.items():
        at_times = [t for t in times if began <= t <= ended]
        most = max([sum(at <= t < at + WINDOW_S for t in times)
                    for at in at_times] or [0])
        print(f"{name}: within the allowance:",
              most <= allowed or f"{most} of {allowed}")
        print(f"{name}: half of the rate was used:",
              len(at_times) >= (ended - began) * RATE / 2)


platformrun.main(script, instances=INSTANCES,
                 endpoints={"slots": 6, "files": 2},
                 bounds={"quota-overshoot": OVERSHOOT, "quota-slack": SLACK,
                         "quota-window-s": WINDOW_S})
