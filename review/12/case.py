"""Case 12: a process that can no longer read the configuration goes on reading
the store for all others, and a new version is in force nowhere."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

# pylint: disable=wrong-import-position
import common_3 as common  # noqa: E402
from common_3 import site  # noqa: E402

# Length of the cut, as in the site file.
CUT_S = 5.5
CONFIG_APPLY_S = 2.0
# The store is stable, and the rule in force, when it has been without
# impairment for so long.
STABLE_S = 3.0


class StorePath:
    """The path of one node to the store: a relay that can refuse new
    connections while the open ones work."""

    def __init__(self, store_port):
        self.store_port = store_port
        self.server = None
        self.port = 0
        self.watches = set()  # open connections that carry a watch

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1",
                                                 self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        store_reader, store_writer = await asyncio.open_connection(
            "127.0.0.1", self.store_port)

        async def copy(source, target, inspect):
            try:
                while data := await source.read(65536):
                    if inspect and b"watch=" in data:
                        self.watches.add(writer)
                    target.write(data)
                    await target.drain()
            except (ConnectionError, OSError):
                pass
            target.close()
        await asyncio.gather(copy(reader, store_writer, True),
                             copy(store_reader, writer, False))
        self.watches.discard(writer)

    def refuse(self):
        """Refuses new connections."""
        self.server.close()

    def cut_watches(self):
        for writer in list(self.watches):
            writer.transport.abort()


async def find_reader(deployment):
    """Returns the number of the node that reads the store for all."""
    found = []
    for number, node in enumerate(deployment.nodes):
        lines = node.log_lines("reads the store for all instances",
                               "stops reading the store")
        if lines and "reads the store for all" in lines[-1]:
            found.append(number)
    if len(found) != 1:
        raise RuntimeError(f"{len(found)} nodes read the store")
    return found[0]


async def main(folder, record):
    routes = {"care": common.route("/care/", "safe", "booking", 1.0)}
    deployment = common.Deployment(folder, record, routes)
    endpoints = [common.Endpoint(deployment, n, "booking") for n in range(6)]
    endpoints += [common.Endpoint(deployment, 6 + n, "records")
                  for n in range(6)]
    paths = []

    async def make_paths(store_port, count):
        for _ in range(count):
            paths.append(StorePath(store_port))
            await paths[-1].start()
        return [path.port for path in paths]

    stale = []
    try:
        await deployment.start(5, endpoints, make_paths)
        reader = await find_reader(deployment)
        record.add(f"{deployment.nodes[reader].name} reads the store")
        began = time.monotonic()
        if common.TROUBLE:
            record.add(f"new connections of {deployment.nodes[reader].name} "
                       "to the store are refused")
            paths[reader].refuse()
        await asyncio.sleep(0.2)
        # The next version moves the route to the other service.
        routes["care"] = common.route("/care/", "safe", "records", 1.0)
        if common.TROUBLE:
            record.add("the store cuts all waiting watches")
            for path in paths:
                path.cut_watches()
        impaired = time.monotonic()
        await deployment.configure()
        acked = time.monotonic()
        sent = {}

        async def client(number):
            rng = random.Random(number)
            while time.monotonic() < began + CUT_S - 0.1:
                others = [n for n in range(len(deployment.nodes))
                          if n != reader]
                node = deployment.nodes[rng.choice(others)]
                request_id = deployment.new_id()
                connection, writer = await asyncio.open_connection(
                    node.ip, 8144)
                sent[request_id] = (time.monotonic(), node.name)
                writer.write(common.encode_request(
                    "GET", f"/care/{request_id}", request_id, 1500))
                try:
                    line, _, _ = await asyncio.wait_for(
                        site.read_message(connection), 2)
                    status = line.split(" ")[1]
                except (asyncio.TimeoutError, site.MessageError, OSError):
                    status = "none"
                writer.close()
                record.add(f"sent {request_id} to {node.name}, answered "
                           f"{status}")
                await asyncio.sleep(rng.expovariate(10))
        await asyncio.gather(*[client(n) for n in range(6)])
        if common.TROUBLE:
            await paths[reader].start()
            record.add("the path is whole again")
        await asyncio.sleep(1)
        in_force_from = max(acked + CONFIG_APPLY_S,
                            impaired + STABLE_S if common.TROUBLE else 0)
        for request_id, (at, name) in sent.items():
            for endpoint in deployment.runs.get(request_id, []):
                if at > in_force_from and endpoint.service == "booking":
                    stale.append(request_id)
                    record.add(
                        f"broken: {request_id} was sent to {name} "
                        f"{at - acked:.2f} s after the ack of version "
                        f"{deployment.version} and ran at {endpoint.name} of "
                        "booking, which only the older version allows")
    finally:
        await deployment.stop()
    text = (f"{len(sent)} requests sent to nodes whose path to the store was "
            f"whole, {len(stale)} handled by the older version")
    record.add(text)
    print(text)
    return not stale


common.run_case(main)
