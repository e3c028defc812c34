"""Runs the deployments of section 1 of the design page on loopback.

Only settings_of(), profiles() and service_body() depend on the formats of the
daemon's settings and of the objects in the store.
"""

import json

from harness import (Backends, FaultProxy, Platform, Ports, RunError, request,
                     wait_for)

PROGRAM = "peridotrouter/peridotrouter"
READY_TIMEOUT_S = 15
# Each open connection occupies a thread of standin-backend.
CONNECTIONS_PER_ENDPOINT = 96


# A service with a number of endpoints, each with so many slots.
class Service:
    def __init__(self, name, endpoints, slots):
        self.name = name
        self.endpoints = endpoints
        self.slots = slots


class Deployment:
    """A set of data centres, services and instances.

    client_delay_ms, peer_delay_ms: delays of messages between clients and
      instances, and between instances of different data centres.
    mix: weights of the kinds of requests.
    profile: values that replace the defaults of profiles() in every profile.
    """

    def __init__(self, name, data_centres, services, instances,
                 client_delay_ms=0, peer_delay_ms=0, mix="", profile=None):
        self.name = name
        self.data_centres = data_centres
        self.services = services
        self.instances = instances
        self.client_delay_ms = client_delay_ms
        self.peer_delay_ms = peer_delay_ms
        self.mix = mix
        self.profile = profile or {}


KALAMANSI = Deployment(
    "kalamansi", ["quezon", "pasig", "caloocan"],
    [Service("booking", 20, 3), Service("records", 6, 3)], 12, 1, 1.5,
    "slot-check=80,confirm=12,history=7,archive=1")
BERGEN = Deployment(
    "bergen", ["vestland-a", "vestland-b", "vestland-c", "vestland-d"],
    [Service("slipdesk", 20, 2), Service("drawerstore", 8, 2)], 12, 8, 1.5,
    "slip=80,filing=15,drawer=5")
SMALL = Deployment("small", ["quezon"], [Service("booking", 1, 3)], 1, 1, 0,
                   "slot-check=80,confirm=20")


def profiles(deployment):
    """Returns the body of one profile for each service, by name."""
    return {service.name: {
        "priority": 3, "timeout_ms": 2000, "run_ms": 1000, "queue_max": 64,
        "retry": True, "hedge": False, "key_retention_ms": 600000}
        | deployment.profile
        for service in deployment.services}


def service_body(service, endpoints):
    # Returns the body of a service's object in the store.
    return {"profile": service.name,
            "endpoints": [{"id": endpoint.name,
                           "data_centre": endpoint.data_centre,
                           "address": f"127.0.0.1:{endpoint.port}",
                           "slots": service.slots}
                          for endpoint in endpoints]}


def settings_of(topology, instance):
    """Returns the content of an instance's settings file."""
    return {
        "instance": instance.name,
        "data_centre": instance.data_centre,
        "listen": {"callers": f"127.0.0.1:{instance.callers}",
                   "peers": f"127.0.0.1:{instance.peers}",
                   "admin": f"127.0.0.1:{instance.operators}"},
        "instances": [{"name": peer.name, "data_centre": peer.data_centre,
                       "callers": f"127.0.0.1:{peer.callers}",
                       "peers": "127.0.0.1:"
                       f"{topology.peer_port(instance, peer)}"}
                      for peer in topology.instances],
        "store": {"url": f"http://127.0.0.1:{topology.store_port(instance)}"}}


class Instance:
    """An entry instance.

    callers, peers, operators: the ports on which it serves clients, other
      instances and the admin API.
    """

    def __init__(self, name, data_centre, ports):
        self.name = name
        self.data_centre = data_centre
        self.callers = ports.reserve()
        self.peers = ports.reserve()
        self.operators = ports.reserve()
        self.process = None


class Endpoint:
    """An endpoint and the test double that serves and controls it."""

    def __init__(self, name, service, data_centre, backends, index):
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.backends = backends
        self.index = index
        self.port = backends.ports[index]

    def control(self, **change):
        return self.backends.control(self.index, **change)


class Topology:
    """Platform, endpoints and entry instances of a deployment.

    delays: send messages between data centres through a fault proxy that adds
      the deployment's delay; link_name(a, b) names one direction of a link.
    record: the instances record events and decisions for test/replay.
    settings: additional settings of every instance.
    """

    def __init__(self, run, deployment, delays=False, backend_options=(),
                 record=False, settings=()):
        self.record = record
        self.run = run
        self.deployment = deployment
        self.settings = dict(settings)
        self.platform = Platform(run, "--instance-lag-ms", 2000)
        self.ports = Ports()
        self.peer_proxy = None
        self.endpoints = []
        self.instances = [
            Instance(f"{self._data_centre_of(i)}-{i}",
                     self._data_centre_of(i), self.ports)
            for i in range(deployment.instances)]
        self._start_backend_servers(backend_options)
        self._fill_platform()
        if delays and len(deployment.data_centres) > 1:
            self._add_delays()

    def _data_centre_of(self, index):
        centres = self.deployment.data_centres
        return centres[index % len(centres)]

    def _start_backend_servers(self, options):
        """Starts one test double for each service and data centre."""
        for service in self.deployment.services:
            for data_centre in self.deployment.data_centres:
                names = [f"{service.name}-{i}"
                         for i in range(service.endpoints)
                         if self._data_centre_of(i) == data_centre]
                if not names:
                    continue
                backends = Backends(
                    self.run, f"{service.name}-{data_centre}", len(names),
                    "--slots", service.slots, "--threads",
                    CONNECTIONS_PER_ENDPOINT * len(names), *options)
                self.endpoints += [
                    Endpoint(name, service, data_centre, backends, index)
                    for index, name in enumerate(names)]

    def _fill_platform(self):
        for name, body in profiles(self.deployment).items():
            self.platform.put("shared/profile/" + name, body)
        for service in self.deployment.services:
            self.platform.put(
                "shared/service/" + service.name,
                service_body(service, [endpoint for endpoint in self.endpoints
                                       if endpoint.service is service]))

    def _add_delays(self):
        self.peer_proxy = FaultProxy(self.run, {
            self.link_name(one, other): other.peers
            for one in self.instances for other in self.instances
            if one.data_centre != other.data_centre}, "links")
        self.peer_proxy.control("all", delay_ms=self.deployment.peer_delay_ms)

    @staticmethod
    def link_name(one, other):
        return f"{one.name}>{other.name}"

    def peer_port(self, instance, peer):
        """Returns the port at which an instance reaches a peer."""
        if self.peer_proxy is None:
            return peer.peers
        return self.peer_proxy.ports.get(self.link_name(instance, peer),
                                         peer.peers)

    def store_port(self, instance):
        """Returns the port at which an instance reaches the store."""
        return self.platform.port

    def start_instance(self, instance):
        # Writes the settings of an instance, starts it, and enters it in the
        # platform's list of instances.
        path = self.run.path(instance.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings_of(self, instance) | self.settings, file,
                      indent=1)
        for port in (instance.callers, instance.peers, instance.operators):
            if port in self.ports.reserved:
                self.ports.release(port)
        options = (["-r", self.recording_path(instance)] if self.record
                   else [])
        instance.process = self.run.start(instance.name, PROGRAM, "-c", path,
                                          *options)
        request(self.platform.port, "PUT", "/instances/" + instance.name,
                {"data_centre": instance.data_centre, "state": "live"})

    def recording_path(self, instance):
        return self.run.path(instance.name + ".rec")

    def start_instances(self):
        """Starts all instances; returns when each of them lists all addresses
        and every slice has an owner that may grant."""
        for instance in self.instances:
            self.start_instance(instance)
        wait_for("all instances list one another", self.all_listed,
                 READY_TIMEOUT_S)
        wait_for("all slices are served", self.all_slices_served,
                 READY_TIMEOUT_S)

    def read_gauge(self, instance, name):
        """Returns the value of a gauge in the instance's metrics."""
        text = request(instance.operators, "GET", "/metrics").body.decode()
        for line in text.splitlines():
            if line.startswith(name + " "):
                return float(line.split()[1])
        raise RunError(f"{instance.name} has no metric {name}")

    def all_slices_served(self):
        """Whether all slices of the data centres and of the idempotency keys
        are served."""
        slices = 16 * (1 + len(self.deployment.data_centres))
        return slices == sum(
            self.read_gauge(instance, "peridot_slices_serving")
            for instance in self.instances
            if instance.process.child.poll() is None)

    def addresses(self, instance):
        """Returns the addresses that an instance gives to clients, or an empty
        list if it does not answer."""
        if instance.process.child.poll() is not None:
            raise RunError(f"{instance.name} ended: "
                           f"{instance.process.error_text()[-2000:]}")
        try:
            response = request(instance.callers, "GET",
                               "/addresses?data_centre="
                               + instance.data_centre)
        except OSError:
            return []
        if response.status != 200:
            return []
        return [entry["address"] for entry in response.json()["addresses"]]

    def all_listed(self):
        # Whether every instance gives clients the addresses of all.
        return all(len(self.addresses(instance)) == len(self.instances)
                   for instance in self.instances)

    def status(self, instance):
        """Returns what an instance reports on its admin API about itself and
        the other instances."""
        response = request(instance.operators, "GET", "/v1/status")
        if response.status != 200:
            raise RunError(f"{instance.name}: {response.status} "
                           f"{response.body}")
        return response.json()

    def put_admin(self, path, instance=None):
        """Sends a PUT to the admin API of an instance, by default of the
        first."""
        instance = instance or self.instances[0]
        response = request(instance.operators, "PUT", path)
        if response.status not in (200, 204):
            raise RunError(f"{path}: {response.status} {response.body}")

    def endpoints_in(self, data_centre):
        return [endpoint for endpoint in self.endpoints
                if endpoint.data_centre == data_centre]

    def backend_processes(self):
        return list({id(endpoint.backends): endpoint.backends
                     for endpoint in self.endpoints}.values())

    def stats(self):
        """Returns the statistics of all endpoints, by name."""
        by_process = {id(backends): backends.stats()["endpoints"]
                      for backends in self.backend_processes()}
        return {endpoint.name: by_process[id(endpoint.backends)]
                [endpoint.index] for endpoint in self.endpoints}

    def journal(self):
        return [entry for backends in self.backend_processes()
                for entry in backends.journal()]

    def entry_list(self):
        # Returns the client addresses of all instances, joined by commas.
        return ",".join(f"127.0.0.1:{instance.callers}"
                        for instance in self.instances)

    def stop_instances(self, timeout=30):
        """Shuts all running instances down at once, gracefully; returns their
        exit statuses."""
        running = [instance.process for instance in self.instances
                   if instance.process.child.poll() is None]
        for process in running:
            process.terminate()
        statuses = [process.wait(timeout) for process in running]
        self.ports.close()
        return statuses


class StoreProxyTopology(Topology):
    """Each instance reaches the store through a proxy port of its own."""

    def _fill_platform(self):
        self.store_proxy = FaultProxy(
            self.run, {instance.name: self.platform.port
                       for instance in self.instances}, "stores")
        super()._fill_platform()

    def store_port(self, instance):
        return self.store_proxy.ports[instance.name]
