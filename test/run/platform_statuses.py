"""Endpoints answer with odd statuses: 000, 099, 600 and more, as well as interim
ones with a body, in small responses and in those that are streamed, to requests
that may be repeated and to those that may not.

Guards against bytes that are no response and reach a caller as one.
"""

import asyncio
import collections

import platformrun
from platformrun import platform_site

STATUSES = ["000 Odd", "000", "099 Odd", "150 Odd", "600 Odd", "999 Odd",
            "1000 Odd", "-1 Odd"]
# A response of this size is streamed.
LARGE = 300000
REQUESTS = 12


async def ask(site, method, target):
    """Returns the status that the caller gets, as text, or "cut"."""
    site.next_id += 1
    request_id = f"o{site.next_id}"
    body = b"x" if method == "POST" else b""
    site.sent[request_id] = (method, target, body)
    reader, writer = await asyncio.open_connection(
        site.instances[0].ip, platform_site.FRONT)
    try:
        writer.write(platform_site.message(
            f"{method} {target} HTTP/1.1",
            {"Host": "here.example", platform_site.ATTEMPT_ID: request_id,
             platform_site.DEADLINE_MS: "1000"}, body))
        line = await asyncio.wait_for(reader.readline(), 3)
        status = line.decode("latin-1").split(" ")[1] if line else "cut"
        if status == "503" and site.runs.get(request_id):
            site.report_fault(f"refused after execution: {request_id}")
        return status
    finally:
        writer.transport.abort()


async def script(site):
    for status in STATUSES:
        for what, method, target, size in (
                ("small", "GET", "/look/1", 400),
                ("small, not repeatable", "POST", "/book/1", 400),
                ("large", "GET", "/file/1", LARGE)):
            for endpoint in site.endpoints.values():
                endpoint.size = size
                endpoint.faults = {f"status {status}": 1.0}
            got = collections.Counter(await asyncio.gather(
                *(ask(site, method, target) for _ in range(REQUESTS))))
            odd = sorted(s for s in got if s not in ("502", "503", "504"))
            print(f"{status}, {what}:", "never as a response"
                  if not odd else odd)
    for endpoint in site.endpoints.values():
        endpoint.faults = {}
        endpoint.size = 400
    await asyncio.sleep(1.5)
    print("afterwards:", {await ask(site, "GET", "/look/2")
                          for _ in range(5)})


platformrun.main(script, instances=1, zones=("a",),
                 endpoints={"slots": 4, "files": 3})
