"""Open connections become unresponsive, first those to the endpoints, then
those between the instances; new connections work.

Guards against requests that wait on a connection that will never answer, and
against a confirmation that is sent again after its connection became
unresponsive.
"""

from faultrun import FaultScenario, now_us, wait_until
from harness import FaultProxy, main
from topology import Topology

RATE = 80  # requests per second and data centre
DURATION_MS = 14000
INTERVAL_S = 3  # between the two freezes


class EndpointProxyTopology(Topology):
    """Instances reach the endpoints through a fault proxy."""

    def _fill_platform(self):
        self.endpoint_proxy = FaultProxy(self.run,
                                         {endpoint.name: endpoint.port
                                          for endpoint in self.endpoints},
                                         "paths")
        for endpoint in self.endpoints:
            endpoint.port = self.endpoint_proxy.ports[endpoint.name]
        super()._fill_platform()


def script(run):
    scenario = FaultScenario(run, topology=EndpointProxyTopology)
    topology = scenario.topology
    scenario.start_load(RATE, DURATION_MS)
    before = topology.endpoint_proxy.report()
    at_us = now_us()
    # New connections work; those that are open now never answer again.
    topology.endpoint_proxy.control("all", freeze="existing")
    scenario.wait_for_requests("every endpoint gets work after the freeze",
                               topology.endpoints, scenario.requests())
    scenario.check("endpoints get work over new connections", True)
    wait_until(at_us + INTERVAL_S * 1e6, "the second freeze")
    topology.peer_proxy.control("all", freeze="existing")
    counts = scenario.requests()
    wait_until(at_us + 2 * INTERVAL_S * 1e6, "work after the second freeze")
    scenario.wait_for_requests("every endpoint gets work after the second "
                               "freeze",
                               topology.endpoints, counts)
    scenario.check("endpoints get work after links between instances froze",
                   True)
    after = topology.endpoint_proxy.report()
    scenario.check("instances opened new connections", all(
        after[name]["accepted"] > before[name]["accepted"]
        for name in before))
    return scenario.finish(0.8)


if __name__ == "__main__":
    main(script)
