"""Two groups of 3 instances on one store, with callers of every service at
both, while a service moves and while a group is deleted.

Guards against two groups that grant the same slots at a time, a key that
runs in both, and refusals whose addresses do not serve the request.
"""

import json

from faultrun import MAX_GRANT_AGE_S, THREE_CENTRES, FaultScenario, now_us, wait_until
from harness import Caller, main, request, wait_for
from topology import Topology, profiles, service_body, settings_of

RATE = 30  # requests per second, group and data centre
DURATION_MS = 60000
LONG_MS = 300
LEARN_S = 4
HOLD_S = LEARN_S + MAX_GRANT_AGE_S
# What a group needs beyond the hold, on a busy machine.
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
        return slices == sum(self.read_gauge(instance, "peridot_slices_serving")
                             for instance in self.instances)


def check(port, key=None):
    """A slot check, or with a key a confirmation, at one address."""
    headers = {"Request-Timeout-Ms": "2000"}
    if key is None:
        return request(port, "GET", "/s/booking/slot-check", None, headers)
    return request(port, "POST", "/s/booking/confirm", {"seat": 1},
                   {**headers, "Idempotency-Key": key})


def script(run):
    scenario = FaultScenario(run, THREE_CENTRES, TwoGroups)
    topology = scenario.topology
    # Long requests keep slots in use over a move.
    for endpoint in topology.endpoints:
        if endpoint.service.name == "booking":
            endpoint.control(slow_ms=LONG_MS)
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
    scenario.wait_for_requests("every endpoint gets work", topology.endpoints, {})
    one = {group: topology.members(group)[0] for group in GROUPS}
    wait_until(now_us() + (LEARN_S + RETENTION_S) * 1e6, "keys are certain")

    def serves(port, key=None):
        """The endpoints of a new owner are cold, so the first request may be
        refused for want of capacity."""
        wait_for("the address serves the request",
                 lambda: check(port, key).status == 200, HOLD_S + SLACK_S)

    def refusal_is_right(wrong, right, key=None):
        """At once, with the addresses of the other group, which work."""
        begin_us = now_us()
        response = check(one[wrong].callers, key)
        took_ms = (now_us() - begin_us) / 1000
        problem = response.json() if response.status == 421 else {}
        addresses = [entry["address"] for entry in problem.get("addresses", [])]
        for address in addresses:
            serves(int(address.split(":")[1]), key)
        listed = request(one[wrong].callers, "GET",
                         "/addresses?service=booking&data_centre=quezon")
        scenario.note(f"{response.status} after {took_ms:.0f} ms: {problem}")
        return (response.status == 421 and problem.get("ran") == "no"
                and took_ms < 500
                and sorted(addresses) == topology.addresses_of(right)
                and sorted(entry["address"] for entry
                           in listed.json()["addresses"])
                == topology.addresses_of(right))

    scenario.check("the wrong group answers 421 with addresses that work",
                   refusal_is_right("b", "a"))
    scenario.check("also for a key, which then runs once",
                   refusal_is_right("b", "a", "two-groups-1"))

    def change(path, method, body=None):
        response = request(one["b"].operators, method, path, body)
        if response.status != 200:
            scenario.note(f"{path}: {response.status} {response.body}")
        return now_us()

    def held(since_us, group):
        """Seconds until a request is answered by the group."""
        serves(one[group].callers)
        return (now_us() - since_us) / 1e6

    moved_us = change("/v1/services/booking", "PUT",
                      topology.body("booking", "b"))
    hold = held(moved_us, "b")
    scenario.note(f"a service that moved is served after {hold:.2f} s")
    scenario.check("a service that moved is held back for 4 s and the longest "
                   "grant", hold >= HOLD_S)
    problem = check(one["b"].callers, "two-groups-1").json()
    scenario.note(f"the key at the new group: {problem}")
    scenario.check("a key from before the move is refused as unknown",
                   problem.get("ran") == "unknown")
    scenario.check("the old group answers 421 with addresses that work",
                   refusal_is_right("a", "b"))
    wait_until(moved_us + (LEARN_S + RETENTION_S + 2) * 1e6,
               "the retention time has passed")
    serves(one["b"].callers, "two-groups-2")
    scenario.check("then new keys run at the new group", True)

    deleted_us = change("/v1/groups/b", "DELETE")
    hold = held(deleted_us, "a")
    scenario.note(f"after its group was deleted, it is served in {hold:.2f} s")
    scenario.check("a deleted group's services are held back as well",
                   hold >= HOLD_S)
    response = check(one["b"].callers)
    scenario.check("the group without an object serves nothing",
                   response.status == 421 and json.loads(response.body)["ran"] == "no")
    return scenario.finish(0.25)


main(script)
