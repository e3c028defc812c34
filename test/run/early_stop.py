"""SIGTERM arrives while an instance reads its settings, which a FIFO in place
of the file delays.

Guards against an instance that a signal during its start ends, instead of being
handled when the instance runs.
"""

import json
import os
import signal

from harness import main, open_when_read
from topology import (PROGRAM, Deployment, Service, Topology, settings_of)

DEPLOYMENT = Deployment("early-stop", ["quezon"], [Service("booking", 1, 1)],
                        1)


def script(run):
    topology = Topology(run, DEPLOYMENT)
    instance = topology.instances[0]
    for port in (instance.callers, instance.peers, instance.operators):
        topology.ports.release(port)
    path = run.path("settings.json")
    os.mkfifo(path)
    process = run.start(instance.name, PROGRAM, "-c", path)
    with open_when_read(path) as fifo:
        process.signal(signal.SIGTERM)
        json.dump(settings_of(topology, instance), fifo)
    print("status after SIGTERM:", process.wait())


main(script)
