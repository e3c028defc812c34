"""The first request after the endpoints have begun to ask for time is refused
by all of them in turn.

Guards against a caller that is told to come back at once, as if the endpoints
had slots free, while all of them take no requests for a time.
"""

import asyncio

import platformrun
from platformrun import platform_site

ASKED_S = 1.0
ROUNDS = 8


async def script(site):
    files = [e for e in site.endpoints.values() if e.service == "files"]
    for endpoint in files:
        endpoint.declines = ASKED_S
    stated = []
    for _ in range(ROUNDS):
        reader, writer = await asyncio.open_connection(
            site.instances[0].ip, platform_site.FRONT)
        await site.request(reader, writer, "file")
        writer.transport.abort()
        stated.append(site.refusals[-1][2])
        # Until both endpoints take requests again.
        await asyncio.sleep(ASKED_S + 0.3)
    print("refused by each endpoint:",
          [len(endpoint.declined_at) for endpoint in files])
    # The first endpoint has stated the time a moment before the second.
    print("told to come back when the time is over:",
          all(ASKED_S - 0.1 < after < 2 * ASKED_S for after in stated)
          or stated)
    print("at different times:", len(set(stated)) > 1)


platformrun.main(script, instances=1)
