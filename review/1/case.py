"""An endpoint breaks off a long response.  Clients have sent safe requests
before and behind it, and read at the pace of their links."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common import (TROUBLE, connect_narrow, platform_site,  # noqa: E402
                    request, route, run)

ROUNDS = 100
BEHIND = 2
# A response of the sheets has 540,000 bytes at most.
LONG_BYTES = 230000
SHORT_BYTES = 30000
# Time that the endpoints of the short responses work on a request.
SHORT_WORK_S = 0.1
# The endpoint breaks off before the last bytes.
MISSING_BYTES = 4000
# The doses of the kind `garble` in the site file: 0.6 of the endpoints break
# off 0.03 of their responses.
BREAKING = 3
ENDPOINTS = 5
BROKEN_EVERY = 34
# The client's pace, about 4 MB a second.
READ_BYTES = 8192
READ_PAUSE_S = 0.002
BUDGET_MS = 2500
PATIENCE_S = 4.0

ROUTES = {"archive": route("/archive/", "safe", "archives"),
          "list": route("/list/", "safe", "lists")}


class BreakingEndpoint(platform_site.Endpoint):
    """Endpoint that breaks off some of its responses."""

    breaks = False
    responses = 0

    def send_response(self, request_id, writer):
        self.responses += 1
        if not self.breaks or self.responses % BROKEN_EVERY != 0:
            super().send_response(request_id, writer)
            return
        body = platform_site.expected_body(request_id, self.size)
        fields = {platform_site.ATTEMPT_ID: request_id,
                  platform_site.SIGNATURE:
                      platform_site.expected_signature(request_id, body),
                  platform_site.LOAD: self.format_load()}
        response = platform_site.message("HTTP/1.1 200 OK", fields, body)
        self.site.note(f"{self.name} breaks off the response to {request_id}")
        writer.write(response[:-MISSING_BYTES])
        writer.close()


class Client:
    """A connection of a client that reads at the pace of its link."""

    def __init__(self, site):
        self.site = site
        self.received = b""

    async def open(self, instance):
        self.socket = await connect_narrow(instance)

    async def send(self, requests):
        data = b"".join(request("GET", target, request_id, BUDGET_MS)
                        for request_id, target in requests)
        await asyncio.get_running_loop().sock_sendall(self.socket, data)
        for request_id, target in requests:
            self.site.note(f"{request_id} GET {target} sent")

    async def read_more(self):
        await asyncio.sleep(READ_PAUSE_S)
        data = await asyncio.wait_for(
            asyncio.get_running_loop().sock_recv(self.socket, READ_BYTES),
            PATIENCE_S)
        if not data:
            raise ConnectionError("closed")
        self.received += data

    async def receive(self):
        """Returns the start line, the fields and the whole body of the next
        response; raises ConnectionError if it ends early."""
        while b"\r\n\r\n" not in self.received:
            await self.read_more()
        head, _, body = self.received.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        size = int(fields["content-length"])
        while len(body) < size:
            await self.read_more()
            body = self.received[len(head) + 4:]
        self.received = body[size:]
        return lines[0], fields, body[:size]


async def wrong_on(site, instance, number):
    """Returns the number of successes with a wrong body on a connection."""
    targets = ["/list/first", "/archive/1"] + [
        f"/list/{n}" for n in range(BEHIND)]
    requests = [(f"r{number:04d}-{n}", target)
                for n, target in enumerate(targets)]
    client = Client(site)
    wrong = 0
    await client.open(instance)
    try:
        await client.send(requests)
        for request_id, target in requests:
            start_line, fields, body = await client.receive()
            if not start_line.startswith("HTTP/1.1 200"):
                site.note(f"{request_id} is answered: {start_line}")
                continue
            size = LONG_BYTES if target == "/archive/1" else SHORT_BYTES
            expected = platform_site.expected_body(request_id, size)
            if (body == expected and fields.get(
                    platform_site.SIGNATURE.lower())
                    == platform_site.expected_signature(request_id, body)):
                site.note(f"{request_id} is answered: {start_line}, whole "
                          "body")
                continue
            wrong += 1
            at = next(i for i, pair in enumerate(zip(body, expected))
                      if pair[0] != pair[1])
            site.note(f"{request_id} is answered: {start_line}, signature "
                      f"{fields.get(platform_site.SIGNATURE.lower())}, "
                      f"{len(body)} bytes, wrong from byte {at} on: "
                      f"{body[at:at + 90]!r}")
            break
    except (ConnectionError, OSError, asyncio.TimeoutError, ValueError,
            KeyError) as error:
        site.note(f"r{number:04d}: connection of no more use: {error!r}")
    finally:
        client.socket.close()
    return wrong


async def script(site):
    archives = [e for e in site.endpoints.values()
                if e.service == "archives"]
    for endpoint in site.endpoints.values():
        endpoint.size = SHORT_BYTES
        if endpoint.service == "lists":
            endpoint.service_time_s = SHORT_WORK_S
    for position, endpoint in enumerate(archives):
        endpoint.size = LONG_BYTES
        endpoint.breaks = TROUBLE and position < BREAKING
    await asyncio.sleep(4)
    wrong = 0
    for number in range(ROUNDS):
        wrong += sum(await asyncio.gather(*(
            wrong_on(site, instance, 10 * number + i)
            for i, instance in enumerate(site.instances))))
    site.note(f"successes with a body that is not the endpoint's: {wrong}")
    return wrong > 0


platform_site.Endpoint = BreakingEndpoint
run(sys.argv[1], script, ROUTES, instances=3,
    endpoints={"archives": ENDPOINTS, "lists": 8})
