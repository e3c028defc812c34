"""Soak test with fault injection: instances as real processes with simulated
endpoints and callers on loopback, and random faults that overlap.  Instances
reach the store through proxies that delay, reset or refuse connections, or
drop data in one or both directions.  The checks of platform_site run all the
time.

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
FAULT_DURATION_S = (0.5, 4.0)
# Time after which all instances have to know of a limit: the users' platform
# gives 3 s.
LIMIT_TOLD_S = 3.0
LIMIT_DURATION_S = (2.0, 5.0)
# Age of the copy from which the store is restored.
COPY_AGE_S = (0.5, 4.0)
# Time after which the entry of an endpoint that has left lapses.
LAPSE_S = 3.0
ODD_LEVELS = 400
DEADLY_REQUESTS = 12
DEADLY_ENDINGS_MAX = 3
# After the last fault, all instances must be ready within this time, which is
# the users' limit for the recovery.
RECOVERY_S = 15.0
CALM_S = 3.0  # of load after the recovery, without faults


class Proxy:
    """TCP proxy between one instance and the store.  Modes:

    pass: forwards data.
    delay: forwards data after 0.15 s.
    silent: drops the data of both directions.
    one_way: drops the data from the store to the instance.
    refuse: aborts the open connections and all new ones.
    reset: aborts the open connections once, then acts as pass.
    """

    def __init__(self, target):
        self.target = target
        self.mode = "pass"
        self.writers = set()

    async def start(self, address=("127.0.0.1", 0)):
        self.server = await asyncio.start_server(self.serve, *address)
        self.port = self.server.sockets[0].getsockname()[1]

    def set(self, mode):
        self.mode = mode
        if mode in ("reset", "refuse"):
            for writer in list(self.writers):
                writer.transport.abort()
            if mode == "reset":
                self.mode = "pass"

    async def serve(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers.update((writer, target_writer))
        await asyncio.gather(self.copy(reader, target_writer, True),
                             self.copy(target_reader, writer, False))
        self.writers.difference_update((writer, target_writer))

    async def copy(self, reader, writer, forward):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                if self.mode == "silent" or (self.mode == "one_way"
                                             and not forward):
                    # The dropped data would be missing from the stream, so
                    # the connection passes nothing any more.
                    await asyncio.sleep(3600)
                if self.mode == "delay":
                    await asyncio.sleep(0.15)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()


# A soak test of a site, with random faults for the given seconds.
class Soak:
    def __init__(self, site, rng, seconds):
        self.site, self.rng, self.seconds = site, rng, seconds
        self.proxies = []
        self.began = time.monotonic()

    def log(self, text):
        print(f"{time.monotonic() - self.began:7.2f} {text}", flush=True)

    async def start_proxies(self):
        for instance in self.site.instances:
            proxy = Proxy(("127.0.0.1", instance.store_port))
            await proxy.start()
            instance.store_port = proxy.port
            self.proxies.append(proxy)

    async def kill_instance(self, instance):
        self.log(f"kill {instance.name}")
        await instance.end(signal.SIGKILL)
        await asyncio.sleep(self.rng.uniform(0.1, 1.5))
        await instance.start()

    async def stop_instance(self, instance):
        self.log(f"stop {instance.name}")
        began = time.monotonic()
        # SIGTERM arrives twice, and SIGHUP may arrive during the shutdown.
        instance.signal_process(signal.SIGTERM)
        if self.rng.random() < 0.3:
            await asyncio.sleep(0.3)
            instance.signal_process(signal.SIGHUP)
        status = await instance.end(signal.SIGTERM)
        if status != 0 or time.monotonic() - began > 6.0:
            self.site.report_fault(
                f"{instance.name} ended with {status} after "
                f"{time.monotonic() - began:.1f} s")
        await instance.start()

    async def pause_instance(self, instance):
        self.log(f"pause {instance.name}")
        instance.signal_process(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_S))
        instance.signal_process(signal.SIGCONT)

    async def reload_instance(self, instance):
        self.log(f"reload {instance.name}")
        if self.rng.random() < 0.3:
            with open(instance.path, "w", encoding="utf-8") as file:
                file.write("{ broken")
            instance.signal_process(signal.SIGHUP)
            await asyncio.sleep(0.2)
        instance.write_settings()
        instance.signal_process(signal.SIGHUP)

    async def disturb_store_connection(self, instance):
        proxy = self.proxies[self.site.instances.index(instance)]
        mode = self.rng.choice(
            ("delay", "silent", "refuse", "one_way", "reset"))
        self.log(f"store of {instance.name}: {mode}")
        proxy.set(mode)
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_S))
        proxy.set("reset")

    async def store(self, _):
        # Injects a fault of the store, which ends after a random time.
        store = self.site.store
        fault = self.rng.choice(
            ("busy", "silent", "reset", "slow", "lost", "compact"))
        self.log(f"store: {fault}")
        if fault == "compact":
            store.compact()
            return
        if fault == "lost":
            store.lost_response_ratio = 0.5
        else:
            store.mode = fault
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_S))
        store.mode, store.lost_response_ratio = None, 0.0
        store.cut()

    async def restore_store(self, _):
        """Restores the store from a copy, after which the operator and the
        endpoints write again what was lost."""
        store = self.site.store
        copy = store.copy()
        await asyncio.sleep(self.rng.uniform(*COPY_AGE_S))
        self.log("store: restored")
        store.mode = "reset"
        store.cut()
        await asyncio.sleep(self.rng.uniform(0.1, 2.0))
        lost = {kind: dict(store.objects[kind])
                for kind in ("config", "evacuations")}
        store.restore(copy)
        store.mode = None
        for endpoint in list(self.site.endpoints.values()):
            if endpoint.state == "draining" and endpoint.server.is_serving():
                await endpoint.send_heartbeat()
        await asyncio.sleep(self.rng.uniform(0.0, 0.5))
        await store.put("config", "main", lost["config"]["main"]["spec"])
        for zone in "ab":
            if zone in lost["evacuations"]:
                await store.put("evacuations", zone, {})
            else:
                await store.remove("evacuations", zone)
        await asyncio.sleep(LAPSE_S)
        for name, endpoint in list(self.site.endpoints.items()):
            if not endpoint.server.is_serving():
                await store.remove("servers", name)

    async def odd_entry(self, _):
        """Another program writes an entry that names no endpoint."""
        deep = []
        for _ in range(ODD_LEVELS):
            deep = [deep]
        valid = {"service": "slots", "zone": "a", "version": "v1", "slots": 3,
                 "state": "ready", "address": f"{self.site.network}.9.9:1"}
        name, change = self.rng.choice((
            ("odd", {"version": deep}), ("odd", {"slots": 1e30}),
            ("odd", {"address": f"{self.site.network}.9.9:70000"}),
            ("odd", {"zone": "z" * 5000}), ("o" * 400, {}),
            ("odd", {"service": None}), ("odd", {"state": "asleep"})))
        self.log(f"odd entry {name[:8]}: {str(change)[:40]}")
        await self.site.store.put("servers", name, valid | change)
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_S))
        await self.site.store.remove("servers", name)

    async def endpoint(self, _):
        # Injects a fault of an endpoint, which ends after a random time.
        endpoint = self.rng.choice(list(self.site.endpoints.values()))
        fault = self.rng.choice(("lost", "short", "extra", "unframed",
                                 "errors", "rot", "silent", "ill", "slow",
                                 "noisy", "head", "refusal", "nameless"))
        self.log(f"{endpoint.name}: {fault}")
        if fault == "slow":
            endpoint.service_time_s *= 5
        elif fault == "noisy":
            endpoint.slowdown_percent = 400
        else:
            endpoint.faults = {fault: 0.3}
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_S))
        if fault == "slow":
            endpoint.service_time_s /= 5
        endpoint.slowdown_percent, endpoint.faults = 100, {}

    async def replace_endpoint(self, _):
        """Lets an endpoint drain and stop, or crash, and starts a new one, in
        some cases at the same address and with another service."""
        live = [e for e in self.site.endpoints.values()
                if e.server.is_serving() and e.state == "ready"]
        count = {s: sum(e.service == s for e in live)
                 for s in ("slots", "files")}
        live = [e for e in live if count[e.service] > 1]
        if not live:
            return
        old = self.rng.choice(live)
        crash = self.rng.random() < 0.5
        self.log(f"{old.name} {'crashes' if crash else 'leaves'}")
        old.state = "replaced" if crash else old.state
        if crash:
            await old.stop(forget=False)
            await asyncio.sleep(2.0)
            await self.site.store.remove("servers", old.name)
        else:
            old.leaving = self.rng.choice((None, "1"))
            await old.drain()
            await asyncio.sleep(platform_site.DRAIN_S + 2.0)
            await old.stop()
        service = self.rng.choice(("slots", old.service))
        options = {"cold": self.rng.choice((0, 3.0))}
        if self.rng.random() < 0.5:
            options["address"] = old.address
        await self.site.add_endpoint(service, old.zone, **options)

    async def limit_endpoint(self, _):
        """Lets an endpoint state a limit, or a malformed one, and checks that
        it gets no more."""
        free = [e for e in self.site.endpoints.values()
                if e.server.is_serving() and e.limit is None]
        if not free:
            return
        endpoint = self.rng.choice(free)
        limit = self.rng.choice((0.0, 1.5, 3.0, 12.5, None))
        endpoint.limit = "none" if limit is None else str(limit)
        endpoint.limit_in = self.rng.choice((("probe", "request"),
                                             ("request",)))
        self.log(f"{endpoint.name}: limit {endpoint.limit} in responses to "
                 f"{endpoint.limit_in}")
        await asyncio.sleep(LIMIT_TOLD_S)
        since = time.monotonic()
        await asyncio.sleep(self.rng.uniform(*LIMIT_DURATION_S))
        most = platform_site.most_in_window(
            self.site.executed_at(endpoint.name, since))
        endpoint.limit = None
        if limit is not None and most > platform_site.allowed_in_window(limit):
            self.site.report_fault(
                f"{endpoint.name} got {most} requests in 4 s with a limit of "
                f"{limit} per second")

    async def decline_requests(self, _):
        """Lets an endpoint refuse requests and ask for time, or for none."""
        endpoint = self.rng.choice(list(self.site.endpoints.values()))
        endpoint.declines = self.rng.choice(
            (0, 0.4, 1.0, 2.0, "-3", "soon", "1e999"))
        self.log(f"{endpoint.name}: declines, {endpoint.declines}")
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_S))
        endpoint.declines = None

    async def deadly_request(self, _):
        """Sends a request under which endpoints end to all instances, and
        replaces the endpoints."""
        site = self.site
        target = f"/look/deadly-{len(site.ended)}"
        self.log(f"deadly request {target}")
        site.deadly.add(target)
        for _ in range(DEADLY_REQUESTS):
            try:
                await asyncio.wait_for(
                    site.ask(self.rng.choice(site.instances), target), 1)
            except (OSError, asyncio.TimeoutError, platform_site.MessageError):
                pass
            await asyncio.sleep(self.rng.uniform(0, 0.2))
        site.deadly.remove(target)
        if len(site.ended[target]) > DEADLY_ENDINGS_MAX:
            site.report_fault(f"{len(site.ended[target])} endpoints ended "
                              f"under {target}")
        for endpoint in site.ended[target]:
            await site.store.remove("servers", endpoint.name)
            await site.add_endpoint(endpoint.service, endpoint.zone)

    async def configure(self, _):
        self.log("configuration changes")
        await self.site.configure()

    async def take_data_centre_out(self, _):
        zone = self.rng.choice("ab")
        self.log(f"data centre {zone} is taken out")
        await self.site.store.put("evacuations", zone, {})
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_S))
        await self.site.store.remove("evacuations", zone)

    async def run_on_undisturbed_instance(self, fault, disturbed):
        undisturbed = [i for i in self.site.instances if i not in disturbed]
        # About half of the instances stay undisturbed, since the site
        # promises callers that some are up.
        if len(undisturbed) <= len(self.site.instances) // 2:
            return
        instance = self.rng.choice(undisturbed)
        disturbed.add(instance)
        try:
            await fault(instance)
        finally:
            disturbed.discard(instance)

    async def faults(self):
        # Starts random faults, which overlap, until the time of the test is
        # over; returns when all have ended.
        disturbed, running = set(), set()
        instance_faults = (self.kill_instance, self.stop_instance,
                           self.pause_instance, self.reload_instance,
                           self.disturb_store_connection)
        other_faults = (self.store, self.endpoint, self.endpoint,
                        self.replace_endpoint, self.configure,
                        self.limit_endpoint, self.limit_endpoint,
                        self.take_data_centre_out, self.restore_store,
                        self.restore_store, self.odd_entry,
                        self.decline_requests, self.deadly_request)
        while time.monotonic() - self.began < self.seconds:
            fault = self.rng.choice(instance_faults + other_faults)
            coroutine = (self.run_on_undisturbed_instance(fault, disturbed)
                         if fault in instance_faults else fault(None))
            running.add(asyncio.create_task(coroutine))
            await asyncio.sleep(self.rng.uniform(*FAULT_GAP_S))
        await asyncio.gather(*running)

    async def run(self):
        caller_count = 4 * len(self.site.instances)
        # A list, so that a change reaches the callers that run.
        deadline = [time.monotonic() + 3600]
        tasks = [asyncio.create_task(self.run_caller("ab"[i % 2], deadline, i))
                 for i in range(caller_count)]
        await self.faults()
        self.log("calm")
        await self.site.wait_until_ready(RECOVERY_S)
        await asyncio.sleep(1.0)
        outcomes_with_faults = dict(self.site.outcomes)
        ratio_with_faults = self.site.share("look", "book", "file")
        self.site.outcomes.clear()
        await asyncio.sleep(CALM_S)
        deadline[0] = 0
        await asyncio.gather(*tasks)
        ratio_afterwards = self.site.share("look", "book", "file")
        self.log(f"complete responses: {ratio_with_faults:.3f} with faults, "
                 f"{ratio_afterwards:.3f} afterwards; {outcomes_with_faults}")
        if ratio_afterwards < 0.95:
            self.site.report_fault(
                f"the site has not recovered: {dict(self.site.outcomes)}")

    async def run_caller(self, zone, deadline, seed):
        rng = random.Random(seed)
        while time.monotonic() < deadline[0]:
            await self.site.simulate_caller(
                zone, 5, min(deadline[0], time.monotonic() + 2), rng)


def main():
    if len(sys.argv) < 3:
        sys.exit(__doc__)
    program = os.path.join(sys.argv[1], "platform", "peridotrouter")
    seed = int(sys.argv[2])
    seconds = float(sys.argv[3]) if len(sys.argv) > 3 else 20.0
    instances = int(sys.argv[4]) if len(sys.argv) > 4 else 5
    folder = os.environ.get("SOAK_LOGS") or tempfile.mkdtemp(prefix="soak-")

    async def run_site():
        site = platform_site.Site(program, folder)
        soak = Soak(site, random.Random(seed), seconds)
        await site.start(instances, endpoints={"slots": 6, "files": 3},
                         prepare=soak.start_proxies)
        try:
            await site.wait_until_ready()
            await soak.run()
        finally:
            await site.stop()
        return site

    site = asyncio.run(run_site())
    for fault in site.faults[:20]:
        print("FAULT", fault)
    print(f"seed {seed}: {len(site.faults)} faults; logs in {folder}")
    sys.exit(1 if site.faults else 0)


if __name__ == "__main__":
    main()
