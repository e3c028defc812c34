"""The store's answer to the watch of the configuration is lost once, and its
connection returns nothing further.  More than stable-window-s later, the
operator drops a route."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common import BOUNDS, TROUBLE, platform_site, route, run  # noqa: E402

# From the lost answer on until then, the rules excuse all machines.
EXCUSED_S = BOUNDS["stable-window-s"]
IN_FORCE_S = BOUNDS["config-apply-s"]
WATCHED_S = 4.0
INTERVAL_S = 0.05

ROUTES = {"look": route("/look/", "safe", "slots"),
          "old": route("/old/", "safe", "slots")}


class Proxy:
    """Forwards the connections of the instances to the store, and loses the
    answer on one of them."""

    def __init__(self, site):
        self.site = site
        self.mute = set()     # connections that return nothing further
        self.watching = None  # connection on which a watch has just begun
        self.watch_began = asyncio.Event()
        self.writers = []

    async def start(self, store_port):
        self.store_port = store_port
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        store_reader, store_writer = await asyncio.open_connection(
            "127.0.0.1", self.store_port)
        self.writers += [writer, store_writer]
        connection = object()
        await asyncio.gather(
            self.forward_calls(connection, reader, store_writer),
            self.forward_answers(connection, store_reader, writer))

    async def forward_calls(self, connection, reader, writer):
        try:
            while data := await reader.read(65536):
                if b"/objects/config?watch=" in data:
                    self.watching = connection
                    self.watch_began.set()
                writer.write(data)
        except (ConnectionError, OSError):
            pass
        finally:
            writer.transport.abort()

    async def forward_answers(self, connection, reader, writer):
        try:
            while data := await reader.read(65536):
                if connection in self.mute:
                    self.site.note("an answer of the store is lost: "
                                   f"{len(data)} bytes")
                    continue
                writer.write(data)
        except (ConnectionError, OSError):
            pass
        finally:
            if connection not in self.mute:
                writer.transport.abort()

    async def wait_for_watch(self):
        """Waits until a watch of the configuration has just begun."""
        self.watch_began.clear()
        await self.watch_began.wait()
        await asyncio.sleep(0.1)
        self.site.note("a watch of the configuration waits")
        return self.watching

    def close(self):
        for writer in self.writers:
            writer.transport.abort()


async def ask(site, instance, late):
    """Sends a request on the dropped route.  late: list to which the ID is
    added if the request was sent when the new version had to be in force."""
    site.next_id += 1
    request_id = f"r{site.next_id:05d}-{instance.name}"
    reader, writer = await asyncio.open_connection(instance.ip,
                                                   platform_site.FRONT)
    try:
        sent_at = time.monotonic()
        writer.write(platform_site.message(
            "GET /old/1 HTTP/1.1",
            {"Host": "here.example", platform_site.ATTEMPT_ID: request_id,
             platform_site.DEADLINE_MS: "1000"}))
        start_line, _, _ = await asyncio.wait_for(
            platform_site.read_message(reader), 2)
        site.note(f"{request_id} GET /old/1 sent at "
                  f"{sent_at - site.began:.3f} is answered: {start_line}")
        if late is not None and site.runs[request_id]:
            late.append(request_id)
        return int(start_line.split(" ")[1])
    finally:
        writer.transport.abort()


async def script(site):
    await asyncio.sleep(4)
    connection = await site.proxy.wait_for_watch()
    if TROUBLE:
        site.proxy.mute.add(connection)
    await site.configure(new=route("/new/", "safe", "slots"))
    await asyncio.sleep(EXCUSED_S + 0.2)
    if await ask(site, site.instances[0], None) != 200:
        raise RuntimeError("the route is not there before it is dropped")
    acked_at = await site.configure(new=route("/new/", "safe", "slots"),
                                    old=None)
    late = []
    while time.monotonic() < acked_at + IN_FORCE_S + WATCHED_S:
        is_late = time.monotonic() > acked_at + IN_FORCE_S
        await asyncio.gather(*(ask(site, i, late if is_late else None)
                               for i in site.instances))
        await asyncio.sleep(INTERVAL_S)
    site.proxy.close()
    site.note(f"run with the dropped route, sent later than {IN_FORCE_S} s "
              f"after the acknowledgement: {len(late)}")
    return len(late) > 0


async def put_proxy_before_store(site):
    site.proxy = Proxy(site)
    port = await site.proxy.start(site.instances[0].store_port)
    for instance in site.instances:
        instance.store_port = port


run(sys.argv[1], script, ROUTES, put_proxy_before_store, instances=3,
    endpoints={"slots": 4})
