"""Two groups of 3 instances share a store, and both get requests for every
service, while a service moves to the other group and while a group is deleted.

Guards against two groups that grant the same slots at the same time, a key
that runs in both, and refusals whose addresses do not serve the request.
"""

import json

from faultrun import GRANT_S, THREE_CENTRES, FaultScenario, now_us, wait_until
from harness import Caller, main, request, wait_for
from topology import Topology, profiles, service_body, settings_of

RATE = 30  # requests per second, group and data centre
DURATION_MS = 60000
REQUEST_MS = 300
PROPAGATION_S = 4
# A group that gets a service does not serve it before the other group must
# know of the change and its grants have expired.
HOLD_S = PROPAGATION_S + GRANT_S
# Time that a group needs after the hold, on a busy machine.
SLACK_S = 5
RETENTION_S = 10
GROUPS = ("a", "b")
SERVED_BY = {"booking": "a", "records": "b"}


class TwoGroups(Topology):
    """The first half of the instances is group a, the second group b."""

    def group(self, instance):
        index = self.instances.index(instance)
        return GROUPS[index >= len(self.instances) // 2]

    def members(self, group):
        return [instance for instance in self.instances
                if self.group(instance) == group]

    def addresses_of(self, group):
        return sorted(f"127.0.0.1:{instance.callers}"
                      for instance in self.members(group))

    def body(self, service, group):
        # Returns the body of the object that assigns a service to a group.
        endpoints = [endpoint for endpoint in self.endpoints
                     if endpoint.service.name == service]
        return {**service_body(endpoints[0].service, endpoints),
                "groups": [group]}

    def start_instance(self, instance):
        members = self.members(self.group(instance))
        self.settings = {
            "group": self.group(instance),
            "instances": [entry for entry
                          in settings_of(self, instance)["instances"]
                          if entry["name"] in [m.name for m in members]]}
        super().start_instance(instance)

    def start_instances(self):
        for name, body in profiles(self.deployment).items():
            self.platform.put("shared/profile/" + name,
                              {**body,
                               "key_retention_ms": RETENTION_S * 1000})
        for group in GROUPS:
            self.platform.put("shared/group/" + group, {
                "data_centres": self.deployment.data_centres,
                "instances": [{"name": instance.name,
                               "data_centre": instance.data_centre,
                               "address": f"127.0.0.1:{instance.callers}"}
                              for instance in self.members(group)]})
        for service, group in SERVED_BY.items():
            self.platform.put("shared/service/" + service,
                              self.body(service, group))
        super().start_instances()

    def all_listed(self):
        return all(len(self.addresses(instance)) == 3
                   for instance in self.instances)

    def all_slices_served(self):
        slices = 16 * (1 + len(self.deployment.data_centres)) * len(GROUPS)
        return slices == sum(self.read_gauge(instance,
                                             "peridot_slices_serving")
                             for instance in self.instances)


def send_request(port, key=None):
    """Sends a slot check, or with a key a confirmation, to one address."""
    headers = {"Request-Timeout-Ms": "2000"}
    if key is None:
        return request(port, "GET", "/s/booking/slot-check", None, headers)
    return request(port, "POST", "/s/booking/confirm", {"seat": 1},
                   {**headers, "Idempotency-Key": key})


def script(run):
    scenario = FaultScenario(run, THREE_CENTRES, TwoGroups)
    topology = scenario.topology
    # Long requests keep slots in use while the service moves.
    for endpoint in topology.endpoints:
        if endpoint.service.name == "booking":
            endpoint.control(slow_ms=REQUEST_MS)
    seed = 0
    for group in GROUPS:
        for centre in topology.deployment.data_centres:
            seed += 1
            scenario.callers.append(Caller(
                run, f"callers-{group}-{centre}", "--entry",
                ",".join(topology.addresses_of(group)), "--data-centre",
                centre, "--rate", RATE, "--duration-ms", DURATION_MS, "--seed",
                seed, "--mix", topology.deployment.mix, "--delay-ms", 1,
                "--repeat-share", 0.2))
    scenario.wait_for_requests("every endpoint gets work", topology.endpoints,
                               {})
    instance_of = {group: topology.members(group)[0] for group in GROUPS}
    wait_until(now_us() + (PROPAGATION_S + RETENTION_S) * 1e6,
               "new keys may run")

    def wait_until_served(port, key=None):
        """Sends requests until one succeeds: the endpoints of a new owner are
        cold, so the first one may be refused for lack of capacity."""
        wait_for("the address serves the request",
                 lambda: send_request(port, key).status == 200,
                 HOLD_S + SLACK_S)

    def is_redirected(asked_group, serving_group, key=None):
        """Whether the asked group responds within 500 ms with 421 and the
        addresses of the serving group, and these serve the request."""
        begin_us = now_us()
        response = send_request(instance_of[asked_group].callers, key)
        took_ms = (now_us() - begin_us) / 1000
        problem = response.json() if response.status == 421 else {}
        addresses = [entry["address"]
                     for entry in problem.get("addresses", [])]
        for address in addresses:
            wait_until_served(int(address.split(":")[1]), key)
        listed = request(instance_of[asked_group].callers, "GET",
                         "/addresses?service=booking&data_centre=quezon")
        scenario.log_measurement(
            f"{response.status} after {took_ms:.0f} ms: {problem}")
        return (response.status == 421 and problem.get("ran") == "no"
                and took_ms < 500
                and sorted(addresses) == topology.addresses_of(serving_group)
                and sorted(entry["address"] for entry
                           in listed.json()["addresses"])
                == topology.addresses_of(serving_group))

    scenario.check("the wrong group answers 421 with addresses that work",
                   is_redirected("b", "a"))
    scenario.check("also for a key, which then runs once",
                   is_redirected("b", "a", "two-groups-1"))

    def change(path, method, body=None):
        # Sends a request to the admin API of group b; returns the time in us
        # of the response.
        response = request(instance_of["b"].operators, method, path, body)
        if response.status != 200:
            scenario.log_measurement(
                f"{path}: {response.status} {response.body}")
        return now_us()

    def seconds_until_served(since_us, group):
        """Returns the seconds from since_us until the group serves a
        request."""
        wait_until_served(instance_of[group].callers)
        return (now_us() - since_us) / 1e6

    moved_us = change("/v1/services/booking", "PUT",
                      topology.body("booking", "b"))
    hold_s = seconds_until_served(moved_us, "b")
    scenario.log_measurement(
        f"a service that moved is served after {hold_s:.2f} s")
    scenario.check("a service that moved is held back for 4 s and the longest "
                   "grant", hold_s >= HOLD_S)
    problem = send_request(instance_of["b"].callers, "two-groups-1").json()
    scenario.log_measurement(f"the key at the new group: {problem}")
    scenario.check("a key from before the move is refused as unknown",
                   problem.get("ran") == "unknown")
    scenario.check("the old group answers 421 with addresses that work",
                   is_redirected("a", "b"))
    wait_until(moved_us + (PROPAGATION_S + RETENTION_S + 2) * 1e6,
               "the retention time has passed")
    wait_until_served(instance_of["b"].callers, "two-groups-2")
    scenario.check("then new keys run at the new group", True)

    deleted_us = change("/v1/groups/b", "DELETE")
    hold_s = seconds_until_served(deleted_us, "a")
    scenario.log_measurement(
        f"after its group was deleted, it is served in {hold_s:.2f} s")
    scenario.check("a deleted group's services are held back as well",
                   hold_s >= HOLD_S)
    response = send_request(instance_of["b"].callers)
    scenario.check("the group without an object serves nothing",
                   response.status == 421 and json.loads(response.body)["ran"]
                   == "no")
    return scenario.finish(0.25)


main(script)
