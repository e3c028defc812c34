"""Samples of the instances: their metrics, and CPU time and memory as the
kernel reports them."""

import os
import re
import time

from harness import request

TICK_S = 1 / os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
METRIC_LINE = re.compile(r"^(\w+)(\{[^}]*\})? (\S+)$")
ADDED_BUCKET = "peridot_added_seconds_bucket"


def cpu_s(path):
    # Returns the user and system time in s from a stat file in /proc.
    with open(path, encoding="ascii", errors="replace") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * TICK_S


def thread_cpu_s(directory):
    """Returns the CPU time of a thread in s, with a resolution of 1 ns if the
    kernel provides it."""
    with open(directory + "/schedstat", encoding="ascii") as file:
        ns = int(file.read().split()[0])
    return ns / 1e9 if ns else cpu_s(directory + "/stat")


def control_cpu_s(pid):
    """Returns the CPU time in s of the threads that serve no HTTP connection.
    The others belong to CivetWeb and are recognised by their names."""
    total = 0
    for thread in os.listdir(f"/proc/{pid}/task"):
        directory = f"/proc/{pid}/task/{thread}"
        try:
            with open(directory + "/comm", encoding="ascii") as file:
                if file.read().startswith("civetweb"):
                    continue
            total += thread_cpu_s(directory)
        except (FileNotFoundError, ProcessLookupError):
            pass  # the thread has ended in the meantime
    return total


def metrics(instance):
    # Returns the values of the metrics, by name with labels.
    values = {}
    text = request(instance.operators, "GET", "/metrics").body.decode()
    for line in text.splitlines():
        found = METRIC_LINE.match(line)
        if found:
            values[found[1] + (found[2] or "")] = float(found[3])
    return values


def take_samples(topology):
    """Returns a sample of each running instance by name."""
    samples = {}
    for instance in topology.instances:
        if instance.process.child.poll() is not None:
            continue
        pid = instance.process.child.pid
        with open(f"/proc/{pid}/statm", encoding="ascii") as file:
            resident = int(file.read().split()[1]) * PAGE_BYTES
        samples[instance.name] = {
            "at": time.monotonic(), "cpu": cpu_s(f"/proc/{pid}/stat"),
            "control_cpu": control_cpu_s(pid), "resident": resident,
            "metrics": metrics(instance)}
    return samples


def total(values, name):
    # Returns the sum of a metric over all its labels.
    return sum(value for key, value in values.items()
               if key == name or key.startswith(name + "{"))


def added_p99_ms(before, after):
    """Returns the p99 of the added time in ms, interpolated linearly within a
    bucket of the histogram, or None without data."""
    counts = {}
    for name, sample in after.items():
        for key, value in sample["metrics"].items():
            if key.startswith(ADDED_BUCKET):
                bound = float(re.search(r'le="([^"]+)"', key)[1])
                previous_count = before[name]["metrics"].get(key, 0)
                counts[bound] = counts.get(bound, 0) + value - previous_count
    bounds = sorted(counts)
    if not bounds or counts[bounds[-1]] == 0:
        return None
    target_count = 0.99 * counts[bounds[-1]]
    low_bound, low_count = 0, 0
    for bound in bounds:
        if counts[bound] >= target_count:
            if bound == float("inf"):
                return low_bound * 1000
            fraction = (target_count - low_count) \
                / max(counts[bound] - low_count, 1)
            return 1000 * (low_bound + fraction * (bound - low_bound))
        low_bound, low_count = bound, counts[bound]
    return None
