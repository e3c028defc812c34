"""Clients that misbehave, for the runs platform_crowd_*.py: a crowd opens
connections to one instance, sends something to each of three targets, and
stays.  Then it is checked that the process lives within the memory and the
descriptors that its settings name, and that an ordinary request is answered.
"""

import asyncio

import platformrun
from platformrun import platform_site

# The instance is told that it has so much.
MEMORY_MB = 40
DESCRIPTORS = 160
# Tries of the ordinary caller, which comes back after a refusal.
TRIES = 50

FRONT, READY = platform_site.FRONT, platform_site.READY
# A route, a path without a route, and the port that says ready.
TARGETS = [(FRONT, "/look/2"), (FRONT, "/none/1"), (READY, "/ready")]


class Client:
    """A connection of the crowd."""

    def __init__(self, site, instance, number):
        self.site, self.instance, self.number = site, instance, number
        self.port, self.target = TARGETS[number % len(TARGETS)]
        self.reader = self.writer = None

    async def open(self, limit=2 ** 16):
        self.reader, self.writer = await asyncio.open_connection(
            self.instance.ip, self.port, limit=limit)
        # drain() then waits until all was sent.
        self.writer.transport.set_write_buffer_limits(0)

    def head(self, method, *fields):
        self.site.sent[f"c{self.number}"] = (method, self.target, b"")
        lines = [f"{method} {self.target} HTTP/1.1", "Host: here.example",
                 f"{platform_site.ATTEMPT_ID}: c{self.number}", *fields]
        return ("\r\n".join(lines) + "\r\n").encode()

    async def send(self, data, piece=None):
        piece = piece or len(data)
        for start in range(0, len(data), piece):
            self.writer.write(data[start:start + piece])
            await self.writer.drain()


async def send_as_one(client, act, most):
    """Lets a client act.  The instance may refuse it or close its
    connection."""
    try:
        await client.open()
        await asyncio.wait_for(act(client), 2)
    except (OSError, asyncio.TimeoutError):
        pass
    most.append(client.instance.open_descriptors())


async def ask_ordinary(site, instance):
    for _ in range(TRIES):
        try:
            if await asyncio.wait_for(site.ask(instance, "/look/1"), 2) == 200:
                return True
        except (ConnectionError, OSError, asyncio.TimeoutError,
                platform_site.MessageError):
            pass
        await asyncio.sleep(0.1)
    return False


def run(act, count, together=40, file_size=60000, stays_s=0):
    """Plays a crowd of count clients that each do act(client), together of them
    at the same time, and then stay for a time."""
    async def script(site):
        instance = site.instances[0]
        for endpoint in site.endpoints.values():
            if endpoint.service == "files":
                endpoint.size, endpoint.service_time_s = file_size, 0.002
        print("ordinary request before:", await ask_ordinary(site, instance))
        clients = [Client(site, instance, i) for i in range(count)]
        most = []
        for first in range(0, count, together):
            await asyncio.gather(*(
                send_as_one(c, act, most)
                for c in clients[first:first + together]))
        await asyncio.sleep(stays_s)
        print("ordinary request:", await ask_ordinary(site, instance))
        print("alive:", instance.process.returncode is None)
        peak = instance.peak_memory_kb()
        print("within its memory:", peak <= MEMORY_MB * 1024
              or f"{peak} kB")
        print("within its descriptors:", max(most) <= DESCRIPTORS
              or max(most))
        for client in clients:
            if client.writer is not None:
                client.writer.transport.abort()

    platformrun.main(script, instances=1, zones=("a",),
                     endpoints={"slots": 4, "files": 2},
                     limits={"memory-mb": MEMORY_MB, "max-fds": DESCRIPTORS})
