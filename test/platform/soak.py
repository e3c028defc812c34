"""Fault soak: real instances, endpoints and callers on loopback, with faults
in random series that overlap.  Instances reach the store, and callers reach
instances, through proxies that delay, reset, silence or cut one way.  The
checks of platform_site run all the while.

usage: soak.py BUILD-DIRECTORY SEED [SECONDS [INSTANCES]]"""

import asyncio
import os
import random
import signal
import sys
import tempfile
import time

import platform_site

FAULT_GAP_S = (0.2, 1.5)
FAULT_S = (0.5, 4.0)
# After the last fault the site has this long to serve as before; the users'
# bound of recovery.
RECOVERY_S = 15.0
CALM_S = 3.0


class Proxy:
    """One direction of faults for one instance; modes: pass, delay, silent,
    refuse, one_way, reset."""

    def __init__(self, target):
        self.target = target
        self.mode = "pass"
        self.pairs = set()

    async def start(self, address=("127.0.0.1", 0)):
        self.server = await asyncio.start_server(self.serve, *address)
        self.port = self.server.sockets[0].getsockname()[1]

    def set(self, mode):
        self.mode = mode
        if mode in ("reset", "refuse"):
            for writer in list(self.pairs):
                writer.transport.abort()
            if mode == "reset":
                self.mode = "pass"

    async def serve(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        try:
            there, back = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.pairs.update((writer, back))
        await asyncio.gather(self.copy(reader, back, True),
                             self.copy(there, writer, False))
        self.pairs.difference_update((writer, back))

    async def copy(self, reader, writer, forward):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                if self.mode == "silent" or (self.mode == "one_way"
                                             and not forward):
                    # What was silenced stays lost: the connection is dead.
                    await asyncio.sleep(3600)
                if self.mode == "delay":
                    await asyncio.sleep(0.15)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()


class Soak:
    def __init__(self, site, rng, seconds):
        self.site, self.rng, self.seconds = site, rng, seconds
        self.proxies = []
        self.began = time.monotonic()

    def note(self, text):
        print(f"{time.monotonic() - self.began:7.2f} {text}", flush=True)

    async def place_proxies(self):
        for instance in self.site.instances:
            proxy = Proxy(("127.0.0.1", instance.store_port))
            await proxy.start()
            instance.store_port = proxy.port
            self.proxies.append(proxy)

    async def kill(self, instance):
        self.note(f"kill {instance.name}")
        await instance.end(signal.SIGKILL)
        await asyncio.sleep(self.rng.uniform(0.1, 1.5))
        await instance.start()

    async def term(self, instance):
        self.note(f"stop {instance.name}")
        began = time.monotonic()
        # A signal may come twice, and in the middle of a stop.
        instance.send(signal.SIGTERM)
        if self.rng.random() < 0.3:
            await asyncio.sleep(0.3)
            instance.send(signal.SIGHUP)
        status = await instance.end(signal.SIGTERM)
        if status != 0 or time.monotonic() - began > 6.0:
            self.site.fault(f"{instance.name} ended with {status} after "
                            f"{time.monotonic() - began:.1f} s")
        await instance.start()

    async def pause(self, instance):
        self.note(f"pause {instance.name}")
        instance.send(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(*FAULT_S))
        instance.send(signal.SIGCONT)

    async def reload(self, instance):
        self.note(f"reload {instance.name}")
        if self.rng.random() < 0.3:
            with open(instance.path, "w", encoding="utf-8") as file:
                file.write("{ broken")
            instance.send(signal.SIGHUP)
            await asyncio.sleep(0.2)
        instance.write_settings()
        instance.send(signal.SIGHUP)

    async def store_path(self, instance):
        proxy = self.proxies[self.site.instances.index(instance)]
        mode = self.rng.choice(
            ("delay", "silent", "refuse", "one_way", "reset"))
        self.note(f"store of {instance.name}: {mode}")
        proxy.set(mode)
        await asyncio.sleep(self.rng.uniform(*FAULT_S))
        proxy.set("reset")

    async def store(self, _):
        store = self.site.store
        fault = self.rng.choice(
            ("busy", "silent", "reset", "slow", "lost", "compact"))
        self.note(f"store: {fault}")
        if fault == "compact":
            store.compact()
            return
        if fault == "lost":
            store.lose = 0.5
        else:
            store.mode = fault
        await asyncio.sleep(self.rng.uniform(*FAULT_S))
        store.mode, store.lose = None, 0.0
        store.cut()

    async def endpoint(self, _):
        endpoint = self.rng.choice(list(self.site.endpoints.values()))
        fault = self.rng.choice(("lost", "short", "extra", "unframed",
                                 "errors", "rot", "silent", "ill", "slow",
                                 "noisy"))
        self.note(f"{endpoint.name}: {fault}")
        if fault == "slow":
            endpoint.work *= 5
        elif fault == "noisy":
            endpoint.pace = 400
        else:
            endpoint.faults = {fault: 0.3}
        await asyncio.sleep(self.rng.uniform(*FAULT_S))
        if fault == "slow":
            endpoint.work /= 5
        endpoint.pace, endpoint.faults = 100, {}

    async def replace(self, _):
        """An endpoint leaves, or crashes, and another one comes; at times at
        the same address with another service."""
        live = [e for e in self.site.endpoints.values()
                if e.server.is_serving() and e.state == "ready"]
        count = {s: sum(e.service == s for e in live)
                 for s in ("slots", "files")}
        live = [e for e in live if count[e.service] > 1]
        if not live:
            return
        old = self.rng.choice(live)
        crash = self.rng.random() < 0.5
        self.note(f"{old.name} {'crashes' if crash else 'leaves'}")
        old.state = "replaced" if crash else old.state
        if crash:
            await old.stop(forget=False)
            await asyncio.sleep(2.0)
            await self.site.store.remove("servers", old.name)
        else:
            await old.drain()
            await asyncio.sleep(platform_site.DRAIN_S + 2.0)
            await old.stop()
        service = self.rng.choice(("slots", old.service))
        options = {"cold": self.rng.choice((0, 3.0))}
        if self.rng.random() < 0.5:
            options["address"] = old.address
        await self.site.add_endpoint(service, old.zone, **options)

    async def configure(self, _):
        self.note("configuration changes")
        await self.site.configure()

    async def take_out(self, _):
        zone = self.rng.choice("ab")
        self.note(f"data centre {zone} is taken out")
        await self.site.store.put("evacuations", zone, {})
        await asyncio.sleep(self.rng.uniform(*FAULT_S))
        await self.site.store.remove("evacuations", zone)

    async def on_free_instance(self, fault, busy):
        free = [i for i in self.site.instances if i not in busy]
        # Some instances stay up, as the sites promise to callers.
        if len(free) <= len(self.site.instances) // 2:
            return
        instance = self.rng.choice(free)
        busy.add(instance)
        try:
            await fault(instance)
        finally:
            busy.discard(instance)

    async def faults(self):
        busy, running = set(), set()
        on_instances = (self.kill, self.term, self.pause, self.reload,
                        self.store_path)
        others = (self.store, self.endpoint, self.endpoint, self.replace,
                  self.configure, self.take_out)
        while time.monotonic() - self.began < self.seconds:
            fault = self.rng.choice(on_instances + others)
            work = (self.on_free_instance(fault, busy)
                    if fault in on_instances else fault(None))
            running.add(asyncio.create_task(work))
            await asyncio.sleep(self.rng.uniform(*FAULT_GAP_S))
        await asyncio.gather(*running)

    async def run(self):
        callers = 4 * len(self.site.instances)
        end = [time.monotonic() + 3600]
        tasks = [asyncio.create_task(self.call("ab"[i % 2], end, i))
                 for i in range(callers)]
        await self.faults()
        self.note("calm")
        await self.site.ready(RECOVERY_S)
        await asyncio.sleep(1.0)
        before = dict(self.site.outcomes)
        during = self.site.share("look", "book", "file")
        self.site.outcomes.clear()
        await asyncio.sleep(CALM_S)
        end[0] = 0
        await asyncio.gather(*tasks)
        after = self.site.share("look", "book", "file")
        self.note(f"whole answers: {during:.3f} with faults, "
                  f"{after:.3f} afterwards; {before}")
        if after < 0.95:
            self.site.fault(f"not recovered: {dict(self.site.outcomes)}")

    async def call(self, zone, end, seed):
        rng = random.Random(seed)
        while time.monotonic() < end[0]:
            await self.site.caller(zone, 5, min(end[0], time.monotonic() + 2),
                                   rng)


def main():
    if len(sys.argv) < 3:
        sys.exit(__doc__)
    program = os.path.join(sys.argv[1], "platform", "peridotrouter")
    seed = int(sys.argv[2])
    seconds = float(sys.argv[3]) if len(sys.argv) > 3 else 20.0
    instances = int(sys.argv[4]) if len(sys.argv) > 4 else 5
    folder = os.environ.get("SOAK_LOGS") or tempfile.mkdtemp(prefix="soak-")

    async def whole():
        site = platform_site.Site(program, folder)
        soak = Soak(site, random.Random(seed), seconds)
        await site.start(instances, endpoints={"slots": 6, "files": 3},
                         prepare=soak.place_proxies)
        try:
            await site.ready()
            await soak.run()
        finally:
            await site.stop()
        return site

    site = asyncio.run(whole())
    for fault in site.faults[:20]:
        print("FAULT", fault)
    print(f"seed {seed}: {len(site.faults)} faults; logs in {folder}")
    sys.exit(1 if site.faults else 0)


if __name__ == "__main__":
    main()
