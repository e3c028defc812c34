"""Endpoints run requests and answer them 408, 429 or 503 without the field that
states that a request has not run: in small and large responses, in chunks, and
in ones that stall.

Guards against a status that promises that a request has not run although it
has: a client would repeat a request that may run only once.
"""

import asyncio
import collections
import time

import platformrun
from platformrun import platform_site

STATUSES = ["408 Request Timeout", "429 Too Many Requests",
            "503 Service Unavailable", "500 Internal Server Error"]
LARGE = 300000
RESPONSES = [("small", 400, "length"), ("large", LARGE, "length"),
             ("large, in chunks", LARGE, "chunked"),
             ("small, stalled", 400, "stalled"),
             ("large, stalled", LARGE, "stalled")]
REQUESTS = 8
# A response that stalls would else end with the deadline of 1 s.
AT_ONCE_S = 0.5


async def ask(site, method, target):
    """Returns the status, "signed" if the response has a signature, and "late"
    if it has not begun at once."""
    site.next_id += 1
    request_id = f"f{site.next_id}"
    body = b"x" if method == "POST" else b""
    site.sent[request_id] = (method, target, body)
    reader, writer = await asyncio.open_connection(
        site.instances[0].ip, platform_site.FRONT)
    began = time.monotonic()
    try:
        writer.write(platform_site.message(
            f"{method} {target} HTTP/1.1",
            {"Host": "here.example", platform_site.ATTEMPT_ID: request_id,
             platform_site.DEADLINE_MS: "1000"}, body))
        head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3)
                ).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return "cut"
    finally:
        writer.transport.abort()
    status = head.split(" ")[1]
    if method == "POST" and status in ("408", "421", "429", "503") \
            and site.runs.get(request_id):
        site.report_fault(f"{status} after execution: {request_id}")
    return " ".join(
        [status] + ["signed"] * (platform_site.SIGNATURE + ":" in head)
        + ["late"] * (time.monotonic() - began > AT_ONCE_S))


async def ask_all(site, method, target):
    return dict(collections.Counter(await asyncio.gather(
        *(ask(site, method, target) for _ in range(REQUESTS)))))


async def script(site):
    for status in STATUSES:
        for what, size, framing in RESPONSES:
            if status[0:3] == "500" and framing == "stalled":
                continue
            for endpoint in site.endpoints.values():
                endpoint.size, endpoint.framing = size, framing
                endpoint.faults = {f"status {status}": 1.0}
            print(f"{status[:3]}, {what}:",
                  await ask_all(site, "POST", "/book/1"))
    for endpoint in site.endpoints.values():
        endpoint.size, endpoint.framing = 400, "length"
        endpoint.faults = {"status 429 Too Many Requests": 1.0}
    print("429, may be repeated:", await ask_all(site, "GET", "/look/1"))
    for endpoint in site.endpoints.values():
        endpoint.faults = {"status 503 Service Unavailable": 1.0}
    await asyncio.sleep(1)
    print("503, may be repeated:", await ask_all(site, "GET", "/look/1"))
    print("unconfirmed refusals are counted:",
          (await site.instances[0].metrics()).get(
              "peridot_unconfirmed_refusals_total", 0) > 0)
    for endpoint in site.endpoints.values():
        endpoint.faults = {}
        endpoint.declines = "0"
    print("true refusals:", await ask_all(site, "POST", "/book/1"))
    for endpoint in site.endpoints.values():
        endpoint.declines = None
    await asyncio.sleep(1.5)
    print("afterwards:", await ask_all(site, "POST", "/book/1"))


platformrun.main(script, instances=1, zones=("a",),
                 endpoints={"slots": 6, "files": 1})
