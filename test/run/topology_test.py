"""Tests the objects and settings of the deployments, without instances."""

import collections

from harness import main, request
from topology import BERGEN, KALAMANSI, Topology, settings_of


def show(run, deployment):
    topology = Topology(run, deployment, delays=True)
    response = request(topology.platform.port, "GET",
                       "/objects?prefix=shared/&since=0").json()
    print("--", deployment.name)
    print("objects:", *(entry["name"] for entry in response["objects"]))
    for service in deployment.services:
        count = collections.Counter(
            endpoint.data_centre for endpoint in topology.endpoints
            if endpoint.service is service)
        print(service.name + ":", dict(count))
    ports = [endpoint.port for endpoint in topology.endpoints]
    for instance in topology.instances:
        ports += [instance.callers, instance.peers, instance.operators]
    ports += topology.peer_proxy.ports.values()
    print("ports:", len(ports), "different:", len(set(ports)))
    one = topology.instances[0]
    settings = settings_of(topology, one)
    print("settings:", *settings)
    listed = [(peer, entry) for peer, entry in
              zip(topology.instances, settings["instances"])
              if peer is not one]
    delayed = [peer for peer, entry in listed
               if int(entry["peers"].split(":")[1]) != peer.peers]
    print("peers:", len(listed), "with delay:", len(delayed),
          "all in other data centres:",
          all(peer.data_centre != one.data_centre for peer in delayed))
    for process in [topology.platform.process, topology.peer_proxy.process] + [
            backends.process for backends in topology.backend_processes()]:
        process.terminate()
    topology.ports.close()


def script(run):
    show(run, KALAMANSI)
    # The next deployment starts processes with the same names, so these must
    # have ended.
    for process in run.processes:
        process.wait()
    show(run, BERGEN)


main(script)
