"""Tests that replaying the recordings of instances gives the same decisions.

One instance is killed under load and one is paused for longer than the
ownership lease, so that takeovers, refusals and repeated confirmations are
recorded.
"""

import signal
import time

from audit import Audit
from harness import Caller, main, wait_for
from topology import Deployment, Service, Topology

TRIO = Deployment("trio", ["quezon", "pasig", "caloocan"],
                  [Service("booking", 6, 3)], 3, 1, 1.5,
                  "slot-check=70,confirm=30")
RATE = 40  # requests per second
DURATION_MS = 9000
LEASE_S = 2  # of the ownership


def parse_counts(text):
    # Returns the values of fields NAME=VALUE by name.
    return dict(field.split("=") for field in text.split())


def script(run):
    topology = Topology(run, TRIO, record=True,
                        backend_options=("--cold-ms", 200))
    topology.start_instances()
    killed, paused, kept = topology.instances
    caller = Caller(run, "callers", "--entry", topology.entry_list(),
                    "--data-centre", kept.data_centre, "--rate", RATE,
                    "--duration-ms", DURATION_MS, "--mix", TRIO.mix,
                    "--repeat-share", 0.3, "--seed", 5)
    wait_for("some records",
             lambda: sum(entry["requests"]
                         for entry in topology.stats().values()) > RATE)
    killed.process.signal(signal.SIGKILL)
    killed.process.wait()
    paused.process.signal(signal.SIGSTOP)
    until = time.monotonic() + LEASE_S + 1
    wait_for("the pause", lambda: time.monotonic() > until)
    paused.process.signal(signal.SIGCONT)
    summary = caller.finish()
    audit = Audit([summary], caller.records(), topology.journal(),
                  topology.stats())
    print("invariants that did not hold:", *audit.violations() or ["none"])
    print("stop:", paused.process.stop(30), kept.process.stop(30))
    forwarded = 0
    for name, instance in (("killed", killed), ("paused", paused),
                           ("kept", kept)):
        replay = run.start("replay-" + name, "test/replay/replay",
                           topology.recording_path(instance))
        print(f"replay of the {name} instance:", replay.wait())
        forwarded += int(parse_counts(replay.lines()[-1])["forwarded"])
    starts = sum(entry["requests"] for entry in topology.stats().values())
    # The end of the killed instance's recording may be lost, and an attempt
    # that was decided may not have been sent.
    print("forwarded as often as endpoints were called:",
          abs(starts - forwarded) <= 0.1 * starts)
    topology.ports.close()


main(script)
