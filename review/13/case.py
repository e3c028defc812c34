"""Case 13: a non-idempotent request that has run is answered 503."""

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

# Share of the endpoints that fail, and of their requests that fail.
FAILING_SHARE = 0.15
FAILED_REQUESTS = 0.4
CLIENTS = 16
DURATION_S = 40


class Grey(common.Endpoint):
    """Fails a part of the requests after it has run them; its status check
    stays good."""

    rng = random.Random(11)

    async def respond(self, request_id, target, writer):
        if common.TROUBLE and self.rng.random() < FAILED_REQUESTS:
            writer.write(site.message("HTTP/1.1 503 Service Unavailable", {
                site.ATTEMPT_ID: request_id, site.LOAD: self.load()},
                b"the ledger did not confirm in time\n"))
            return
        await super().respond(request_id, target, writer)


async def confirm(deployment, rng, operation, record, promised):
    """Sends one confirmation as a client does: after a promise that it has not
    run it is sent once more, with a new attempt id."""
    for _ in range(2):
        request_id = deployment.new_id()
        node = rng.choice(deployment.nodes)
        body = f"collect futon {operation}".encode()
        reader, writer = await asyncio.open_connection(node.ip, 8144)
        writer.write(common.encode_request(
            "POST", f"/pickup/{operation}", request_id, 2000, body))
        record.add(f"sent {request_id} POST /pickup/{operation} to "
                   f"{node.name}")
        try:
            line, fields, _ = await asyncio.wait_for(
                site.read_message(reader), 2.0)
            status = int(line.split(" ")[1])
        except (asyncio.TimeoutError, site.MessageError, OSError) as error:
            record.add(f"no answer {request_id}: {error!r}")
            status, fields = 0, {}
        writer.close()
        record.add(f"answered {request_id} {status}")
        if status not in common.REFUSALS:
            return
        promised.append(request_id)
        await asyncio.sleep(min(float(fields.get("retry-after", 0)), 0.6))


async def main(folder, record):
    deployment = common.Deployment(folder, record, {
        "pickup": common.route("/pickup/", "unsafe", "booking", 1.0)})
    count = 20
    failing = round(count * FAILING_SHARE)
    endpoints = [(Grey if n < failing else common.Endpoint)(
        deployment, n, "booking") for n in range(count)]
    promised = []
    try:
        await deployment.start(3, endpoints)
        until = time.monotonic() + DURATION_S
        operations = iter(range(1, 1000000))

        async def client(number):
            rng = random.Random(number)
            while time.monotonic() < until:
                await confirm(deployment, rng, next(operations), record,
                              promised)
                await asyncio.sleep(rng.expovariate(5))
        await asyncio.gather(*[client(n) for n in range(CLIENTS)])
        await asyncio.sleep(1)
    finally:
        await deployment.stop()
    broken = [i for i in promised if i in deployment.runs]
    for request_id in broken:
        record.add(f"broken: {request_id} was answered as not run and ran at "
                   f"{deployment.runs[request_id][0].name}")
    record.add(f"{deployment.next_id} requests sent, {len(promised)} refused, "
               f"{len(broken)} of these had run")
    print(f"{len(broken)} requests were refused and had run")
    return not broken


common.run_case(main)
