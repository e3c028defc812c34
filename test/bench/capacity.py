"""Measurements for docs/CAPACITY.md.

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

GROUP = 12
WINDOW_S = 5
RATE = 15  # requests per second and instance under the light load
SERVE_S = 30
TICKS = os.sysconf("SC_CLK_TCK")
# Functions of the decision library whose instructions are stated, and what
# one call of them stands for.
FUNCTIONS = {
    "decide_request": "request",
    "decide_attempt_done": "end of an attempt",
    "pool_request": "grant by the owner",
    "router_granted": "grant received",
    "pool_release": "release at the owner",
    "ownership_heartbeat_send": "heartbeat to all members",
    "ownership_heartbeat": "heartbeat received",
    "node_note_loads": "pool load received",
    "ownership_heartbeat_ack": "acknowledgement received",
    "claims_start": "key claimed",
    "keys_message": "key message",
    "catalog_apply": "object applied",
    "node_update_pools": "change applied to the pools",
    "decide_tick": "tick"}


class Fleet(Topology):
    """Instances in groups of at most GROUP, all on one store."""

    def _fill_platform(self):
        super()._fill_platform()
        for name, body in profiles(self.deployment).items():
            self.platform.put("shared/profile/" + name, valid(body))

    def start_instance(self, instance):
        place = self.instances.index(instance) // GROUP
        group = self.group(instance)
        settings = settings_of(self, instance)
        settings["group"] = f"g{place}"
        names = {peer.name for peer in group}
        settings["instances"] = [peer for peer in settings["instances"]
                                 if peer["name"] in names]
        settings["log_level"] = "warning"
        path = self.run.path(instance.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        for port in (instance.callers, instance.peers, instance.operators):
            if port in self.ports.held:
                self.ports.release(port)
        instance.process = self.run.start(instance.name, PROGRAM, "-c", path)

    def group(self, instance):
        first = self.instances.index(instance) // GROUP * GROUP
        return self.instances[first:first + GROUP]

    def listed(self, instance):
        return len(self.addresses(instance)) == len(self.group(instance))

    def all_listed(self):
        return all(self.listed(instance) for instance in self.instances)

    def serving(self):
        """Whether every slice of every group's record is served."""
        for first in range(0, len(self.instances), GROUP):
            group = self.instances[first:first + GROUP]
            # An instance owns nothing before it has claimed its entry.
            if any(metric(peer, "peridot_slices_owned") == 0
                   for peer in group):
                return False
            if any(metric(peer, "peridot_slices_owned")
                   != metric(peer, "peridot_slices_serving")
                   for peer in group):
                return False
        return True

    def start_all(self):
        """Returns the seconds until each instance lists its whole group and
        serves its slices."""
        start = time.monotonic()
        for instance in self.instances:
            self.start_instance(instance)
        wait_for("all instances list their groups", self.all_listed, SERVE_S)
        wait_for("all slices are served", self.serving, SERVE_S)
        if metric(self.instances[0], "peridot_objects_rejected_total") > 0:
            raise RunError("objects were rejected: "
                           + self.instances[0].process.error_text()[:1000])
        return time.monotonic() - start


def valid(profile):
    """The daemon refuses a profile whose hedge delay is 0."""
    return {**profile, "hedge_after_ms": 50}


def metrics(instance):
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
    """CPU seconds, resident and proportional bytes, threads."""
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
    return {"cpu_s": (int(fields[11]) + int(fields[12])) / TICKS,
            "rss": sizes["VmRSS"], "pss": sizes["Pss"],
            "anon": sizes["RssAnon"], "threads": int(fields[17])}


def socket_bytes(ports):
    """Bytes of TCP payload that were sent and received, by connection, for
    the connections of entry instances to the given ports."""
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


def moved(before, after):
    """Bytes per direction on connections that were open throughout."""
    both = before.keys() & after.keys()
    return tuple(sum(after[ends][i] - before[ends][i] for ends in both)
                 for i in (0, 1))


def window(topology, seconds=WINDOW_S):
    """Means per instance (and second) over a window."""
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
    passed = last["at"] - first["at"]

    def rate(name):
        return sum(after.get(key, 0) - before.get(key, 0)
                   for before, after in zip(first["metrics"], last["metrics"])
                   for key in after if key.startswith(name)) / count / passed

    cpu = [after["cpu_s"] - before["cpu_s"] for before, after
           in zip(first["state"], last["state"])]
    peer_sent, peer_back = moved(first["peer_bytes"], last["peer_bytes"])
    store_sent, store_back = moved(first["store_bytes"], last["store_bytes"])
    return {
        "cpu_percent": round(100 * sum(cpu) / count / passed, 2),
        "cpu_percent_most": round(100 * max(cpu) / passed, 2),
        "rss_mb": round(max(s["rss"] for s in last["state"]) / 1e6, 1),
        "pss_mb": round(max(s["pss"] for s in last["state"]) / 1e6, 1),
        "anon_mb": round(max(s["anon"] for s in last["state"]) / 1e6, 1),
        "threads": max(s["threads"] for s in last["state"]),
        "messages_per_s": round(rate("peridot_peer_messages_sent_total"), 1),
        "heartbeats_per_s": round(rate(
            'peridot_peer_messages_sent_total{type="heartbeat"}'), 1),
        "requests_per_s": round(rate("peridot_requests_total"), 2),
        # A confirmation of each batch comes back on the same connection.
        "peer_bytes_out_per_s": round((peer_sent + peer_back) / count
                                      / passed),
        "store_bytes_out_per_s": round(store_sent / count / passed),
        "store_bytes_in_per_s": round(store_back / count / passed),
        "store_reads_per_s": round((last["store"]["reads"]
                                    - first["store"]["reads"]) / passed, 1),
        "store_writes_per_s": round((last["store"]["writes"]
                                     - first["store"]["writes"]) / passed,
                                    2)}


def change_times(topology, count=6):
    """Seconds from an operator's request until all instances have the
    change's revision."""
    times = []
    path = "/v1/profiles/booking"
    with concurrent.futures.ThreadPoolExecutor(16) as threads:
        for i in range(count):
            port = topology.instances[i % len(topology.instances)].operators
            body = valid(profiles(KALAMANSI)["booking"])
            body["queue_max"] = 32 + i
            start = time.monotonic()
            answer = request(port, "PUT", path, body)
            if answer.status != 200:
                raise RunError(f"{path}: {answer.status} {answer.body}")
            revision = answer.json()["revision"]
            left = list(topology.instances)
            while left:
                known = list(threads.map(
                    lambda peer: request(peer.operators, "GET",
                                         "/v1/status").json()["revision"],
                    left))
                left = [peer for peer, has in zip(left, known)
                        if has < revision]
                if time.monotonic() > start + SERVE_S:
                    raise RunError("a change is not in force everywhere")
            times.append(time.monotonic() - start)
            time.sleep(0.37)  # other phases of the reads of the store
    return {"change_s_median": round(sorted(times)[len(times) // 2], 3),
            "change_s_most": round(max(times), 3)}


def address_cost(instance, count=3000):
    """CPU time of one answer to GET /addresses on a kept connection."""
    connection = http.client.HTTPConnection("127.0.0.1", instance.callers)
    before = process_state(instance)["cpu_s"]
    start = time.monotonic()
    for _ in range(count):
        connection.request("GET", "/addresses")
        body = connection.getresponse().read()
    passed = time.monotonic() - start
    used = process_state(instance)["cpu_s"] - before
    connection.close()
    return {"address_us": round(1e6 * used / count, 1),
            "address_bytes": len(body),
            "addresses_per_s": round(count / passed)}


def load(topology, rate, seconds=WINDOW_S):
    caller = Caller(topology.run, f"caller-{rate}", "--entry",
                    topology.entry_list(), "--data-centre", "quezon",
                    "--rate", rate, "--duration-ms", (seconds + 4) * 1000,
                    "--mix", "slot-check=80,confirm=20")
    time.sleep(2)  # the first calls open connections
    means = window(topology, seconds)
    summary = caller.finish()
    means["outcomes"] = {key: value for key, value in summary.items()
                         if isinstance(value, int) and value > 0}
    return means


def stop(topology, report):
    """Planned stop of all; a failed one is stated and fails the script at
    its end."""
    try:
        statuses = topology.stop_instances()
    except RunError as error:
        report("stop", failed=str(error))
        return
    if any(statuses):
        report("stop", failed=f"exit statuses {statuses}")


def deployment(instances):
    return Deployment("capacity", KALAMANSI.data_centres, KALAMANSI.services,
                      instances, 0, 0, KALAMANSI.mix)


def above_slots(topology):
    """Most requests at an endpoint in excess of what it bears."""
    return max(entry["max_over_bearing"]
               for entry in topology.stats().values())


def fleet(build, report):
    """26 endpoints, 4 to 48 instances."""
    for count in (4, 12, 24, 48):
        with Run(build) as run:
            topology = Fleet(run, deployment(count))
            start_s = topology.start_all()
            idle = window(topology)
            report("fleet", instances=count, load="idle",
                   start_s=round(start_s, 2), **idle)
            report("fleet", instances=count, load="changes",
                   **change_times(topology))
            if count <= GROUP:
                # Instances of a second group on the store grant nothing.
                light = load(topology, RATE * count)
                report("fleet", instances=count, load="light",
                       above_slots=above_slots(topology), **light)
            if count == 12:
                report("fleet", instances=count, load="address",
                       **address_cost(topology.instances[0]))
                for rate in (600, 1200, 3000):
                    busy = load(topology, rate)
                    report("fleet", instances=count, load=rate,
                           above_slots=above_slots(topology), **busy)
            stop(topology, report)


class Many(Fleet):
    """As many services as at target size; their endpoints answer nothing."""

    def __init__(self, run, count, instances):
        self.wanted = count
        super().__init__(run, Deployment(
            "many", KALAMANSI.data_centres, [Service("booking", 6, 3)],
            instances, 0, 0, KALAMANSI.mix))

    def _fill_platform(self):
        super()._fill_platform()
        centres = self.deployment.data_centres
        for number in range(1, self.wanted // 6):
            self.platform.put(f"shared/service/service-{number}", {
                "profile": "booking",
                "endpoints": [{"id": f"service-{number}-{i}",
                               "data_centre": centres[i % len(centres)],
                               "address": f"127.0.0.1:{i + 1}", "slots": 3}
                              for i in range(6)]})


def objects(build, report):
    """Memory, CPU and bytes for a number of endpoints."""
    for count, members in ((26, 12), (260, 12), (2600, 12), (5200, 12),
                           (5200, 4)):
        with Run(build) as run:
            topology = Many(run, count, members)
            start_s = topology.start_all()
            snapshot = request(topology.platform.port, "GET",
                               "/objects?prefix=shared/&since=0").body
            report("objects", endpoints=count, members=members,
                   start_s=round(start_s, 2), snapshot_bytes=len(snapshot),
                   **window(topology), **change_times(topology, 3))
            stop(topology, report)


def reads_after(topology, seconds):
    """Calls of the store by tenth of a second."""
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
    """48 instances when the store returns."""
    with Run(build) as run:
        topology = Fleet(run, deployment(48))
        topology.start_all()
        for kind in (True, "silent"):
            topology.platform.faults(down=kind)
            time.sleep(6)
            topology.platform.faults(down=False)
            counts = reads_after(topology, 6)
            report("outage", instances=48, down=str(kind),
                   reads_first_s=sum(reads for reads, _ in counts[:10]),
                   reads_tenth_most=max(reads for reads, _ in counts),
                   reads_per_s_after=round(
                       sum(reads for reads, _ in counts[20:]) / 4, 1),
                   writes=sum(writes for _, writes in counts))
        stop(topology, report)


def restart(build, report):
    """A data centre of a group of 12 is lost and returns; then one planned
    restart of an instance."""
    with Run(build) as run:
        topology = Fleet(run, deployment(12))
        topology.start_all()
        lost = [peer for peer in topology.instances
                if peer.data_centre == "pasig"]
        kept = [peer for peer in topology.instances if peer not in lost]
        before = topology.platform.counters()
        start = time.monotonic()
        for peer in lost:
            peer.process.child.kill()
            peer.process.child.wait()
        wait_for("all slices are served by those that are left", lambda: sum(
            metric(peer, "peridot_slices_serving") for peer in kept)
            == 16 * 4, 60)
        taken_s = time.monotonic() - start
        middle = topology.platform.counters()
        for peer in lost:
            topology.start_instance(peer)
        wait_for("all instances list their groups", topology.all_listed, 60)
        wait_for("the returned instances own slices", topology.serving, 60)
        back = topology.platform.counters()
        record = request(topology.platform.port, "GET",
                         "/objects/shared/ownership/g0").json()
        report("restart", what="data centre of 4 lost",
               seconds=round(taken_s, 1),
               writes=middle["writes"] - before["writes"],
               record_bytes=len(record["body"]))
        report("restart", what="data centre of 4 returns",
               writes=back["writes"] - middle["writes"],
               seconds=round(time.monotonic() - start - taken_s, 1))
        before = topology.platform.counters()
        peer = topology.instances[0]
        peer.process.stop()
        middle = topology.platform.counters()
        topology.start_instance(peer)
        wait_for("all instances list their groups", topology.all_listed, 60)
        wait_for("the returned instance owns slices", topology.serving, 60)
        back = topology.platform.counters()
        report("restart", what="planned restart of one instance",
               writes_stop=middle["writes"] - before["writes"],
               writes_start=back["writes"] - middle["writes"])
        stop(topology, report)


def library(build, report):
    """The decision library in virtual time."""
    program = os.path.join(build, "test/bench/decide_cost")

    def cost(endpoints, per_ms, members, keyed=0, run_ms=2000):
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
    # A 33rd of the target for one group: 365 calls per second and endpoint.
    cost(156, 57, 12, 5)


def inclusive(path):
    """Calls and instructions by function from callgrind's output."""
    names = {}
    found = {}
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
                total = found.setdefault(callee, [0, 0])
                total[0] += calls
                total[1] += int(line.split()[1])
                calls = 0
    return found


def instructions(build, report):
    """Instructions of one call, the callbacks of the bench left out."""
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
            found = inclusive(path)
        report("instructions", endpoints=endpoints, members=members,
               **{name: round(found[name][1] / found[name][0])
                  for name in FUNCTIONS if name in found})


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
    # Instructions do not depend on what else runs.
    beside = [name for name in names if name == "instructions"]
    try:
        with concurrent.futures.ThreadPoolExecutor(1) as threads:
            counted = [threads.submit(run_part, name) for name in beside]
            for name in names:
                if name not in beside:
                    run_part(name)
            for future in counted:
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
