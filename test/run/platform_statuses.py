"""Endpoints answer with odd statuses: 000, 099, 600 and more, as well as interim
ones with a body, in small responses and in those that are streamed, to requests
that may be repeated and to those that may not.

Guards against bytes that are no response and reach a caller as one.
"""

import asyncio
import collections

import platformrun

STATUSES = ["000 Odd", "000", "099 Odd", "150 Odd", "600 Odd", "999 Odd",
            "1000 Odd", "-1 Odd"]
# A response of this size is streamed.
LARGE = 300000
REQUESTS = 12


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
                *(site.ask_for_status(method, target)
                  for _ in range(REQUESTS))))
            odd = sorted(s for s in got if s not in ("502", "503", "504"))
            print(f"{status}, {what}:", "never as a response"
                  if not odd else odd)
    for endpoint in site.endpoints.values():
        endpoint.faults = {}
        endpoint.size = 400
    await asyncio.sleep(1.5)
    print("afterwards:", {await site.ask_for_status("GET", "/look/2")
                          for _ in range(5)})


platformrun.main(script, instances=1, zones=("a",),
                 endpoints={"slots": 4, "files": 3})
