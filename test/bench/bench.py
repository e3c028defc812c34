"""Ours and the baselines side by side, as real processes on loopback.

Each policy runs on a topology of its own, one after the other, with the same
seeds for the callers and the disturbances.  Output: tables and plots.
"""

import datetime
import os
import random
import subprocess
import sys
import threading
import time

import report
import sample
from harness import Caller, Run, RunError
from topology import BERGEN, KALAMANSI, Topology, profiles

# "owner+hedge": profiles that allow hedges; only the scenarios with slow
# endpoints, which hedges are for.
POLICIES = ("owner", "owner+hedge", "random", "round-robin",
            "least-outstanding", "power-of-two")
# About 2.5 times the mean service time of a slot check.
HEDGE_AFTER_MS = 100
SEED = 20261
# Service times are this many times those of the deployments, so that 80% of
# the capacity is a rate that 4 cores carry.
STRETCH = 5
MEANS_MS = {"slot-check": 8, "confirm": 15, "history": 12, "archive": 25,
            "slip": 8, "filing": 15, "drawer": 25}
# Bodies of downloads are shorter than in use, for the same reason.
ARCHIVE_BYTES = 131072
# Connections that a backend stand-in or an instance serves at a time.
BACKEND_THREADS = 512
WORKERS = 128
SLOW_FACTOR = 10
WARM_MS = 1500
WARM_LOAD = 0.2
# The start of a scenario is left out: the load rises from the one before.
LEAD_MS = 400
KEPT_MS = 2600
QUIET_S = 0.2


class Bench:
    """One deployment under one policy."""

    def __init__(self, run, deployment, policy):
        self.deployment = deployment
        self.policy = policy
        options = ["--seed", SEED, "--archive-bytes", ARCHIVE_BYTES,
                   "--threads", BACKEND_THREADS]
        for option, kind in (("slot-check", "slot-check"),
                             ("confirm", "confirm"), ("history", "history"),
                             ("archive", "archive")):
            options += [f"--{option}-ms", MEANS_MS[kind] * STRETCH]
        self.run = run
        self.turn = 0
        self.stretch = 1
        self.topology = Topology(run, deployment, delays=True,
                                 backend_options=options,
                                 settings={"policy": policy.split("+")[0],
                                           "workers": WORKERS,
                                           "log_level": "warning",
                                           "seed": SEED})
        if policy.endswith("+hedge"):
            self.allow_hedges()
        self.topology.start_instances()
        for endpoint in self.topology.endpoints:
            endpoint.control(cold=False)

    def allow_hedges(self):
        for name, body in profiles(self.deployment).items():
            body.update(hedge=True, hedge_after_ms=HEDGE_AFTER_MS)
            self.topology.platform.put("shared/profile/" + name, body,
                                       **{"If-Match": "1"})

    def capacity(self):
        """Requests/s of the whole mix that the scarcest service bears."""
        mix = report.mix_of(self.deployment)
        total = sum(mix.values())
        rates = []
        for service in self.deployment.services:
            busy_ms = sum(weight * MEANS_MS[kind] * STRETCH * self.stretch
                          for kind, weight in mix.items()
                          if report.SERVICE_OF[kind] == service.name)
            rates.append(service.endpoints * service.slots * 1000
                         / (busy_ms / total))
        return min(rates)

    def start_callers(self, name, load, duration_ms):
        centres = self.deployment.data_centres
        rate = load * self.capacity()
        entry = ",".join(f"127.0.0.1:{instance.callers}"
                         for instance in self.topology.instances
                         if instance.process.child.poll() is None)
        self.turn += 1
        return rate, [
            Caller(self.run, f"{name}-{centre}", "--entry", entry,
                   "--data-centre", centre, "--rate", rate / len(centres),
                   "--duration-ms", duration_ms,
                   "--seed", SEED + 100 * self.turn + i,
                   "--mix", self.deployment.mix,
                   "--delay-ms", self.deployment.client_delay_ms)
            for i, centre in enumerate(centres)]

    def warm(self):
        _, callers = self.start_callers("warm", WARM_LOAD, WARM_MS)
        for caller in callers:
            caller.finish()

    def slow_all(self, factor):
        for endpoint in self.topology.endpoints:
            endpoint.control(slow_factor=factor)
        self.stretch = factor

    def measure(self, name, load, disturb=None):
        """Runs a scenario; returns its figures."""
        for endpoint in self.topology.endpoints:
            endpoint.control(cold=False, reset_max=True)
        stats = self.topology.stats()
        before = sample.take(self.topology)
        started = time.monotonic()
        rate, callers = self.start_callers(name, load, LEAD_MS + KEPT_MS)
        began_us = time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000
        done = threading.Event()
        helper = None
        if disturb is not None:
            helper = threading.Thread(target=disturb, args=(self, done))
            helper.start()
        while time.monotonic() < started + (LEAD_MS + KEPT_MS) / 1000:
            time.sleep(0.02)
        done.set()
        after = sample.take(self.topology)
        for caller in callers:
            caller.finish()
        if helper is not None:
            helper.join()
        records = [record for caller in callers
                   for record in caller.records()]
        figures = report.figures(
            records, began_us + LEAD_MS * 1000,
            began_us + (LEAD_MS + KEPT_MS) * 1000, before, after, stats,
            self.topology.stats())
        figures.update(deployment=self.deployment.name, policy=self.policy,
                       scenario=name, load=load, rate=rate,
                       capacity=self.capacity(),
                       share=report.capacity_share(
                           figures, self.deployment, self.capacity()))
        time.sleep(QUIET_S)
        return figures

    def end(self):
        """The daemons' planned stops are not part of the measurement."""
        for process in self.run.processes:
            if process.child.poll() is None:
                process.child.kill()
                process.child.wait()
        self.topology.ports.close()


# ---- Disturbances: run beside the callers until told to end ----

def noise(bench, done):
    """One endpoint after the other is ten times slower for 20 to 200 ms."""
    choice = random.Random(SEED)
    while not done.is_set():
        endpoint = choice.choice(bench.topology.endpoints)
        endpoint.control(slow_factor=SLOW_FACTOR * bench.stretch)
        done.wait(choice.uniform(0.02, 0.2))
        endpoint.control(slow_factor=bench.stretch)


def cold(bench, done):
    """Endpoints restart or lose their warmth, in turn."""
    choice = random.Random(SEED)
    restart = True
    while not done.wait(choice.uniform(0.3, 0.6)):
        endpoint = choice.choice(bench.topology.endpoints)
        if restart:
            endpoint.control(restart=True)
        else:
            endpoint.control(cold=True)
        restart = not restart


def out_and_in(bench, done):
    """A data centre is taken out after 0.6 s and back 1.6 s later."""
    centre = bench.deployment.data_centres[1]
    done.wait(0.6)
    bench.topology.operate(f"/v1/data-centres/{centre}/out")
    done.wait(1.6)
    bench.topology.operate(f"/v1/data-centres/{centre}/in")


def kill_owner(bench, done):
    """The first instance is killed after 0.6 s and not replaced."""
    done.wait(0.6)
    child = bench.topology.instances[0].process.child
    child.kill()
    child.wait()


def run_kalamansi(bench):
    if bench.policy.endswith("+hedge"):
        yield bench.measure("noisy neighbours", 0.6, noise)
        yield bench.measure("endpoints turn cold", 0.5, cold)
        return
    yield bench.measure("steady 50%", 0.5)
    yield bench.measure("steady 80%", 0.8)
    yield bench.measure("noisy neighbours", 0.6, noise)
    yield bench.measure("endpoints turn cold", 0.5, cold)
    bench.topology.platform.faults(down=True)
    yield bench.measure("store down", 0.5)
    bench.topology.platform.faults(down=False)
    bench.slow_all(2)
    yield bench.measure("callers at 150%", 1.5)
    bench.slow_all(1)
    yield bench.measure("owner killed", 0.5, kill_owner)


def run_bergen(bench):
    if bench.policy.endswith("+hedge"):
        yield bench.measure("noisy neighbours", 0.6, noise)
        return
    yield bench.measure("steady 80%", 0.8)
    yield bench.measure("data centre out and in", 0.5, out_and_in)
    yield bench.measure("noisy neighbours", 0.6, noise)
    yield bench.measure("callers at 150%", 1.5)


DEPLOYMENTS = ((KALAMANSI, run_kalamansi), (BERGEN, run_bergen))


def commit():
    changed = subprocess.run(["git", "status", "--porcelain", "-uno"],
                             capture_output=True, text=True, check=True)
    head = subprocess.run(["git", "rev-parse", "--short=12", "HEAD"],
                          capture_output=True, text=True, check=True)
    return head.stdout.strip() + (" with changes" if changed.stdout else "")


def main():
    build = sys.argv[1]
    policies = sys.argv[2:] or POLICIES
    started = time.monotonic()
    head = {"command": "sh test/bench/bench " + " ".join(sys.argv[1:]),
            "seed": SEED, "commit": commit(),
            "date": datetime.datetime.now(datetime.timezone.utc).strftime(
                "%Y-%m-%d %H:%M UTC"),
            "load_before": os.getloadavg()[0]}
    print(f"seed {SEED}, commit {head['commit']}")
    rows = []
    for deployment, scenarios in DEPLOYMENTS:
        for policy in policies:
            with Run(build) as run:
                bench = Bench(run, deployment, policy)
                bench.warm()
                for figures in scenarios(bench):
                    rows.append(figures)
                    print(f"{time.monotonic() - started:.0f} s "
                          + report.short_line(figures), flush=True)
                bench.end()
    head["seconds"] = round(time.monotonic() - started)
    head["load_after"] = os.getloadavg()[0]
    head["stretch"] = STRETCH
    head["kept_ms"] = KEPT_MS
    head["lead_ms"] = LEAD_MS
    text = report.page(head, rows)
    print(text)
    if not sys.argv[2:]:
        report.write(rows, text)


try:
    main()
except (RunError, OSError, subprocess.CalledProcessError) as error:
    print(f"failed: {error}")
    sys.exit(1)
