"""Endpoints answer with heads that HTTP/1.1 does not allow: white space in the
name of a field or before its colon, and control characters in a field or in the
status line.

Guards against such a line being passed on in a success, where a client may take
it for the framing of the response.
"""

import asyncio
import collections

import platformrun

FAULTS = ["line Content Type: text/plain", "line Content-Type : text/plain",
          "line Transfer-Encoding : chunked", "line Content-Length : 3",
          "line Content-Type\t: text/plain", "line  folded: first",
          "line X-Note: a\x01b", "line X-\x80: a", "line no colon",
          "line : no name", "status 200 O\x01K", "status 200 O\x7fK"]
# Lines that are unusual, but allowed.
ALLOWED = ["line X-Note: a\tb \x80", "line X-Note:", "line !#$%&'*+.^_`|~: a",
           "status 200 O\tK \x80", "status 200 ", "status 200"]
REQUESTS = 12


async def ask_all(site, fault, method, target, size):
    for endpoint in site.endpoints.values():
        endpoint.size = size
        endpoint.faults = {fault: 1.0}
    got = collections.Counter(await asyncio.gather(
        *(site.ask_for_status(method, target) for _ in range(REQUESTS))))
    return sorted(got)


async def script(site):
    for fault in FAULTS:
        for what, method, target, size in (
                ("small", "GET", "/look/1", 400),
                ("small, not repeatable", "POST", "/book/1", 400),
                ("large", "GET", "/file/1", 300000)):
            got = await ask_all(site, fault, method, target, size)
            if not set(got) <= {"502", "503", "504"}:
                print(f"{fault!r}, {what}: {got}")
    for fault in ALLOWED:
        print(f"{fault!r}:", await ask_all(site, fault, "GET", "/look/1", 400))
    for endpoint in site.endpoints.values():
        endpoint.faults = {}
        endpoint.size = 400
    await asyncio.sleep(1.5)
    print("afterwards:", {await site.ask_for_status("GET", "/look/2")
                          for _ in range(5)})


platformrun.main(script, instances=1, zones=("a",),
                 endpoints={"slots": 4, "files": 3})
