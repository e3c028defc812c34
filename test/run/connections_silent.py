"""Open connections go silent while new ones work.

Guards against requests that wait for a connection that will never answer,
and against a confirmation that is sent again after its connection went silent.
"""

from faultrun import Faults, now_us, wait_until
from harness import FaultProxy, main
from topology import Topology

RATE = 80  # requests per second and data centre
DURATION_MS = 14000
GAP_S = 3


class EndpointPaths(Topology):
    """Instances reach the endpoints through a fault proxy."""

    def _fill_platform(self):
        self.paths = FaultProxy(self.run, {endpoint.name: endpoint.port
                                           for endpoint in self.endpoints},
                                "paths")
        for endpoint in self.endpoints:
            endpoint.port = self.paths.ports[endpoint.name]
        super()._fill_platform()


def script(run):
    faults = Faults(run, topology=EndpointPaths)
    topology = faults.topology
    faults.load(RATE, DURATION_MS)
    before = topology.paths.report()
    at_us = now_us()
    # New connections work; those open at this moment never answer again.
    topology.paths.control("all", freeze="existing")
    faults.wait_work("every endpoint gets work after the freeze",
                     topology.endpoints, faults.requests())
    faults.say("endpoints get work over new connections", True)
    wait_until(at_us + GAP_S * 1e6, "the second freeze")
    topology.proxy.control("all", freeze="existing")
    counts = faults.requests()
    wait_until(at_us + 2 * GAP_S * 1e6, "work after the second freeze")
    faults.wait_work("every endpoint gets work after the second freeze",
                     topology.endpoints, counts)
    faults.say("endpoints get work after links between instances froze", True)
    after = topology.paths.report()
    faults.say("instances opened new connections", all(
        after[name]["accepted"] > before[name]["accepted"]
        for name in before))
    return faults.finish(0.8)


if __name__ == "__main__":
    main(script)
