"""Common parts of the runs with failures: deployment, load and checks.

The measured values of a run go to stderr, since they differ from run to run;
the results of the checks go to stdout.
"""

import collections
import signal
import sys
import time

from audit import Audit
from harness import Caller, wait_for
from topology import Deployment, Service, Topology

THREE_CENTRES = Deployment(
    "three-centres", ["quezon", "pasig", "caloocan"],
    [Service("booking", 12, 3), Service("records", 6, 3)], 6, 1, 1.5,
    "slot-check=70,confirm=22,history=7,archive=1")
# The longest lifetime of a grant: the time in which it can be reused and the
# run time of the profiles together.
GRANT_S = 1.5


def now_us():
    """Returns the time on the clock that the test doubles record with."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


def wait_until(time_us, what):
    """Waits until a scheduled time on the clock of now_us(); it must not stand
    in for waiting until a process has done something."""
    wait_for(what, lambda: now_us() >= time_us, 60)


def wait_for_since(since_us, seconds, what, condition):
    """Like wait_for(), with a timeout in seconds that began at since_us."""
    remaining_s = since_us / 1e6 + seconds - now_us() / 1e6
    return wait_for(what, condition, max(0, remaining_s))


class FaultScenario:
    """Runs a deployment under load, injects faults and checks the outcome.

    killed: time in us at which an instance was killed, by its address.
    paused: begin and end in us of the pause of an instance, by its address.
    restarts: times in us at which an endpoint was restarted.
    """

    def __init__(self, run, deployment=THREE_CENTRES, topology=Topology,
                 backend_options=()):
        self.run = run
        self.topology = topology(run, deployment, True, backend_options)
        self.callers = []
        self.killed = {}
        self.restarts = []
        self.paused = {}
        self.exit_statuses = {}
        self.passed = True
        self.topology.start_instances()

    def start_load(self, rate, duration_ms, repeat_share=0.2, mix=None,
                   **options):
        """Starts a load generator for each data centre; returns when every
        endpoint has received requests."""
        deployment = self.topology.deployment
        option_words = [text for name, value in options.items()
                        for text in ("--" + name.replace("_", "-"), value)]
        for seed, centre in enumerate(deployment.data_centres, 1):
            self.callers.append(Caller(
                self.run, "callers-" + centre, "--entry",
                self.topology.entry_list(), "--data-centre", centre, "--rate",
                rate, "--duration-ms", duration_ms, "--seed", seed, "--mix",
                mix or deployment.mix, "--delay-ms",
                deployment.client_delay_ms, "--repeat-share", repeat_share,
                *option_words))
        self.wait_for_requests("every endpoint gets work",
                               self.topology.endpoints, {})

    def requests(self, endpoints=None):
        """Returns the number of requests that reached each endpoint, by
        name."""
        stats = self.topology.stats()
        return {endpoint.name: stats[endpoint.name]["requests"]
                for endpoint in endpoints or self.topology.endpoints}

    def wait_for_requests(self, what, endpoints, before, since_us=None,
                          seconds=15):
        """Waits until each endpoint has had more requests than in before, for
        the given seconds from since_us, by default from now."""
        def condition():
            return all(count > before.get(name, 0) for name, count
                       in self.requests(endpoints).items())
        if since_us is None:
            since_us = now_us()
        wait_for_since(since_us, seconds, what, condition)

    def endpoints_owned_by(self, instance, viewer=None):
        """Returns the endpoints whose pool an instance owns according to the
        viewer, by default another instance."""
        viewer = viewer or next(other for other in self.topology.instances
                                if other is not instance)
        names = {entry["endpoint"]
                 for entry in self.topology.status(viewer)["endpoints"]
                 if entry["owner"] == instance.name}
        return [endpoint for endpoint in self.topology.endpoints
                if endpoint.name in names]

    def owner(self, data_centre, service="booking"):
        """Waits until the first pool of a service in a data centre has an
        owner; returns the owner."""
        def find():
            entries = self.topology.status(
                self.topology.instances[0])["endpoints"]
            name = next(entry["owner"] for entry in entries
                        if entry["service"] == service
                        and entry["data_centre"] == data_centre)
            return next((instance for instance in self.topology.instances
                         if instance.name == name), None)
        return wait_for("the pool has an owner", find)

    def kill(self, instance):
        """Kills an instance with SIGKILL; returns the time in us."""
        at_us = now_us()
        instance.process.signal(signal.SIGKILL)
        instance.process.wait()
        self.killed[f"127.0.0.1:{instance.callers}"] = at_us
        return at_us

    def pause(self, instance):
        """Stops an instance with SIGSTOP until resume(); returns the time in
        us."""
        at_us = now_us()
        instance.process.signal(signal.SIGSTOP)
        self.paused[f"127.0.0.1:{instance.callers}"] = [at_us, at_us]
        return at_us

    def resume(self, instance):
        instance.process.signal(signal.SIGCONT)
        self.paused[f"127.0.0.1:{instance.callers}"][1] = now_us()

    def saturate_data_centre(self, data_centre, slow_ms, rate, duration_ms):
        """Starts load with requests long enough to keep all slots of a data
        centre in use, so that one excess grant exceeds the slots; returns the
        owner of its first pool and the endpoints that it owns."""
        for endpoint in self.topology.endpoints_in(data_centre):
            endpoint.control(slow_ms=slow_ms)
        self.start_load(rate, duration_ms)
        owner = self.owner(data_centre)
        pools = self.endpoints_owned_by(owner)
        self.check("the owner has pools", len(pools) > 0)
        return owner, pools

    def starts_by_key(self):
        """Returns how often endpoints started each idempotency key."""
        return collections.Counter(entry["key"]
                                   for entry in self.topology.journal())

    def check_no_late_requests(self, endpoints, limit_s):
        """Checks that no request came too late after endpoint.control() marked
        the endpoints as out."""
        stats = self.topology.stats()
        stats = [stats[endpoint.name] for endpoint in endpoints]
        self.log_measurement("last new work in ms: " + str(sorted(
            entry["last_after_out_ms"] for entry in stats)))
        self.check(f"no new work {limit_s} s after the command",
                   not any(entry["late_after_out"] for entry in stats))

    def count_timeouts(self, records):
        """Counts the timeouts of requests, except those whose instance was
        paused while it had the request."""
        def was_paused(record):
            begin, end = self.paused.get(record["instance"], (0, 0))
            return record["start_us"] < end and record["end_us"] > begin
        return sum(record["outcome"] == "timeout" and not was_paused(record)
                   for record in records)

    def check(self, what, passed):
        """Prints the result of a check; a failed one fails the script."""
        print(f"{what}: {'yes' if passed else 'NO'}")
        self.passed = self.passed and bool(passed)

    @staticmethod
    def log_measurement(text):
        """Prints a measured value, which is not checked, to stderr."""
        print(text, file=sys.stderr)

    def running_instances(self):
        return [instance for instance in self.topology.instances
                if instance.process.child.poll() is None]

    def finish(self, min_whole_share, kinds=None):
        """Ends the load and the instances, runs the final checks and the
        audit, and returns the exit status of the script.

        min_whole_share: required share of whole responses to requests of
          these kinds, or of all kinds if kinds is None.
        """
        summaries = [caller.finish() for caller in self.callers]
        records = [record for caller in self.callers
                   for record in caller.records()]
        # Instances that shut down together while the store is down would wait
        # for the longest time that a shutdown may take.
        self.topology.platform.faults(down=False)
        running_instances = self.running_instances()
        for instance in running_instances:
            instance.process.terminate()
        for instance in running_instances:
            self.exit_statuses[instance.name] = instance.process.wait(30)
        audit = Audit(summaries, records, self.topology.journal(),
                      self.topology.stats(), self.killed, self.restarts)
        self.topology.ports.close()
        selected = [record for record in records
                    if kinds is None or record["kind"] in kinds]
        whole = sum(record["outcome"] == "whole" for record in selected)
        self.log_measurement(
            f"counts: {audit.counts}, cut by a kill: "
            f"{audit.broken_by_fault}, share whole: "
            f"{whole / max(1, len(selected)):.4f}, most above "
            f"slots: {audit.above_slots}")
        first_us = min(record["start_us"] for record in records)
        for kind in sorted({record["kind"] for record in records}):
            seconds = collections.Counter(
                (record["start_us"] - first_us) // 1000000
                for record in records if record["kind"] == kind
                and record["outcome"] != "whole")
            self.log_measurement(f"{kind}, not whole by second: "
                                 f"{sorted(seconds.items())}")
        self.check(f"at least {min_whole_share:.0%} of the answers are whole",
                   whole >= min_whole_share * len(selected))
        self.check("every request is answered by its deadline, unless its "
                   "instance was paused", self.count_timeouts(records) == 0)
        print("invariants that did not hold:", *audit.violations() or ["none"])
        self.check("planned stops end with status 0",
                   not any(self.exit_statuses.values()))
        if audit.violations():
            self.passed = False
        return 0 if self.passed else 1
