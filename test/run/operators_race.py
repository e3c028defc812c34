"""Two operators update one object concurrently, a response of the store is
lost, and an instance restarts during an outage of the store.

Guards against two updates of one version that both succeed, a change that is
reported as refused although it is stored, or that is stored twice, and an
instance that goes back to an older profile.
"""

import json
import os
import subprocess

from faultrun import FaultScenario, now_us, wait_for_since
from harness import main, request, wait_for

PROPAGATION_S = 4
RACES = 5


def script(run):
    scenario = FaultScenario(run)
    topology = scenario.topology
    instances = topology.instances
    ctl = os.path.join(run.build, "peridotctl/peridotctl")

    def stored():
        # Returns the object of the profile in the store.
        return request(topology.platform.port, "GET",
                       "/objects/shared/profile/booking").json()

    profile = json.loads(stored()["body"])

    def start_put(instance, run_ms, version):
        # Starts peridotctl to replace the given version of the profile.
        path = run.path(f"profile-{run_ms}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump({**profile, "run_ms": run_ms}, file)
        return subprocess.Popen(
            [ctl, "-a", f"http://127.0.0.1:{instance.operators}", "profiles",
             "put", "booking", path, "--expect", str(version)],
            stdin=subprocess.DEVNULL, stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT, text=True)

    def revisions(among):
        return [topology.status(instance)["revision"] for instance in among]

    one_wins = True
    for race in range(RACES):
        version = stored()["version"]
        commands = [start_put(instances[i], 500 + 10 * race + i, version)
                for i in (0, 1)]
        outputs = [command.communicate(timeout=20)[0] for command in commands]
        exit_codes = [command.returncode for command in commands]
        lost = [text for text, code in zip(outputs, exit_codes) if code]
        one_wins = (one_wins and exit_codes.count(0) == 1
                    and stored()["version"] == version + 1
                    and str(version + 1) in lost[0])
        if not one_wins:
            scenario.log_measurement(f"race {race}: {exit_codes} {outputs}")
            break
    scenario.check("one of two wins, the other is told the current version",
                   one_wins)

    version = stored()["version"]
    topology.platform.faults(lose_put_answers=1)
    lost = start_put(instances[2], 600, version)
    text = lost.communicate(timeout=20)[0]
    current = stored()
    scenario.log_measurement(
        f"lost answer: exit {lost.returncode}: {text.strip()}")
    scenario.check("a change whose answer was lost is accepted and stored "
                   "once",
                   lost.returncode == 0 and current["version"] == version + 1
                   and json.loads(current["body"])["run_ms"] == 600)

    last = start_put(instances[3], 650, current["version"])
    accepted = last.communicate(timeout=20)[0]
    accepted_us = now_us()
    if last.returncode:
        scenario.log_measurement(accepted)
    revision = stored()["revision"]
    wait_for_since(accepted_us, PROPAGATION_S, "all instances have the change",
                   lambda: min(revisions(instances)) >= revision)
    scenario.log_measurement(
        f"in force after {(now_us() - accepted_us) / 1000:.0f} ms")
    scenario.check(f"a change is in force everywhere within {PROPAGATION_S} s",
                   last.returncode == 0)

    topology.platform.faults(down=True)
    restarted = instances[4]
    restarted.process.signal(9)
    restarted.process.wait()
    topology.start_instance(restarted)
    revisions_seen = []

    def has_caught_up():
        try:
            revisions_seen.append(topology.status(restarted)["revision"])
        except OSError:
            return False
        return revisions_seen[-1] >= revision
    wait_for("the restarted instance has the newest state", has_caught_up, 10)
    scenario.check("a restarted instance takes the newest state from its "
                   "peers",
                   True)
    scenario.check("its revision never decreases",
                   revisions_seen == sorted(revisions_seen))
    responses = []

    def is_serving():
        responses.append(request(restarted.callers, "GET",
                                 "/s/booking/slot-check", None,
                                 {"Request-Id": "after-restart"}))
        return responses[-1].status == 200
    wait_for("the restarted instance serves callers", is_serving, 10)
    scenario.log_measurement(
        f"refusals before: {[a.body for a in responses[:-1]][:3]}")
    scenario.check("it serves callers without the store", True)
    scenario.check("no instance is behind",
                   min(revisions(instances)) >= revision)
    refused = start_put(instances[0], 700, current["version"] + 1)
    text = refused.communicate(timeout=30)[0]
    topology.platform.faults(down=False)
    scenario.check("a change without the store is not accepted",
                   refused.returncode != 0
                   and json.loads(stored()["body"])["run_ms"] == 650)
    return 0 if scenario.passed and not any(topology.stop_instances()) else 1


main(script)
