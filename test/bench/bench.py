"""Benchmark of the policy "owner" against baseline policies, with real
processes on loopback.

The policies run one after another, each on a topology of its own, with the
same seeds for the callers and the disturbances.  Writes tables and plots.
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

# "owner+hedge" is the policy "owner" with profiles that allow hedged requests.
# It runs only in the scenarios with slow endpoints, where hedging can help.
POLICIES = ("owner", "owner+hedge", "random", "round-robin",
            "least-outstanding", "power-of-two")
# About 2.5 times the mean service time of a slot check, with the factor below.
HEDGE_AFTER_MS = 100
SEED = 20261
# Factor on the service times of the deployments: it lowers the capacity so far
# that 4 cores can process requests at 80% of it.
SERVICE_TIME_FACTOR = 5
MEAN_SERVICE_TIMES_MS = {"slot-check": 8, "confirm": 15, "history": 12,
                         "archive": 25, "slip": 8, "filing": 15, "drawer": 25}
# Downloads are shorter than in production, so that 4 cores can process them.
ARCHIVE_BYTES = 131072
# Connections that a simulated backend server or an instance serves at a time.
BACKEND_THREADS = 512
WORKERS = 128
NOISE_SLOWDOWN_FACTOR = 10
WARMUP_MS = 1500
WARMUP_LOAD = 0.2  # of the capacity
# The start of a scenario is not measured, because the load still changes from
# that of the previous scenario.
RAMP_UP_MS = 400
MEASURED_MS = 2600
SCENARIO_GAP_S = 0.2


class Bench:
    """The processes of one deployment that runs with one policy."""

    def __init__(self, run, deployment, policy):
        self.deployment = deployment
        self.policy = policy
        options = ["--seed", SEED, "--archive-bytes", ARCHIVE_BYTES,
                   "--threads", BACKEND_THREADS]
        for option, kind in (("slot-check", "slot-check"),
                             ("confirm", "confirm"), ("history", "history"),
                             ("archive", "archive")):
            options += [f"--{option}-ms",
                        MEAN_SERVICE_TIMES_MS[kind] * SERVICE_TIME_FACTOR]
        self.run = run
        self.load_number = 0
        self.slowdown_factor = 1
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
        """Returns the rate of the whole mix, in requests/s, that saturates
        the service with the least capacity."""
        mix = report.mix_of(self.deployment)
        total = sum(mix.values())
        rates = []
        for service in self.deployment.services:
            service_time_ms = sum(
                weight * MEAN_SERVICE_TIMES_MS[kind] * SERVICE_TIME_FACTOR
                * self.slowdown_factor
                for kind, weight in mix.items()
                if report.SERVICE_OF[kind] == service.name)
            rates.append(service.endpoints * service.slots * 1000
                         / (service_time_ms / total))
        return min(rates)

    def start_callers(self, name, load, duration_ms):
        # Starts a load generator for each data centre; load is a fraction of
        # the capacity.  Returns the total requests/s and the load generators.
        data_centres = self.deployment.data_centres
        rate = load * self.capacity()
        entry = ",".join(f"127.0.0.1:{instance.callers}"
                         for instance in self.topology.instances
                         if instance.process.child.poll() is None)
        self.load_number += 1
        return rate, [
            Caller(self.run, f"{name}-{data_centre}", "--entry", entry,
                   "--data-centre", data_centre,
                   "--rate", rate / len(data_centres),
                   "--duration-ms", duration_ms,
                   "--seed", SEED + 100 * self.load_number + i,
                   "--mix", self.deployment.mix,
                   "--delay-ms", self.deployment.client_delay_ms)
            for i, data_centre in enumerate(data_centres)]

    def warm_up(self):
        _, callers = self.start_callers("warm", WARMUP_LOAD, WARMUP_MS)
        for caller in callers:
            caller.finish()

    def slow_all(self, factor):
        # Multiplies the service times of all endpoints.
        for endpoint in self.topology.endpoints:
            endpoint.control(slow_factor=factor)
        self.slowdown_factor = factor

    def measure(self, name, load, disturb=None):
        """Runs a scenario and returns its figures.  The function disturb,
        if given, runs in a thread during the scenario."""
        for endpoint in self.topology.endpoints:
            endpoint.control(cold=False, reset_max=True)
        stats = self.topology.stats()
        before = sample.take_samples(self.topology)
        started = time.monotonic()
        rate, callers = self.start_callers(name, load,
                                           RAMP_UP_MS + MEASURED_MS)
        began_us = time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000
        done = threading.Event()
        disturb_thread = None
        if disturb is not None:
            disturb_thread = threading.Thread(target=disturb,
                                              args=(self, done))
            disturb_thread.start()
        while time.monotonic() < started + (RAMP_UP_MS + MEASURED_MS) / 1000:
            time.sleep(0.02)
        done.set()
        after = sample.take_samples(self.topology)
        for caller in callers:
            caller.finish()
        if disturb_thread is not None:
            disturb_thread.join()
        records = [record for caller in callers
                   for record in caller.records()]
        figures = report.figures(
            records, began_us + RAMP_UP_MS * 1000,
            began_us + (RAMP_UP_MS + MEASURED_MS) * 1000, before, after, stats,
            self.topology.stats())
        figures.update(deployment=self.deployment.name, policy=self.policy,
                       scenario=name, load=load, rate=rate,
                       capacity=self.capacity(),
                       share=report.capacity_share(
                           figures, self.deployment, self.capacity()))
        time.sleep(SCENARIO_GAP_S)
        return figures

    def kill_processes(self):
        """Kills the processes, because a graceful shutdown is not part of
        the measurement."""
        for process in self.run.processes:
            if process.child.poll() is None:
                process.child.kill()
                process.child.wait()
        self.topology.ports.close()


# ---- Disturbances: each runs in a thread until the event done is set ----

def slow_random_endpoints(bench, done):
    """Makes one random endpoint at a time ten times slower, each for 20 to
    200 ms."""
    rng = random.Random(SEED)
    while not done.is_set():
        endpoint = rng.choice(bench.topology.endpoints)
        endpoint.control(
            slow_factor=NOISE_SLOWDOWN_FACTOR * bench.slowdown_factor)
        done.wait(rng.uniform(0.02, 0.2))
        endpoint.control(slow_factor=bench.slowdown_factor)


def cold(bench, done):
    """Alternates between restarting a random endpoint and making one cold."""
    rng = random.Random(SEED)
    restart = True
    while not done.wait(rng.uniform(0.3, 0.6)):
        endpoint = rng.choice(bench.topology.endpoints)
        if restart:
            endpoint.control(restart=True)
        else:
            endpoint.control(cold=True)
        restart = not restart


def take_data_centre_out_and_in(bench, done):
    """Takes a data centre out of service after 0.6 s and puts it back 1.6 s
    later."""
    data_centre = bench.deployment.data_centres[1]
    done.wait(0.6)
    bench.topology.put_admin(f"/v1/data-centres/{data_centre}/out")
    done.wait(1.6)
    bench.topology.put_admin(f"/v1/data-centres/{data_centre}/in")


def kill_first_instance(bench, done):
    """Kills the first instance after 0.6 s and does not restart it."""
    done.wait(0.6)
    child = bench.topology.instances[0].process.child
    child.kill()
    child.wait()


def run_kalamansi(bench):
    if bench.policy.endswith("+hedge"):
        yield bench.measure("noisy neighbours", 0.6, slow_random_endpoints)
        yield bench.measure("endpoints turn cold", 0.5, cold)
        return
    yield bench.measure("steady 50%", 0.5)
    yield bench.measure("steady 80%", 0.8)
    yield bench.measure("noisy neighbours", 0.6, slow_random_endpoints)
    yield bench.measure("endpoints turn cold", 0.5, cold)
    bench.topology.platform.faults(down=True)
    yield bench.measure("store down", 0.5)
    bench.topology.platform.faults(down=False)
    bench.slow_all(2)
    yield bench.measure("callers at 150%", 1.5)
    bench.slow_all(1)
    yield bench.measure("owner killed", 0.5, kill_first_instance)


def run_bergen(bench):
    if bench.policy.endswith("+hedge"):
        yield bench.measure("noisy neighbours", 0.6, slow_random_endpoints)
        return
    yield bench.measure("steady 80%", 0.8)
    yield bench.measure("data centre out and in", 0.5,
                        take_data_centre_out_and_in)
    yield bench.measure("noisy neighbours", 0.6, slow_random_endpoints)
    yield bench.measure("callers at 150%", 1.5)


DEPLOYMENTS = ((KALAMANSI, run_kalamansi), (BERGEN, run_bergen))


def describe_commit():
    # Returns the commit's short hash, and whether tracked files differ.
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
            "seed": SEED, "commit": describe_commit(),
            "date": datetime.datetime.now(datetime.timezone.utc).strftime(
                "%Y-%m-%d %H:%M UTC"),
            "load_before": os.getloadavg()[0]}
    print(f"seed {SEED}, commit {head['commit']}")
    rows = []
    for deployment, scenarios in DEPLOYMENTS:
        for policy in policies:
            with Run(build) as run:
                bench = Bench(run, deployment, policy)
                bench.warm_up()
                for figures in scenarios(bench):
                    rows.append(figures)
                    print(f"{time.monotonic() - started:.0f} s "
                          + report.short_line(figures), flush=True)
                bench.kill_processes()
    head["seconds"] = round(time.monotonic() - started)
    head["load_after"] = os.getloadavg()[0]
    head["stretch"] = SERVICE_TIME_FACTOR
    head["kept_ms"] = MEASURED_MS
    head["lead_ms"] = RAMP_UP_MS
    text = report.page(head, rows)
    print(text)
    if not sys.argv[2:]:
        report.write(rows, text)


try:
    main()
except (RunError, OSError, subprocess.CalledProcessError) as error:
    print(f"failed: {error}")
    sys.exit(1)
