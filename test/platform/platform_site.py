"""A small site of the users' platform on loopback, written from the
platform's published pages: simulated store, endpoints and callers around
instances that run as real processes.  The guarantees of the platform are
checked from what the endpoints and callers observe."""

import asyncio
import collections
import functools
import hashlib
import json
import os
import random
import signal
import socket
import time
import urllib.parse

ATTEMPT_ID = "X-Request-Attempt-Id"
DEADLINE_MS = "X-Request-Deadline-Ms"
SIGNATURE = "X-Response-Signature"
EXPECTED_INSTANCE = "X-Expected-Instance"
ENDPOINT_ID = "X-Instance-Id"
LOAD = "X-Instance-Load"
NOT_EXECUTED = "X-Not-Executed"
COLD_REMAINING_MS = "X-Cold-Remaining-Ms"
RATE_LIMIT = "Server-Limit"
STORE_ERA = "Store-Era"
LEAVING = "Server-Leaving"

FRONT, READY, DIRECTORY, INTERNAL_PORT, METRICS = 8144, 8140, 8143, 7660, 9600
# An endpoint must get no request later than this after it began to drain.
DRAIN_S = 2.0
CONFIG_S = 2.0
LIMIT_WINDOW_S = 4.0
HISTORY_EVENTS_MAX = 2000
NETWORK_NUMBERS = range(10, 240)
RESERVATION_PORT = 8499
# Time after which a process must have reached its main program.
START_S = 5.0


def reserve_network():
    """Reserves a network 127.N for this run; returns N and the socket that
    holds the reservation until it is closed."""
    for network in NETWORK_NUMBERS:
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{network}.255.254", RESERVATION_PORT))
            return network, reservation
        except OSError:
            reservation.close()
    raise RuntimeError("all networks of the loopback sites are in use")


def expected_body(request_id, size):
    """Returns the body that an endpoint sends for a request."""
    seed = hashlib.sha256(request_id.encode()).digest()
    return (seed * (size // len(seed) + 1))[:size]


def expected_signature(request_id, body):
    return hashlib.sha256(request_id.encode() + body).hexdigest()[:16]


def most_in_window(times):
    """Returns the largest number of the times, which are sorted, that lie in
    a window of LIMIT_WINDOW_S."""
    most = first = 0
    for last, at in enumerate(times):
        while at - times[first] > LIMIT_WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


def allowed_in_window(limit):
    """Returns the largest number of requests that an endpoint with a limit
    may get in LIMIT_WINDOW_S."""
    return 1.5 * limit * LIMIT_WINDOW_S + 5


class MessageError(Exception):
    """The peer closed the connection or sent a malformed message."""


async def read_message(reader):
    """Returns the start line, the fields by lower-case name, and the body;
    raises MessageError.  A message with neither Content-Length nor chunked
    encoding is taken to have no body."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError,
            asyncio.LimitOverrunError) as error:
        raise MessageError(str(error)) from error
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    try:
        if fields.get("transfer-encoding") == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).strip() or b"x", 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    break
        elif "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
        else:
            body = b""
    except (asyncio.IncompleteReadError, ConnectionError, OSError,
            ValueError) as error:
        raise MessageError(str(error)) from error
    return lines[0], fields, body


def message(start_line, fields, body=b""):
    lines = [start_line] + [f"{k}: {v}" for k, v in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """Simulated store of the platform.  The mode selects a fault of all calls:
    None, "busy" (status 503), "silent" (no response), "reset" (connections are
    reset) or "slow" (responses take 0.4 s longer).  cut_off() selects a fault
    of the calls of one instance for some kinds of objects, which may also be a
    copy from which its reads are answered."""

    def __init__(self):
        self.objects = collections.defaultdict(dict)
        self.revision = 1
        self.era = 1
        self.events = []
        self.compacted_revision = 0
        self.changed = asyncio.Condition()
        self.mode = None
        self.writers = set()
        # Faults by (instance, kind of object); see cut_off().
        self.faults = {}
        # Writers of the connections on which a watch waits.
        self.watching = set()
        self.calls = 0
        self.lost_response_ratio = 0.0
        # Kinds of objects: the next response with changes to a watch of these
        # is lost, and its connection carries nothing more.
        self.lost_watches = set()
        # Notified when a watch of the kind begins.
        self.watch_began = collections.defaultdict(asyncio.Condition)
        self.rng = random.Random(1)
        # Called with kind, name and status when a status has changed.
        self.status_written = lambda *_: None

    async def put(self, kind, name, spec):
        old = self.objects[kind].get(name)
        if old is not None and old["spec"] == spec:
            return old
        self.revision += 1
        created = self.revision if old is None else old["metadata"]["created"]
        obj = {"metadata": {"name": name, "revision": self.revision,
                            "created": created, "finalizers": [],
                            "deleting": False},
               "spec": spec, "status": None if old is None else old["status"]}
        self.objects[kind][name] = obj
        await self.append_event(kind, obj, False)
        return obj

    async def put_status(self, kind, name, status):
        old = self.objects[kind][name]
        if old["status"] == status:
            return old
        self.revision += 1
        obj = dict(old, status=status, metadata=dict(
            old["metadata"], revision=self.revision))
        self.objects[kind][name] = obj
        self.status_written(kind, name, status)
        await self.append_event(kind, obj, False)
        return obj

    async def remove(self, kind, name):
        obj = self.objects[kind].pop(name, None)
        if obj is not None:
            self.revision += 1
            await self.append_event(kind, obj, True)

    async def append_event(self, kind, obj, removed):
        self.events.append((self.revision, kind, obj, removed))
        if len(self.events) > HISTORY_EVENTS_MAX:
            self.compacted_revision = self.events.pop(0)[0]
        async with self.changed:
            self.changed.notify_all()

    def compact(self):
        """Drops the history of events and aborts all connections, watches
        included."""
        self.compacted_revision = self.revision
        self.events.clear()
        self.cut()

    def copy(self):
        """Returns a copy of the objects, for restore()."""
        return self.revision, {kind: dict(objects) for kind, objects
                               in self.objects.items()}

    def restore(self, copy):
        """Returns to a copy: later changes are lost, and their revisions are
        used again."""
        self.revision, objects = copy
        self.objects = collections.defaultdict(dict)
        self.objects.update({kind: dict(o) for kind, o in objects.items()})
        self.era += 1
        self.compact()

    def cut(self):
        # Aborts all connections.
        for writer in list(self.writers):
            writer.transport.abort()

    def cut_off(self, instance, kinds, fault):
        """Sets the fault of an instance's calls for some kinds of objects;
        None: none.  Its watches of these kinds are cut off."""
        for kind in kinds:
            self.faults[instance.name, kind] = fault
        for caller, kind, writer in list(self.watching):
            if fault is not None and caller == instance.name \
                    and kind in kinds:
                writer.transport.abort()

    async def serve(self, reader, writer, caller=None):
        self.writers.add(writer)
        try:
            while True:
                start_line, _, body = await read_message(reader)
                self.calls += 1
                method, target, _ = start_line.split(" ")
                kind = target.split("?")[0].split("/")[2]
                fault = self.faults.get((caller, kind)) or self.mode
                if fault == "reset":
                    writer.transport.abort()
                    return
                if fault == "silent":
                    await asyncio.sleep(3600)
                if fault == "slow":
                    await asyncio.sleep(0.4)
                if fault == "busy":
                    writer.write(message("HTTP/1.1 503 Busy",
                                         {STORE_ERA: self.era}))
                    continue
                if isinstance(fault, tuple):
                    writer.write(await self.answer_from(fault, kind, target))
                    continue
                if "watch=" in target:
                    self.watching.add((caller, kind, writer))
                status, answer = await self.call(method, target, body)
                self.watching.discard((caller, kind, writer))
                if self.is_lost(target, answer):
                    await asyncio.sleep(3600)
                if method != "GET" and self.rng.random() \
                        < self.lost_response_ratio:
                    writer.transport.abort()
                    return
                writer.write(message(f"HTTP/1.1 {status} -",
                                     {"Content-Type": "application/json",
                                      STORE_ERA: self.era},
                                     json.dumps(answer).encode()))
                await writer.drain()
        except (MessageError, ConnectionError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.watching = {w for w in self.watching if w[2] is not writer}
            writer.transport.abort()

    async def answer_from(self, copy, kind, target):
        # The response to a read from an older copy, which does not change.
        revision, objects = copy
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(target)
                                            .query))
        answer = {"events": []}
        if "watch" in query:
            await asyncio.sleep(int(query["wait-ms"]) / 1000)
        else:
            answer = {"items": list(objects.get(kind, {}).values()),
                      "more": False}
        return message("HTTP/1.1 200 -", {STORE_ERA: self.era}, json.dumps(
            answer | {"store-revision": revision}).encode())

    def is_lost(self, target, answer):
        kind = target.split("?")[0].split("/")[2]
        if kind not in self.lost_watches or not answer.get("events"):
            return False
        self.lost_watches.remove(kind)
        return True

    async def wait_for_watch(self, kind):
        """Returns when a watch of objects of a kind has just begun."""
        async with self.watch_began[kind]:
            await self.watch_began[kind].wait()

    async def call(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = url.path.strip("/").split("/")
        kind = parts[1]
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]),
                                    int(query.get("wait-ms", 0)))
        if method == "GET":
            names = sorted(n for n in self.objects[kind]
                           if n > query.get("after", ""))
            page = names[:50]
            return 200, {"items": [self.objects[kind][n] for n in page],
                         "more": len(names) > 50,
                         "store-revision": self.revision}
        sent = json.loads(body)
        name = parts[2] if len(parts) > 2 else sent["metadata"]["name"]
        old = self.objects[kind].get(name)
        if method == "POST" and old is not None:
            return 409, old
        if method == "PUT":
            if old is None:
                return 404, {}
            expected_revision = sent["metadata"].get("revision")
            if expected_revision is not None and expected_revision \
                    != old["metadata"]["revision"]:
                return 409, old
        if parts[3:] == ["status"]:
            return 200, await self.put_status(kind, name, sent["status"])
        return 200, await self.put(kind, name, sent["spec"])

    async def watch(self, kind, after, wait_ms):
        deadline = time.monotonic() + wait_ms / 1000
        async with self.watch_began[kind]:
            self.watch_began[kind].notify_all()
        while True:
            if not self.compacted_revision <= after <= self.revision:
                return 410, {}
            found = [{"object": o, "removed": is_removed}
                     for r, k, o, is_removed in self.events if k == kind
                     and r > after]
            remaining_s = deadline - time.monotonic()
            if found or remaining_s <= 0:
                return 200, {"events": found,
                             "store-revision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), remaining_s)
                except asyncio.TimeoutError:
                    pass


# Faults of an endpoint that sends without end: the bytes sent first, in which
# %s stands for the request's ID, and the bytes that are then repeated.
ENDLESS = {
    "endless field": ("HTTP/1.1 200 OK\r\nX-Padding: ", b"a" * 16384),
    "endless fields": ("HTTP/1.1 200 OK\r\n", b"X-Padding: a\r\n" * 1024),
    # In responses to health checks.
    "endless health": (f"HTTP/1.1 200 OK\r\n{LOAD}: 0,0,3\r\n\r\n",
                       b"a" * 16384),
    "endless interim responses": ("", b"HTTP/1.1 100 Continue\r\n\r\n" * 512),
    "endless body without signature": (
        f"HTTP/1.1 200 OK\r\n{ATTEMPT_ID}: %s\r\n\r\n", b"a" * 16384),
    "endless body of a failure": (
        f"HTTP/1.1 500 -\r\n{ATTEMPT_ID}: %s\r\n\r\n", b"a" * 16384),
    "endless body of another response": (
        f"HTTP/1.1 200 OK\r\n{ATTEMPT_ID}: other\r\n"
        "Transfer-Encoding: chunked\r\n\r\n",
        b"4000\r\n" + b"a" * 16384 + b"\r\n"),
    "endless chunk extension of a streamed body": (
        f"HTTP/1.1 200 OK\r\n{ATTEMPT_ID}: %s\r\n{SIGNATURE}: 1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n40000\r\n" + "a" * 0x40000
        + "\r\n1;a=", b"a" * 16384),
    "endless chunk size": (
        f"HTTP/1.1 200 OK\r\n{ATTEMPT_ID}: %s\r\n"
        "Transfer-Encoding: chunked\r\n\r\n1;a=", b"a" * 16384),
}


class Endpoint:
    """Simulated backend server.  The test sets its faults: probabilities by
    kind of fault.  A response is lost, cut short, sent twice ("extra"), sent
    again while the connection may carry the next request ("late"), sent with
    another line in its head ("line " and the line), sent with another status
    line ("status " and its rest; framing is "length", "chunked"
    or "stalled": it ends half-way while the connection stays open), sent
    without its length ("unframed"), ended within its head ("head"), or replaced
    by status 500 or by garbage ("rot").  An earlier refusal may be sent once
    more before the response ("refusal"), or a refusal of no stated request
    ("nameless").  With a fault of ENDLESS, bytes that are no response follow until
    the caller closes the connection.  Whatever the probability, "silent"
    leaves all requests without a response and "ill" makes health checks
    fail."""

    def __init__(self, site, name, service, zone, address, **options):
        self.site, self.name, self.service = site, name, service
        self.zone, self.address = zone, address
        self.slots = options.get("slots", 3)
        self.queue = options.get("queue", 6)
        self.service_time_s = options.get("work", 0.02)
        self.version = options.get("version", "v1")
        self.size = options.get("size", 400)
        self.slowdown_percent = 100
        self.reports_load = True
        # Value of the field with the limit of requests per second, and the
        # responses that have it.
        self.limit = None
        self.limit_in = ("probe", "request")
        # Value of the field that says that the endpoint leaves, in all its
        # responses; None: no field.
        self.leaving = None
        # Value of Retry-After in a refusal of each request; None: requests
        # are not refused for that.
        self.declines = None
        self.declined_at = []
        self.cold_until = time.monotonic() + options.get("cold", 0)
        self.running = self.waiting = 0
        self.slot_semaphore = asyncio.Semaphore(self.slots)
        self.state = "ready"
        self.drained_at = None
        self.faults = {}
        self.framing = "length"
        self.endless = None
        self.endless_pause_s = 0
        self.rng = random.Random(name)
        self.server = None
        self.writers = set()
        self.started_at_ms = int(time.time() * 1000)
        self.arrivals = []

    async def start(self):
        host, port = self.address
        self.server = await asyncio.start_server(
            self.serve, host, port, reuse_address=True)
        await self.send_heartbeat()
        self.heartbeat_task = asyncio.create_task(self.run_heartbeats())

    async def run_heartbeats(self):
        while True:
            await asyncio.sleep(1.0)
            await self.send_heartbeat()

    async def send_heartbeat(self):
        cold = max(0.0, self.cold_until - time.monotonic())
        if self.site.store.mode is None:
            await self.site.store.put("servers", self.name, {
                "service": self.service, "zone": self.zone,
                "address": "%s:%d" % self.address, "version": self.version,
                "slots": self.slots, "state": self.state,
                "born": self.started_at_ms,
                "cold-remaining-s": round(cold, 3),
                "sequence": int(time.monotonic() * 10)})

    async def drain(self):
        self.state = "draining"
        await self.send_heartbeat()
        self.drained_at = time.monotonic()

    async def stop(self, forget=True):
        # Closes the listener and all connections; forget removes the
        # endpoint's entry from the store as well.
        self.heartbeat_task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        if forget:
            await self.site.store.remove("servers", self.name)

    def add_limit(self, fields, kind):
        if self.leaving is not None:
            fields[LEAVING] = self.leaving
        if self.limit is not None and kind in self.limit_in:
            fields[RATE_LIMIT] = self.limit

    def format_load(self):
        return f"{self.running},{self.waiting},{self.slots}," \
               f"{self.slowdown_percent}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                start_line, fields, body = await read_message(reader)
                if self.faults.get("silent"):
                    await asyncio.sleep(3600)
                await self.answer_request(start_line, fields, body, reader,
                                          writer)
                await writer.drain()
                if self.endless is not None:
                    await self.send_endlessly(writer)
        except (MessageError, ConnectionError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def send_endlessly(self, writer):
        # Repeats the bytes of the fault until the caller closes the
        # connection, and records how long that took and how much was sent.
        piece, self.endless = self.endless, None
        started_at, sent = time.monotonic(), 0
        try:
            while True:
                writer.write(piece)
                sent += len(piece)
                await writer.drain()
                await asyncio.sleep(self.endless_pause_s)
        finally:
            self.site.endless_sent.append(
                (sent, time.monotonic() - started_at))

    async def answer_request(self, start_line, fields, body, reader, writer):
        method, target, _ = start_line.split(" ")
        if target == "/healthz":
            if self.rng.random() < self.faults.get("endless health", 0):
                head, self.endless = ENDLESS["endless health"]
                writer.write(head.encode())
                return
            is_healthy = self.state == "ready" and not self.faults.get("ill")
            cold = max(0, self.cold_until - time.monotonic())
            response_fields = {ENDPOINT_ID: self.name,
                               COLD_REMAINING_MS: int(cold * 1000),
                               "Keep-Alive": "timeout=10"}
            self.add_limit(response_fields, "probe")
            if self.reports_load:
                response_fields[LOAD] = self.format_load()
            else:
                async with self.slot_semaphore:
                    pass
            writer.write(message(
                "HTTP/1.1 200 OK" if is_healthy else "HTTP/1.1 503 -",
                response_fields))
            return
        request_id = fields.get(ATTEMPT_ID.lower(), "")
        if fields.get(EXPECTED_INSTANCE.lower(), self.name) != self.name:
            writer.write(message("HTTP/1.1 421 -", {ENDPOINT_ID: self.name}))
            return
        if self.declines is not None:
            self.declined_at.append(time.monotonic())
            writer.write(message("HTTP/1.1 503 -",
                                 {NOT_EXECUTED: "1", ATTEMPT_ID: request_id,
                                  "Retry-After": self.declines}))
            return
        if self.running + self.waiting >= self.slots + self.queue:
            writer.write(message("HTTP/1.1 503 -",
                                 {NOT_EXECUTED: "1", ATTEMPT_ID:
                                                    request_id}))
            return
        for fault, refused_id in (("refusal", "r-earlier"), ("nameless", None)):
            if self.rng.random() < self.faults.get(fault, 0):
                refused = {} if refused_id is None \
                    else {ATTEMPT_ID: refused_id}
                writer.write(message("HTTP/1.1 503 -",
                                     {NOT_EXECUTED: "1", **refused}))
        self.waiting += 1
        async with self.slot_semaphore:
            self.waiting -= 1
            self.running += 1
            self.site.seen_fields[request_id] = fields
            self.site.check_execution(self, request_id, method, target, body)
            try:
                await asyncio.sleep(
                    self.service_time_s * self.slowdown_percent / 100)
            finally:
                self.running -= 1
        self.send_response(request_id, writer)

    def send_response(self, request_id, writer):
        _, target, _ = self.site.sent.get(request_id, (None, None, None))
        if target in self.site.deadly:
            self.site.ended[target].append(self)
            asyncio.get_running_loop().create_task(self.stop(forget=False))
            return
        response_body = expected_body(request_id, self.size)
        fields = {ATTEMPT_ID: request_id,
                  SIGNATURE: expected_signature(request_id, response_body),
                  "Keep-Alive": "timeout=10"}
        if self.reports_load:
            fields[LOAD] = self.format_load()
        self.add_limit(fields, "request")
        response = message("HTTP/1.1 200 OK", fields, response_body)
        draw = self.rng.random()
        for fault, probability in self.faults.items():
            if draw >= probability or fault in (
                    "silent", "ill", "refusal", "nameless",
                    "endless health"):
                continue
            if fault == "lost":
                writer.transport.abort()
            elif fault == "short":
                writer.write(response[:-len(response_body) // 2])
                writer.close()
            elif fault == "head":
                writer.write(response[:self.rng.randrange(
                    1, response.index(b"\r\n\r\n"))])
                writer.close()
            elif fault == "extra":
                writer.write(response + response)
            elif fault == "late":
                writer.write(response)
                asyncio.get_running_loop().call_later(
                    self.rng.uniform(0.001, 0.1), self.write_if_open, writer,
                    response)
            elif fault == "unframed":
                lines = [f"{k}: {v}" for k, v in fields.items()]
                writer.write(("HTTP/1.1 200 OK\r\nConnection: close\r\n"
                              + "\r\n".join(lines) + "\r\n\r\n").encode()
                             + response_body)
                writer.close()
            elif fault.startswith("line "):
                start_line, rest = response.split(b"\r\n", 1)
                writer.write(b"\r\n".join(
                    [start_line, fault[5:].encode("latin-1"), rest]))
            elif fault.startswith("status "):
                writer.write(self.frame("HTTP/1.1 " + fault[7:], fields,
                                        response_body))
            elif fault == "errors":
                writer.write(message("HTTP/1.1 500 -",
                                     {ATTEMPT_ID: request_id}))
            elif fault in ENDLESS:
                head, self.endless = ENDLESS[fault]
                writer.write(head.replace("%s", request_id).encode())
            elif fault == "rot":
                writer.write(b"\x00not http\r\n\r\n")
            return
        writer.write(response)


    def frame(self, start_line, fields, body):
        # The response of a fault of the status, framed as self.framing says.
        whole = message(start_line, fields, body)
        if self.framing == "length":
            return whole
        if self.framing == "stalled":
            return whole[:-len(body) // 2]
        lines = [f"{k}: {v}" for k, v in fields.items()]
        head = "\r\n".join([start_line, "Transfer-Encoding: chunked", *lines])
        return head.encode("latin-1") + b"\r\n\r\n" + b"".join(
            b"%x\r\n%b\r\n" % (len(part), part) for part in
            [body[i:i + 8192] for i in range(0, len(body), 8192)] + [b""])

    @staticmethod
    def write_if_open(writer, data):
        if not writer.transport.is_closing():
            writer.write(data)


class Instance:
    """One real peridotrouter process."""

    def __init__(self, site, name, zone, ip, store_port):
        self.site, self.name, self.zone, self.ip = site, name, zone, ip
        self.store_port = store_port
        self.path = os.path.join(site.folder, name + ".json")
        self.log_path = os.path.join(site.folder, name + ".log")
        self.process = None
        self.stopping = False

    def write_settings(self):
        seeds = [f"{i.ip}:8146" for i in self.site.instances[:3]]
        listen = {k: f"{self.ip}:{p}" for k, p in (
            ("front", FRONT), ("ready", READY), ("directory", DIRECTORY))}
        settings = {
            "node-name": self.name, "ip": self.ip, "zone": self.zone,
            "region": "here", "listen": listen, "seeds": seeds,
            "internal-port-range": [INTERNAL_PORT, INTERNAL_PORT + 15],
            "platform": {"address": f"127.0.0.1:{self.store_port}"},
            "limits": {"cpu-share": 1.0, "link-mbps": 1000.0,
                       **self.site.limits},
            "bounds": {"retry-budget-ratio": 0.2, "retry-budget-slack": 56,
                       "retry-window-s": 10, "grace-s": 6, "ttl_max_s": 5,
                       "probes-per-s": 60, **self.site.bounds}}
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    async def start(self):
        self.write_settings()
        await self.start_process()

    async def start_process(self):
        self.stopping = False
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.site.program, "--settings", self.path,
                "--metrics-port", str(METRICS), stdout=log, stderr=log,
                env={"ASAN_OPTIONS": os.environ.get("ASAN_OPTIONS", ""),
                     "PATH": os.environ.get("PATH", "")})
        await self.wait_until_signals_are_kept()

    async def wait_until_signals_are_kept(self):
        """Waits until the process blocks or handles SIGTERM, which it does
        first of all.  Before that, in the dynamic loader, SIGTERM ends every
        program."""
        until = time.monotonic() + START_S
        while self.process.returncode is None and not self.keeps_signals():
            if time.monotonic() > until:
                self.site.report_fault(
                    f"{self.name} does not handle SIGTERM {START_S} s after "
                    "its start")
                return
            await asyncio.sleep(0.001)

    def keeps_signals(self):
        try:
            with open(f"/proc/{self.process.pid}/status",
                      encoding="ascii") as status:
                lines = dict(line.split(":", 1) for line in status)
        except OSError:  # it has ended
            return False
        mask = int(lines["SigBlk"], 16) | int(lines["SigCgt"], 16)
        return bool(mask >> (signal.SIGTERM - 1) & 1)

    def signal_process(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self, number=signal.SIGTERM):
        """Stops or kills the process; returns its status."""
        self.stopping = True
        self.signal_process(number)
        return await self.process.wait()

    def is_reader(self):
        # Whether the instance reads the store for all, according to its log.
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            text = file.read()
        return (max(text.rfind("reads the store for all instances"),
                    text.rfind("announces for all instances"))
                > text.rfind("this instance stops reading the store"))

    def peak_memory_kb(self):
        with open(f"/proc/{self.process.pid}/status",
                  encoding="ascii") as status:
            return next(int(line.split()[1]) for line in status
                        if line.startswith("VmHWM"))

    def open_descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def get(self, port, target):
        # Returns the status and body of a GET request to a port of the
        # instance.
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(self.ip, port), 1)
        try:
            writer.write(f"GET {target} HTTP/1.1\r\nHost: {self.ip}\r\n\r\n"
                         .encode())
            start_line, _, body = await asyncio.wait_for(
                read_message(reader), 1)
            return int(start_line.split(" ")[1]), body
        finally:
            writer.transport.abort()

    async def metrics(self):
        # Returns the values of the metrics, by name with labels.
        _, body = await self.get(METRICS, "/metrics")
        found = {}
        for line in body.decode().splitlines():
            if line and not line.startswith("#"):
                name, _, value = line.rpartition(" ")
                found[name] = float(value)
        return found


class Site:
    """A site with its store, endpoints and instances, and the checks.

    runs: executions of each request, as pairs (time, endpoint name).
    sent: method, target and body of each request that a caller sent.
    refused: requests that were refused.
    refusals: (start, duration, Retry-After) of each refusal, in s.
    outcomes: number of requests by kind and status; "cut" instead of a status
      stands for a broken connection, "none" for no response in time.
    faults: one line for each failed check.
    services: services that may execute a request, by the first part of its
      path; those of other paths belong to "slots".
    """

    def __init__(self, program, folder):
        self.program, self.folder = program, folder
        # Each site on this machine has its own loopback network.
        network, self.reservation = reserve_network()
        self.network = f"127.{network}"
        self.store = Store()
        self.store_servers = []
        self.instances = []
        self.endpoints = {}
        self.runs = collections.defaultdict(list)
        # (bytes, seconds) of each response of a fault of ENDLESS.
        self.endless_sent = []
        self.sent = {}
        # Targets of requests under which endpoints end, and the endpoints
        # that have ended under each.
        self.deadly = set()
        self.ended = collections.defaultdict(list)
        self.refused = set()
        self.refusals = []
        self.outcomes = collections.Counter()
        self.late_responses = 0
        self.faults = []
        self.next_id = 0
        self.version = 0
        self.services = {"file": ("files",)}
        # Header fields with which an endpoint got a request, by its ID.
        self.seen_fields = {}
        # Tenants of the configuration; None: requests need no key.
        self.tenants = None
        self.configured_services = ["slots", "files"]
        # Bounds and limits in the instances' settings beside the usual ones.
        self.bounds = {}
        self.limits = {}

    async def start(self, instances=3, zones=("a", "b"), endpoints=None,
                    prepare=None, bounds=None, limits=None):
        self.bounds = bounds or {}
        self.limits = limits or {}
        for i in range(instances):
            zone = zones[i % len(zones)]
            name = f"front-{zone}-{i}"
            # The port tells the store which instance calls.
            server = await asyncio.start_server(
                functools.partial(self.store.serve, caller=name),
                "127.0.0.1", 0)
            self.store_servers.append(server)
            self.instances.append(Instance(
                self, name, zone, f"{self.network}.1.{i + 1}",
                server.sockets[0].getsockname()[1]))
        for service, count in (endpoints or {"slots": 4, "files": 2}).items():
            for i in range(count):
                await self.add_endpoint(service, zones[i % len(zones)])
        await self.configure()
        if prepare is not None:
            await prepare()
        for instance in self.instances:
            await instance.start()

    async def add_endpoint(self, service, zone, **options):
        n = len(self.endpoints) + 1
        name = f"i-{n:04d}"
        if service == "files":
            options.setdefault("size", 60000)
        address = options.pop("address", (f"{self.network}.2.{n}", 8500))
        endpoint = Endpoint(self, name, service, zone, address, **options)
        self.endpoints[name] = endpoint
        await endpoint.start()
        return endpoint

    async def configure(self, **changes):
        """Stores a new version of the configuration.  A keyword argument
        replaces the route of that name, or removes it if it is None."""
        self.version += 3
        routes = {
            "look": {"host": "here.example", "path-prefix": "/look/",
                     "kind": "safe", "service": "slots", "timeout-s": 1.5,
                     "target-latency-s": 0.3, "priority": 2,
                     "max-attempts": 2},
            "book": {"host": "here.example", "path-prefix": "/book/",
                     "kind": "unsafe", "service": "slots", "timeout-s": 1.5,
                     "target-latency-s": 0.4, "priority": 1,
                     "max-attempts": 2},
            "file": {"host": "here.example", "path-prefix": "/file/",
                     "kind": "download", "service": "files",
                     "timeout-s": 1.5, "target-latency-s": 0.4,
                     "priority": 2, "max-attempts": 2}}
        routes.update(changes)
        service = {"health-check-path": "/healthz", "max-connections": 200,
                   "protocol": "h1", "tls": False, "cold-start-s": 3.0,
                   "cold-per-s": 8}
        await self.store.put("config", "main", {
            "version": self.version,
            "routes": {k: v for k, v in routes.items() if v is not None},
            "services": {name: service for name in self.configured_services},
            **({} if self.tenants is None else {"tenants": self.tenants}),
            "limits": {"max-header-bytes": 16384,
                       "max-body-bytes": 1048576, "header-timeout-s": 3,
                       "idle-timeout-s": 15}})

    def report_fault(self, text):
        self.faults.append(text)

    def check_execution(self, endpoint, request_id, method, target, body):
        # Records that an endpoint executes a request, and checks that it may.
        now = time.monotonic()
        sent = self.sent.get(request_id)
        self.runs[request_id].append((now, endpoint.name))
        if sent is None or (method, target, body) != sent:
            self.report_fault(f"not as sent by a caller: {request_id} "
                              f"{method} {target}")
            return
        if request_id in self.refused:
            self.report_fault(f"executed after a refusal: {request_id}")
        if target.startswith("/book/"):
            if len(self.runs[request_id]) > 1:
                self.report_fault(f"executed twice: {request_id}")
        if (endpoint.drained_at is not None
                and now > endpoint.drained_at + DRAIN_S):
            self.report_fault(f"executed after the drain period: {request_id} "
                              f"at {endpoint.name}")
        expected_services = self.services.get(target.split("/")[1], ("slots",))
        if endpoint.service not in expected_services:
            self.report_fault(f"sent to the wrong service: {request_id} "
                              f"at {endpoint.service}")

    async def resolve(self, zone):
        # Returns the addresses for a caller in a data centre, and their
        # lifetime in s.  Up to three instances are asked, those in the data
        # centre first.
        order = sorted((i for i in self.instances),
                       key=lambda i: (i.zone != zone, random.random()))
        for instance in order[:3]:
            try:
                status, body = await instance.get(
                    DIRECTORY, f"/resolve?name=here.example&region=here"
                    f"&zone={zone}")
                if status == 200:
                    found = json.loads(body)
                    return found["addresses"], found["ttl-s"]
            except (OSError, MessageError, asyncio.TimeoutError, ValueError):
                continue
        return [], 0.2

    async def request(self, reader, writer, kind):
        """Sends one request; returns the status, or None if the connection
        cannot be used for another request."""
        self.next_id += 1
        request_id = f"r{self.next_id:08d}"
        method = "POST" if kind == "book" else "GET"
        target = f"/{kind}/{self.next_id}"
        body = b"x" * 300 if kind == "book" else b""
        self.sent[request_id] = (method, target, body)
        began = time.monotonic()
        writer.write(message(f"{method} {target} HTTP/1.1",
                             {"Host": "here.example", ATTEMPT_ID: request_id,
                              DEADLINE_MS: "2000"}, body))
        try:
            start_line, fields, response_body = await asyncio.wait_for(
                read_message(reader), 3.0)
        except (MessageError, ConnectionError, OSError):
            self.outcomes[kind, "cut"] += 1
            return None
        except asyncio.TimeoutError:
            self.outcomes[kind, "none"] += 1
            self.report_fault(f"no response within 3 s: {request_id}")
            return None
        status = int(start_line.split(" ")[1])
        if status == 200:
            size = 60000 if kind == "file" else 400
            if (response_body != expected_body(request_id, size)
                    or fields.get(SIGNATURE.lower())
                    != expected_signature(request_id, response_body)):
                self.report_fault(f"wrong body or signature: {request_id}")
        elif status in (408, 421, 429, 503):
            self.refused.add(request_id)
            self.refusals.append((began, time.monotonic() - began,
                                  float(fields.get("retry-after", 0))))
            if self.runs.get(request_id):
                self.report_fault(f"refused after execution: {request_id}")
        self.outcomes[kind, status] += 1
        self.late_responses += time.monotonic() - began > 2.2
        return status if "close" != fields.get("connection") else None

    async def simulate_caller(self, zone, per_s, until, rng):
        """Simulates a caller until the given time: it resolves instances
        through the directory, keeps a connection open and sends requests
        at the mean rate per_s."""
        addresses, expires = [], 0.0
        streams, address = None, None
        while time.monotonic() < until:
            if time.monotonic() > expires:
                found, ttl = await self.resolve(zone)
                addresses = found or addresses
                expires = time.monotonic() + ttl
                if address not in addresses and streams is not None:
                    streams[1].transport.abort()
                    streams = None
            if streams is None and addresses:
                address = rng.choice(addresses)
                host, _, port = address.partition(":")
                try:
                    streams = await asyncio.wait_for(
                        asyncio.open_connection(host, int(port)), 1)
                except (OSError, asyncio.TimeoutError):
                    self.outcomes["connect", "failed"] += 1
                    addresses = [a for a in addresses if a != address]
            if streams is not None:
                kind = rng.choices(("look", "book", "file"), (6, 2, 1))[0]
                try:
                    last_status = await self.request(*streams, kind)
                except ConnectionError:
                    last_status = None
                if last_status is None:
                    streams[1].transport.abort()
                    streams = None
            await asyncio.sleep(rng.expovariate(per_s))
        if streams is not None:
            streams[1].transport.abort()

    async def find_reader(self):
        """Returns the running instance that made the most successful calls of
        the store."""
        busiest, max_calls = None, -1
        for instance in self.instances:
            if instance.process.returncode is not None:
                continue
            calls = (await instance.metrics())[
                'peridot_store_calls_total{result="ok"}']
            if calls > max_calls:
                busiest, max_calls = instance, calls
        return busiest

    async def current_reader(self):
        """Returns the instance that now reads the store for all, according to
        the logs.  Waits up to 2 s while there is none, or several."""
        until = time.monotonic() + 2
        while True:
            found = [i for i in self.instances if i.is_reader()]
            if len(found) == 1 or time.monotonic() > until:
                return found[0]
            await asyncio.sleep(0.05)

    async def ask(self, instance, target, fields=()):
        """Returns the status of a GET request to an instance.  fields: lines of
        further header fields."""
        self.next_id += 1
        request_id = f"s{self.next_id}"
        self.sent[request_id] = ("GET", target, b"")
        reader, writer = await asyncio.open_connection(instance.ip, FRONT)
        try:
            head = message(
                f"GET {target} HTTP/1.1",
                {"Host": "here.example", ATTEMPT_ID: request_id,
                 DEADLINE_MS: "1000"})
            lines = "".join(line + "\r\n" for line in fields).encode()
            writer.write(head[:-2] + lines + b"\r\n")
            start_line, _, _ = await read_message(reader)
            return int(start_line.split(" ")[1])
        finally:
            writer.transport.abort()

    async def ask_for_status(self, method, target):
        """Returns the status that the first instance answers with, as text and
        without a check of the rest, or "cut"."""
        self.next_id += 1
        request_id = f"o{self.next_id}"
        body = b"x" if method == "POST" else b""
        self.sent[request_id] = (method, target, body)
        reader, writer = await asyncio.open_connection(
            self.instances[0].ip, FRONT)
        try:
            writer.write(message(
                f"{method} {target} HTTP/1.1",
                {"Host": "here.example", ATTEMPT_ID: request_id,
                 DEADLINE_MS: "1000"}, body))
            line = await asyncio.wait_for(reader.readline(), 3)
            status = line.decode("latin-1").split(" ")[1] if line else "cut"
            if status == "503" and self.runs.get(request_id):
                self.report_fault(f"refused after execution: {request_id}")
            return status
        finally:
            writer.transport.abort()

    async def all_return_status(self, target, wanted, timeout_s, fields=()):
        """Whether each instance responds with the wanted status in time."""
        until = time.monotonic() + timeout_s
        pending = list(self.instances)
        while pending and time.monotonic() < until:
            for instance in list(pending):
                if await self.ask(instance, target, fields) == wanted:
                    pending.remove(instance)
            await asyncio.sleep(0.05)
        return not pending

    async def wait_until_ready(self, timeout_s=5.0):
        """Waits until all instances report that they are ready.  Each one
        that is not ready after timeout_s is a fault."""
        until = time.monotonic() + timeout_s
        for instance in self.instances:
            while True:
                try:
                    status, _ = await instance.get(READY, "/ready")
                    if status == 200:
                        break
                except (OSError, MessageError, asyncio.TimeoutError):
                    pass
                if time.monotonic() > until:
                    self.report_fault(f"not ready: {instance.name}")
                    break
                await asyncio.sleep(0.05)

    def executed_at(self, name, since):
        """Returns the sorted times from since on at which an endpoint executed
        requests."""
        return sorted(at for runs in self.runs.values()
                      for at, endpoint in runs
                      if endpoint == name and at >= since)

    def share(self, *kinds):
        """Returns the fraction of requests of the given kinds that got status
        200."""
        total = sum(n for (k, _), n in self.outcomes.items() if k in kinds)
        succeeded = sum(n for (k, s), n in self.outcomes.items()
                        if k in kinds and s == 200)
        return succeeded / total if total else 0.0

    async def stop(self):
        # Kills the instances and ends the endpoints and the store.  An
        # instance that exited by itself is a fault.
        for instance in self.instances:
            if instance.process is None or instance.process.returncode \
                    is not None:
                if not instance.stopping:
                    self.report_fault(f"{instance.name} exited unexpectedly: "
                                      f"{instance.process.returncode}")
                continue
            instance.signal_process(signal.SIGCONT)
            instance.signal_process(signal.SIGKILL)
            instance.stopping = True
            await instance.process.wait()
        for endpoint in self.endpoints.values():
            await endpoint.stop(forget=False)
        for server in self.store_servers:
            server.close()
        self.reservation.close()


def run(program, folder, script, **options):
    """Runs script(site) on a started site; returns the site."""
    async def run_on_site():
        site = Site(program, folder)
        await site.start(**options)
        try:
            await site.wait_until_ready()
            await script(site)
        finally:
            await site.stop()
        return site
    return asyncio.run(run_on_site())

