"""Callers send large bodies by the hundred to one instance, and some stall.

Guards against an instance whose memory grows with the number of uploads until
it is killed, against a body that is changed or cut, and against memory that
callers who stall keep for good.
"""

import asyncio
import random

import platformrun
from platformrun import platform_site

UPLOADS = 150
BODY_BYTES = 540_000
STALLED = 70
TRIES = 6
# The bodies may take 32 MB together while the settings state no memory limit;
# as much again for the buffers of sockets and the allocator.
MEMORY_GROWTH_MAX_KB = 64 << 10


def encode_body(body, chunked):
    """Returns the framing field and the encoded body."""
    if not chunked:
        return f"Content-Length: {len(body)}", body
    pieces = [body[i:i + 10_000] for i in range(0, len(body), 10_000)]
    return "Transfer-Encoding: chunked", b"".join(
        b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces + [b""])


async def upload(site, instance, number):
    """Sends an upload until it is not refused; returns the last status."""
    status = None
    for _ in range(TRIES):
        site.next_id += 1
        request_id = f"u{site.next_id:08d}"
        body = random.Random(number).randbytes(BODY_BYTES)
        framing, encoded = encode_body(body, number % 3 == 0)
        target = f"/book/{number}"
        site.sent[request_id] = ("POST", target, body)
        reader, writer = await asyncio.open_connection(
            instance.ip, platform_site.FRONT)
        try:
            writer.write(
                f"POST {target} HTTP/1.1\r\nHost: here.example\r\n"
                f"{platform_site.ATTEMPT_ID}: {request_id}\r\n"
                f"{platform_site.DEADLINE_MS}: 10000\r\n{framing}\r\n\r\n"
                .encode() + encoded)
            start_line, fields, _ = await asyncio.wait_for(
                platform_site.read_message(reader), 12)
        finally:
            writer.transport.abort()
        status = int(start_line.split(" ")[1])
        if status != 503:
            break
        site.refused.add(request_id)
        if site.runs.get(request_id):
            site.report_fault(f"refused after execution: {request_id}")
        await asyncio.sleep(float(fields["retry-after"]) * random.random())
    return status


async def stall(site, instance):
    """Announces a large body and sends only its beginning; returns the status
    of the response."""
    reader, writer = await asyncio.open_connection(instance.ip,
                                                   platform_site.FRONT)
    try:
        writer.write(f"POST /book/1 HTTP/1.1\r\nHost: here.example\r\n"
                     f"{platform_site.ATTEMPT_ID}: stalled\r\n"
                     f"Content-Length: {BODY_BYTES}\r\n\r\n".encode()
                     + b"x" * 1000)
        start_line, _, _ = await asyncio.wait_for(
            platform_site.read_message(reader), 6)
        return int(start_line.split(" ")[1])
    finally:
        writer.transport.abort()


async def script(site):
    await site.configure(book={
        "host": "here.example", "path-prefix": "/book/", "kind": "upload",
        "service": "slots", "timeout-s": 8, "target-latency-s": 1,
        "priority": 1, "max-attempts": 2})
    await asyncio.sleep(1.0)
    instance = site.instances[0]
    before = instance.peak_memory_kb()
    statuses = await asyncio.gather(*(upload(site, instance, i)
                                      for i in range(UPLOADS)))
    growth = instance.peak_memory_kb() - before
    print("uploads:", "all served" if set(statuses) == {200}
          else {s: statuses.count(s) for s in set(statuses)})
    print("memory:", "bounded" if growth <= MEMORY_GROWTH_MAX_KB
          else f"grew by {growth} KB")
    stalled = await asyncio.gather(*(stall(site, instance)
                                     for _ in range(STALLED)))
    print("stalled callers are told that nothing has run:",
          set(stalled) <= {408, 503})
    statuses = await asyncio.gather(*(upload(site, instance, i)
                                      for i in range(10)))
    print("uploads after them:", "all served" if set(statuses) == {200}
          else {s: statuses.count(s) for s in set(statuses)})


platformrun.main(script, instances=2)
