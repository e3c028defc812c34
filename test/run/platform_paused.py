"""An instance is paused for some seconds; meanwhile a data centre is taken out
of service and callers send requests to the instance.

Guards against a resumed instance that sends the requests that wait at its
sockets to the data centre before it has heard that it is out: what it knows
is older than its pause.
"""

import asyncio
import signal
import socket

import platformrun
from platformrun import platform_site

# As many as the endpoints of the other data centre take at once: two, with 3
# slots and 6 places in the queue each.  More would be shed.
REQUESTS = 12
PAUSE_S = 3.5


def drop_announcements(instance):
    """Fills the receive buffer of the paused instance, so that it gets none of
    the announcements sent meanwhile, as a suspended machine would."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as junk:
        for _ in range(4000):
            junk.sendto(b"x" * 1000,
                        (instance.ip, platform_site.INTERNAL_PORT))


async def send(site, instance):
    reader, writer = await asyncio.open_connection(instance.ip,
                                                   platform_site.FRONT)
    try:
        await site.request(reader, writer, "look")
    finally:
        writer.transport.abort()


async def script(site):
    # One in the data centre, whose endpoints it prefers, that does not read
    # the store for the others.
    await asyncio.sleep(2.0)
    calls = {(await i.metrics())['peridot_store_calls_total{result="ok"}']: i
             for i in site.instances if i.zone == "a"}
    paused = calls[min(calls)]
    others = [i for i in site.instances if i is not paused]
    for _ in range(5):
        await send(site, paused)
    paused.signal_process(signal.SIGSTOP)
    drop_announcements(paused)
    await asyncio.sleep(0.3)
    await site.store.put("evacuations", "a", {})
    await asyncio.sleep(PAUSE_S - 1.3)
    before = set(site.runs)
    requests = [asyncio.create_task(send(site, paused))
                for _ in range(REQUESTS)]
    await asyncio.sleep(1.0)
    # The others answer the resumed instance only after a moment.
    for instance in others:
        instance.signal_process(signal.SIGSTOP)
    paused.signal_process(signal.SIGCONT)
    await asyncio.sleep(0.25)
    for instance in others:
        instance.signal_process(signal.SIGCONT)
    await asyncio.gather(*requests)
    taken_out = {e.name for e in site.endpoints.values() if e.zone == "a"}
    late = sum(name in taken_out for request_id, runs in site.runs.items()
               if request_id not in before for _, name in runs)
    print("requests for the data centre that is out:", late)
    print("answered:", "all" if site.outcomes["look", 200] == REQUESTS + 5
          else dict(site.outcomes))


platformrun.main(script, instances=3)
