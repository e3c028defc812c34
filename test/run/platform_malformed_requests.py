"""Callers send requests whose heads HTTP/1.1 does not allow: white space in the
name of a field or before its colon, in the head and in trailer fields.

Guards against such a line being passed on, which an endpoint may take for the
framing of the request.
"""

import asyncio

import platformrun
from platformrun import platform_site

LINES = ["X Note: a", "X-Note : a", "Transfer-Encoding : chunked",
         "Content-Length : 5", "Content-Length\t: 5", " folded: first",
         "X-\x80: a", "X-Note: a\x01b"]
# Lines that are unusual, but allowed.
ALLOWED = ["X-Note: a\tb \x80", "X-Note:", "!#$%&'*+.^_`|~: a"]


async def ask(site, line, method="GET", target="/look/1", trailer=None):
    """Returns the status that the caller gets, or "cut", and whether an
    endpoint got the request."""
    site.next_id += 1
    request_id = f"m{site.next_id}"
    body = b"x" if method == "POST" else b""
    site.sent[request_id] = (method, target, body)
    reader, writer = await asyncio.open_connection(
        site.instances[0].ip, platform_site.FRONT)
    try:
        fields = {"Host": "here.example",
                  platform_site.ATTEMPT_ID: request_id,
                  platform_site.DEADLINE_MS: "1000"}
        lines = [f"{method} {target} HTTP/1.1", line,
                 *(f"{name}: {value}" for name, value in fields.items())]
        if trailer is not None:
            lines.append("Transfer-Encoding: chunked")
            end = f"1\r\nx\r\n0\r\n{trailer}\r\n\r\n"
        else:
            lines.append(f"Content-Length: {len(body)}")
            end = body.decode()
        writer.write(("\r\n".join(lines) + "\r\n\r\n" + end)
                     .encode("latin-1"))
        first = await asyncio.wait_for(reader.readline(), 3)
        status = first.decode("latin-1").split(" ")[1] if first else "cut"
        return status, request_id in site.seen_fields
    finally:
        writer.transport.abort()


async def script(site):
    for line in LINES:
        print(f"{line!r}:", await ask(site, line),
              await ask(site, line, "POST", "/book/1"))
    print("trailer field:", await ask(site, "X-Note: a", "POST", "/book/1",
                                      "X-Note : a"))
    for line in ALLOWED:
        print(f"{line!r}:", await ask(site, line))
    print("allowed trailer field:", await ask(site, "X-Note: a", "POST",
                                              "/book/1", "X-Note: a"))


platformrun.main(script, instances=1, zones=("a",), endpoints={"slots": 4})
