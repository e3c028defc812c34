"""Takes the measurements from which docs/CAPACITY.md is derived.

Prints one line of JSON for each measurement and writes all of them to
capacity.json in the build directory.  Parts: library, instructions, fleet,
objects, outage, restart; all when none is named.
"""

import concurrent.futures
import http.client
import json
import os
import re
import subprocess
import sys
import tempfile
import time

from harness import Caller, Run, RunError, request, wait_for
from topology import (KALAMANSI, PROGRAM, Deployment, Service, Topology,
                      profiles, settings_of)

GROUP_SIZE_MAX = 12
WINDOW_S = 5
LIGHT_RATE = 15  # requests per second and instance
TIMEOUT_S = 30
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Functions of the decision library whose instructions per call are reported,
# and the event that one call handles.
FUNCTIONS = {
    "decide_request": "request",
    "decide_attempt_done": "end of an attempt",
    "pool_handle_grant_request": "grant by the owner",
    "router_handle_grant": "grant received",
    "pool_handle_release": "release at the owner",
    "ownership_send_heartbeats": "heartbeat to all members",
    "ownership_handle_heartbeat": "heartbeat received",
    "node_update_load": "pool load received",
    "ownership_handle_heartbeat_ack": "acknowledgement received",
    "claims_start": "key claimed",
    "keys_handle_message": "key message",
    "catalog_store_object": "object applied",
    "node_update_pools": "change applied to the pools",
    "decide_tick": "tick"}


class Fleet(Topology):
    """Instances in groups of at most GROUP_SIZE_MAX, all on one store."""

    def _fill_platform(self):
        super()._fill_platform()
        for name, body in profiles(self.deployment).items():
            self.platform.put("shared/profile/" + name, with_hedge_delay(body))

    def start_instance(self, instance):
        group_number = self.instances.index(instance) // GROUP_SIZE_MAX
        group = self.group(instance)
        settings = settings_of(self, instance)
        settings["group"] = f"g{group_number}"
        names = {peer.name for peer in group}
        settings["instances"] = [peer for peer in settings["instances"]
                                 if peer["name"] in names]
        settings["log_level"] = "warning"
        path = self.run.path(instance.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        for port in (instance.callers, instance.peers, instance.operators):
            if port in self.ports.reserved:
                self.ports.release(port)
        instance.process = self.run.start(instance.name, PROGRAM, "-c", path)

    def group(self, instance):
        # Returns the instances of an instance's group.
        first = self.instances.index(instance) // GROUP_SIZE_MAX \
            * GROUP_SIZE_MAX
        return self.instances[first:first + GROUP_SIZE_MAX]

    def lists_its_group(self, instance):
        return len(self.addresses(instance)) == len(self.group(instance))

    def all_list_their_groups(self):
        return all(self.lists_its_group(instance)
                   for instance in self.instances)

    def are_all_slices_served(self):
        """Returns whether every instance owns slices and serves all that it
        owns."""
        for first in range(0, len(self.instances), GROUP_SIZE_MAX):
            group = self.instances[first:first + GROUP_SIZE_MAX]
            # An instance owns no slice before it has entered itself in the
            # ownership record.
            if any(metric(peer, "peridot_slices_owned") == 0
                   for peer in group):
                return False
            if any(metric(peer, "peridot_slices_owned")
                   != metric(peer, "peridot_slices_serving")
                   for peer in group):
                return False
        return True

    def start_all(self):
        """Starts all instances; returns the seconds until each of them lists
        its whole group and serves its slices."""
        start = time.monotonic()
        for instance in self.instances:
            self.start_instance(instance)
        wait_for("all instances list their groups",
                 self.all_list_their_groups, TIMEOUT_S)
        wait_for("all slices are served", self.are_all_slices_served,
                 TIMEOUT_S)
        if metric(self.instances[0], "peridot_objects_rejected_total") > 0:
            raise RunError("objects were rejected: "
                           + self.instances[0].process.error_text()[:1000])
        return time.monotonic() - start


def with_hedge_delay(profile):
    """Returns a copy of the profile that the daemon accepts: it rejects a
    hedge delay of 0."""
    return {**profile, "hedge_after_ms": 50}


def metrics(instance):
    # Returns the values of the metrics, by name with labels.
    text = request(instance.operators, "GET", "/metrics").body.decode()
    values = {}
    for line in text.splitlines():
        if not line.startswith("#"):
            name, value = line.rsplit(" ", 1)
            values[name] = float(value)
    return values


def metric(instance, name):
    return metrics(instance).get(name, 0)


def process_state(instance):
    """Returns CPU seconds, bytes of memory (resident, proportional and
    anonymous) and the number of threads of an instance."""
    pid = instance.process.child.pid
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    sizes = {}
    for name in ("status", "smaps_rollup"):
        with open(f"/proc/{pid}/{name}", encoding="ascii") as file:
            for line in file:
                match = re.match(r"(VmRSS|Pss|RssAnon):\s+(\d+) kB", line)
                if match:
                    sizes[match.group(1)] = int(match.group(2)) * 1024
    return {"cpu_s": (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S,
            "rss": sizes["VmRSS"], "pss": sizes["Pss"],
            "anon": sizes["RssAnon"], "threads": int(fields[17])}


def socket_bytes(ports):
    """Returns the bytes of TCP payload that were sent and received on each
    connection to one of the given ports, by the connection's addresses."""
    text = subprocess.run(["ss", "-tinH"], check=True, text=True,
                          stdout=subprocess.PIPE).stdout
    found = {}
    ends = None
    for line in text.splitlines():
        if not line.startswith((" ", "\t")):
            fields = line.split()
            ends = (fields[3], fields[4])
        elif ends is not None and int(ends[1].rsplit(":", 1)[1]) in ports:
            sent = re.search(r"bytes_sent:(\d+)", line)
            received = re.search(r"bytes_received:(\d+)", line)
            found[ends] = (int(sent.group(1)) if sent else 0,
                           int(received.group(1)) if received else 0)
    return found


def count_transferred_bytes(before, after):
    """Returns the bytes sent and received between two samples, on connections
    that both samples contain."""
    both = before.keys() & after.keys()
    return tuple(sum(after[ends][i] - before[ends][i] for ends in both)
                 for i in (0, 1))


def measure_window(topology, seconds=WINDOW_S):
    """Returns means per instance and second, and the largest use of CPU,
    memory and threads by one instance, over a window."""
    count = len(topology.instances)
    peers = {instance.peers for instance in topology.instances}
    store = {topology.platform.port}

    def sample():
        return {"at": time.monotonic(), "store": topology.platform.counters(),
                "metrics": [metrics(i) for i in topology.instances],
                "state": [process_state(i) for i in topology.instances],
                "peer_bytes": socket_bytes(peers),
                "store_bytes": socket_bytes(store)}

    first = sample()
    time.sleep(seconds)
    last = sample()
    elapsed_s = last["at"] - first["at"]

    def rate(name):
        return sum(after.get(key, 0) - before.get(key, 0)
                   for before, after in zip(first["metrics"], last["metrics"])
                   for key in after if key.startswith(name)) \
            / count / elapsed_s

    cpu = [after["cpu_s"] - before["cpu_s"] for before, after
           in zip(first["state"], last["state"])]
    peer_sent, peer_received = count_transferred_bytes(
        first["peer_bytes"], last["peer_bytes"])
    store_sent, store_received = count_transferred_bytes(
        first["store_bytes"], last["store_bytes"])
    return {
        "cpu_percent": round(100 * sum(cpu) / count / elapsed_s, 2),
        "cpu_percent_most": round(100 * max(cpu) / elapsed_s, 2),
        "rss_mb": round(max(s["rss"] for s in last["state"]) / 1e6, 1),
        "pss_mb": round(max(s["pss"] for s in last["state"]) / 1e6, 1),
        "anon_mb": round(max(s["anon"] for s in last["state"]) / 1e6, 1),
        "threads": max(s["threads"] for s in last["state"]),
        "messages_per_s": round(rate("peridot_peer_messages_sent_total"), 1),
        "heartbeats_per_s": round(rate(
            'peridot_peer_messages_sent_total{type="heartbeat"}'), 1),
        "requests_per_s": round(rate("peridot_requests_total"), 2),
        # What an instance receives on these connections are confirmations of
        # batches, which other instances send.
        "peer_bytes_out_per_s": round((peer_sent + peer_received) / count
                                      / elapsed_s),
        "store_bytes_out_per_s": round(store_sent / count / elapsed_s),
        "store_bytes_in_per_s": round(store_received / count / elapsed_s),
        "store_reads_per_s": round((last["store"]["reads"]
                                    - first["store"]["reads"]) / elapsed_s, 1),
        "store_writes_per_s": round((last["store"]["writes"]
                                     - first["store"]["writes"]) / elapsed_s,
                                    2)}


def measure_change_times(topology, count=6):
    """Measures the seconds from an operator's request until all instances
    have the revision of the change."""
    times = []
    path = "/v1/profiles/booking"
    with concurrent.futures.ThreadPoolExecutor(16) as threads:
        for i in range(count):
            port = topology.instances[i % len(topology.instances)].operators
            body = with_hedge_delay(profiles(KALAMANSI)["booking"])
            body["queue_max"] = 32 + i
            start = time.monotonic()
            response = request(port, "PUT", path, body)
            if response.status != 200:
                raise RunError(f"{path}: {response.status} {response.body}")
            revision = response.json()["revision"]
            pending_peers = list(topology.instances)
            while pending_peers:
                known_revisions = list(threads.map(
                    lambda peer: request(peer.operators, "GET",
                                         "/v1/status").json()["revision"],
                    pending_peers))
                pending_peers = [
                    peer for peer, known_revision
                    in zip(pending_peers, known_revisions)
                    if known_revision < revision]
                if time.monotonic() > start + TIMEOUT_S:
                    raise RunError("a change is not in force everywhere")
            times.append(time.monotonic() - start)
            # The next change meets another phase of the periodic store reads.
            time.sleep(0.37)
    return {"change_s_median": round(sorted(times)[len(times) // 2], 3),
            "change_s_most": round(max(times), 3)}


def measure_address_cost(instance, count=3000):
    """Measures the CPU time of one response to GET /addresses on a persistent
    connection."""
    connection = http.client.HTTPConnection("127.0.0.1", instance.callers)
    before = process_state(instance)["cpu_s"]
    start = time.monotonic()
    for _ in range(count):
        connection.request("GET", "/addresses")
        body = connection.getresponse().read()
    elapsed_s = time.monotonic() - start
    used = process_state(instance)["cpu_s"] - before
    connection.close()
    return {"address_us": round(1e6 * used / count, 1),
            "address_bytes": len(body),
            "addresses_per_s": round(count / elapsed_s)}


def load(topology, rate, seconds=WINDOW_S):
    # Measures a window under load; rate is in requests/s.
    caller = Caller(topology.run, f"caller-{rate}", "--entry",
                    topology.entry_list(), "--data-centre", "quezon",
                    "--rate", rate, "--duration-ms", (seconds + 4) * 1000,
                    "--mix", "slot-check=80,confirm=20")
    time.sleep(2)  # the first requests open connections
    means = measure_window(topology, seconds)
    summary = caller.finish()
    means["outcomes"] = {key: value for key, value in summary.items()
                         if isinstance(value, int) and value > 0}
    return means


def stop(topology, report):
    """Shuts all instances down gracefully; a failure is reported and makes
    the script fail at its end."""
    try:
        statuses = topology.stop_instances()
    except RunError as error:
        report("stop", failed=str(error))
        return
    if any(statuses):
        report("stop", failed=f"exit statuses {statuses}")


def deployment(instances):
    # Returns the kalamansi deployment without delays, with so many instances.
    return Deployment("capacity", KALAMANSI.data_centres, KALAMANSI.services,
                      instances, 0, 0, KALAMANSI.mix)


def above_slots(topology):
    """Returns the largest number of requests by which an endpoint exceeded its
    capacity."""
    return max(entry["max_over_bearing"]
               for entry in topology.stats().values())


def fleet(build, report):
    """Measures 4 to 48 instances with 26 endpoints."""
    for count in (4, 12, 24, 48):
        with Run(build) as run:
            topology = Fleet(run, deployment(count))
            start_s = topology.start_all()
            idle = measure_window(topology)
            report("fleet", instances=count, load="idle",
                   start_s=round(start_s, 2), **idle)
            report("fleet", instances=count, load="changes",
                   **measure_change_times(topology))
            if count <= GROUP_SIZE_MAX:
                # Only with one group: the instances of further groups grant
                # nothing.
                light = load(topology, LIGHT_RATE * count)
                report("fleet", instances=count, load="light",
                       above_slots=above_slots(topology), **light)
            if count == 12:
                report("fleet", instances=count, load="address",
                       **measure_address_cost(topology.instances[0]))
                for rate in (600, 1200, 3000):
                    busy = load(topology, rate)
                    report("fleet", instances=count, load=rate,
                           above_slots=above_slots(topology), **busy)
            stop(topology, report)


class ManyServices(Fleet):
    """A fleet with a given number of endpoints, in services of 6; most of
    these endpoints do not exist and never respond."""

    def __init__(self, run, count, instances):
        self.endpoint_count = count
        super().__init__(run, Deployment(
            "many", KALAMANSI.data_centres, [Service("booking", 6, 3)],
            instances, 0, 0, KALAMANSI.mix))

    def _fill_platform(self):
        super()._fill_platform()
        centres = self.deployment.data_centres
        for number in range(1, self.endpoint_count // 6):
            self.platform.put(f"shared/service/service-{number}", {
                "profile": "booking",
                "endpoints": [{"id": f"service-{number}-{i}",
                               "data_centre": centres[i % len(centres)],
                               "address": f"127.0.0.1:{i + 1}", "slots": 3}
                              for i in range(6)]})


def objects(build, report):
    """Measures memory, CPU and bytes for several numbers of endpoints."""
    for count, members in ((26, 12), (260, 12), (2600, 12), (5200, 12),
                           (5200, 4)):
        with Run(build) as run:
            topology = ManyServices(run, count, members)
            start_s = topology.start_all()
            snapshot = request(topology.platform.port, "GET",
                               "/objects?prefix=shared/&since=0").body
            report("objects", endpoints=count, members=members,
                   start_s=round(start_s, 2), snapshot_bytes=len(snapshot),
                   **measure_window(topology),
                   **measure_change_times(topology, 3))
            stop(topology, report)


def count_store_calls(topology, seconds):
    """Returns the reads and writes of the store in each tenth of a second."""
    counts = []
    last = topology.platform.counters()
    for _ in range(seconds * 10):
        time.sleep(0.1)
        now = topology.platform.counters()
        counts.append((now["reads"] - last["reads"],
                       now["writes"] - last["writes"]))
        last = now
    return counts


def outage(build, report):
    """Measures the reads of 48 instances when the store returns after an
    outage."""
    with Run(build) as run:
        topology = Fleet(run, deployment(48))
        topology.start_all()
        for kind in (True, "silent"):
            topology.platform.faults(down=kind)
            time.sleep(6)
            topology.platform.faults(down=False)
            counts = count_store_calls(topology, 6)
            report("outage", instances=48, down=str(kind),
                   reads_first_s=sum(reads for reads, _ in counts[:10]),
                   reads_tenth_most=max(reads for reads, _ in counts),
                   reads_per_s_after=round(
                       sum(reads for reads, _ in counts[20:]) / 4, 1),
                   writes=sum(writes for _, writes in counts))
        stop(topology, report)


def restart(build, report):
    """Measures the loss and return of a data centre of a group of 12, and then
    one graceful restart of an instance."""
    with Run(build) as run:
        topology = Fleet(run, deployment(12))
        topology.start_all()
        lost = [peer for peer in topology.instances
                if peer.data_centre == "pasig"]
        remaining = [peer for peer in topology.instances if peer not in lost]
        before = topology.platform.counters()
        start = time.monotonic()
        for peer in lost:
            peer.process.child.kill()
            peer.process.child.wait()
        wait_for("all slices are served by those that are left", lambda: sum(
            metric(peer, "peridot_slices_serving") for peer in remaining)
            == 16 * 4, 60)
        takeover_s = time.monotonic() - start
        middle = topology.platform.counters()
        for peer in lost:
            topology.start_instance(peer)
        wait_for("all instances list their groups",
                 topology.all_list_their_groups, 60)
        wait_for("the returned instances own slices",
                 topology.are_all_slices_served, 60)
        back = topology.platform.counters()
        record = request(topology.platform.port, "GET",
                         "/objects/shared/ownership/g0").json()
        report("restart", what="data centre of 4 lost",
               seconds=round(takeover_s, 1),
               writes=middle["writes"] - before["writes"],
               record_bytes=len(record["body"]))
        report("restart", what="data centre of 4 returns",
               writes=back["writes"] - middle["writes"],
               seconds=round(time.monotonic() - start - takeover_s, 1))
        before = topology.platform.counters()
        peer = topology.instances[0]
        peer.process.stop()
        middle = topology.platform.counters()
        topology.start_instance(peer)
        wait_for("all instances list their groups",
                 topology.all_list_their_groups, 60)
        wait_for("the returned instance owns slices",
                 topology.are_all_slices_served, 60)
        back = topology.platform.counters()
        report("restart", what="planned restart of one instance",
               writes_stop=middle["writes"] - before["writes"],
               writes_start=back["writes"] - middle["writes"])
        stop(topology, report)


def library(build, report):
    """Measures the decision library in virtual time."""
    program = os.path.join(build, "test/bench/decide_cost")

    def cost(endpoints, per_ms, members, keyed=0, run_ms=2000):
        # Simulates run_ms with per_ms requests/ms; keyed is the percentage of
        # requests with an idempotency key.
        output = subprocess.run(
            [program, str(endpoints), str(per_ms), str(run_ms), str(members),
             str(keyed)], check=True, stdout=subprocess.PIPE).stdout
        report("library", per_ms=per_ms, keyed=keyed, **json.loads(output))

    for endpoints in (26, 260, 2600, 5200):
        cost(endpoints, 4, 1)
    for endpoints in (26, 260, 2600, 5200):
        cost(endpoints, 6, 12, 5)
    for members in (4, 8, 12, 16):
        cost(260, 6, members, 5)
    # One group at a 33rd of the target load: 365 requests per second and
    # endpoint.
    cost(156, 57, 12, 5)


def parse_callgrind_output(path):
    """Returns the calls and inclusive instructions by function from an output
    file of callgrind."""
    names = {}
    costs = {}
    callee = None
    calls = 0
    with open(path, encoding="utf-8") as file:
        for line in file:
            match = re.match(r"(c?fn)=\((\d+)\)(?: (.*))?", line)
            if match:
                if match.group(3):
                    names[match.group(2)] = match.group(3).strip()
                if match.group(1) == "cfn":
                    callee = names[match.group(2)].split("'")[0]
            elif line.startswith("calls="):
                calls = int(line[6:].split()[0])
            elif calls and re.match(r"[+\-*\d]", line):
                total = costs.setdefault(callee, [0, 0])
                total[0] += calls
                total[1] += int(line.split()[1])
                calls = 0
    return costs


def instructions(build, report):
    """Counts the instructions of one call of each function, without those of
    the benchmark's callback on_send()."""
    program = os.path.join(build, "test/bench/decide_cost")
    for endpoints, members in ((260, 12), (2600, 12)):
        with tempfile.TemporaryDirectory() as directory:
            path = os.path.join(directory, "out")
            subprocess.run(
                ["valgrind", "--tool=callgrind", "--quiet",
                 "--toggle-collect=on_send", "--collect-atstart=yes",
                 "--callgrind-out-file=" + path, program, str(endpoints), "6",
                 "500", str(members), "5"], check=True,
                stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
            costs = parse_callgrind_output(path)
        report("instructions", endpoints=endpoints, members=members,
               **{name: round(costs[name][1] / costs[name][0])
                  for name in FUNCTIONS if name in costs})


PARTS = {"library": library, "instructions": instructions, "fleet": fleet,
         "objects": objects, "outage": outage, "restart": restart}


def main():
    if len(sys.argv) < 2 or any(name not in PARTS for name in sys.argv[2:]):
        print("usage: capacity BUILD-DIRECTORY [PART...]\nparts:",
              *PARTS, file=sys.stderr)
        sys.exit(2)
    build = os.path.abspath(sys.argv[1])
    results = []

    def report(part, **values):
        results.append({"part": part, **values})
        print(json.dumps(results[-1]), flush=True)

    def run_part(name):
        begun = time.monotonic()
        PARTS[name](build, report)
        print(f"{name}: {time.monotonic() - begun:.0f} s", file=sys.stderr)

    start = time.monotonic()
    names = sys.argv[2:] or list(PARTS)
    # Instruction counts do not depend on the load of the machine, so this part
    # runs concurrently with the others.
    concurrent_parts = [name for name in names if name == "instructions"]
    try:
        with concurrent.futures.ThreadPoolExecutor(1) as threads:
            futures = [threads.submit(run_part, name)
                       for name in concurrent_parts]
            for name in names:
                if name not in concurrent_parts:
                    run_part(name)
            for future in futures:
                future.result()
    except (RunError, subprocess.CalledProcessError, OSError) as error:
        print(f"failed: {error}", file=sys.stderr)
        sys.exit(1)
    print(f"total: {time.monotonic() - start:.0f} s", file=sys.stderr)
    with open(os.path.join(build, "capacity.json"), "w",
              encoding="utf-8") as file:
        json.dump(results, file, indent=1)
    if any("failed" in result for result in results):
        sys.exit(1)


if __name__ == "__main__":
    main()
