"""Tests how standin-caller classifies outcomes and requests addresses."""

import collections
import http.server
import json
import socket
import threading
import urllib.parse

from harness import Backends, Caller, main, request, wait_for


class FakeInstance(http.server.ThreadingHTTPServer):
    """Simulates an entry instance: returns addresses, and forwards requests or
    misbehaves."""

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, backend, behaviour="forward", lifetime_ms=100):
        super().__init__(("127.0.0.1", 0), Handler)
        self.backend = backend
        self.behaviour = behaviour
        self.lifetime_ms = lifetime_ms
        self.addresses = []
        self.lookups = 0
        self.served = 0
        self.port = self.server_address[1]
        self.sockets = []
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def process_request(self, request, client_address):
        self.sockets.append(request)
        super().process_request(request, client_address)

    def crash(self):
        """Stops listening and closes all open connections."""
        self.shutdown()
        self.server_close()
        for connection in self.sockets:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # closed already

    def handle_error(self, request, client_address):
        """Ignores clients that close their connection."""


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *arguments):
        pass

    def send(self, status, body, headers):
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def send_problem(self, status, headers, **members):
        self.send(status, json.dumps({"status": status, **members}).encode(),
                  {"Content-Type": "application/problem+json", **headers})

    def addresses(self):
        self.server.lookups += 1
        self.send(200, json.dumps({
            "addresses": [{"address": f"127.0.0.1:{entry.port}",
                           "data_centre": centre, "instance": str(entry.port)}
                          for entry, centre in self.server.addresses],
            "lifetime_ms": self.server.lifetime_ms}).encode(), {})

    def forward(self, request_id):
        path = "/" + self.path.split("/", 3)[3]
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        headers = {name: self.headers[name] for name in
                   ("Idempotency-Key",) if name in self.headers}
        response = request(self.server.backend, self.command, path,
                           body or None,
                           {**headers, "Request-Id": request_id})
        return response.status, response.body

    def do_GET(self):
        server = self.server
        if urllib.parse.urlsplit(self.path).path == "/addresses":
            self.addresses()
            return
        server.served += 1
        own_id = self.headers["Request-Id"]
        echo = {"Request-Id": own_id}
        behaviour = server.behaviour
        if behaviour == "foreign":
            status, body = self.forward("another")
        elif behaviour == "problem":
            self.send_problem(503, {"Retry-After": "1"}, ran="no")
            return
        elif behaviour == "unknown":
            self.send_problem(502, {}, ran="unknown")
            return
        elif behaviour == "no retry-after":
            self.send_problem(503, {}, ran="no")
            return
        elif behaviour == "no ran":
            self.send_problem(502, {})
            return
        elif behaviour == "silent":
            server.stop.wait()
            return
        else:
            status, body = self.forward(own_id)
        if behaviour == "mixed":
            body = body[:200] + body[:1] + body[201:]
        elif behaviour == "shortened":
            body = body[:-1]
        elif behaviour == "no echo":
            echo = {}
        elif behaviour == "cut":
            self.send_response(status)
            self.send_header("Request-Id", own_id)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body[:100])
            self.close_connection = True
            return
        self.send(status, body, echo)

    do_POST = do_GET


def outcomes(summary):
    names = ("whole", "refused_no", "refused_unknown", "broken", "wrong",
             "timeout")
    return " ".join(name for name in names if summary[name] > 0)


def arrivals(records):
    """Returns the time in us since the first arrival, the kind and the
    instance of each request, ordered by time."""
    records = sorted(records, key=lambda record: record["start_us"])
    return [(record["start_us"] - records[0]["start_us"], record["kind"],
             record["instance"]) for record in records]


def script(run):
    backends = Backends(run, "backends", 4, "--cold-ms", 0, "--slots", 64)
    mix = "slot-check=70,confirm=20,history=8,archive=2"
    FakeInstance.stop = threading.Event()

    def start_direct(name, rate, duration_ms, *more):
        return Caller(run, name, "--direct", backends.addresses(), "--rate",
                      rate, "--duration-ms", duration_ms, *more)

    def start_through(entry, name, rate, duration_ms, *more):
        return Caller(run, name, "--entry", f"127.0.0.1:{entry.port}",
                      "--rate", rate, "--duration-ms", duration_ms, *more)

    print("-- straight to backend servers")
    caller = start_direct("direct", 400, 1500, "--mix", mix)
    summary = caller.finish()
    records = caller.records()
    print("outcomes:", outcomes(summary))
    print("one record for each request:",
          len(records) == summary["requests"]
          == len({record["request_id"] for record in records}))
    print("as many as due:", 500 < summary["requests"] < 700)
    print("by kind:", sum(kind["requests"] for kind in
                          summary["kinds"].values()) == summary["requests"],
          *summary["kinds"])
    print("in order:", summary["p50_us"] <= summary["p99_us"]
          <= summary["p999_us"] <= summary["max_us"])
    ran = collections.Counter(entry["key"] for entry in backends.journal())
    print("journal has the same keys:", ran == collections.Counter(
        record["key"] for record in records if record["key"]))
    print("repeated keys:", backends.stats()["repeated_keys"])
    again = start_direct("same-seed", 400, 1500, "--mix", mix)
    again.finish()
    print("same arrivals with the same seed:",
          arrivals(again.records()) == arrivals(records))

    print("-- open loop")
    backends.control_all(slow_ms=600)
    caller = start_direct("slow", 100, 500, "--delay-ms", 50)
    summary = caller.finish()
    starts = sorted(record["start_us"] for record in caller.records())
    print("slow answers do not delay arrivals:",
          starts[-1] - starts[0] < 500000, "outcomes:", outcomes(summary))
    print("client delay both ways:", summary["p50_us"] > 700000)
    backends.control_all(slow_ms=0)

    print("-- deadline, shed")
    backends.control_all(slow_ms=500)
    caller = start_direct("deadline", 50, 200, "--timeout-ms", 100)
    print("deadline:", outcomes(caller.finish()))
    backends.control_all(slow_ms=0, shed=True)
    print("shed:", outcomes(start_direct("shed", 50, 200).finish()))
    backends.control_all(shed=False)

    print("-- a kept connection that the server closed")
    backends.control_all(slow_ms=300)
    runs = len(backends.journal())
    one = backends.addresses().split(",", maxsplit=1)[0]
    caller = Caller(run, "reset", "--direct", one, "--rate", 40,
                    "--duration-ms", 1500, "--mix", "confirm=1")
    # libcurl sends a request again only if its connection was used before.
    before = backends.control(0)["requests"]
    wait_for("connections are used again",
             lambda: backends.control(0)["requests"] >= before + 30)
    wait_for("some confirmations run",
             lambda: backends.control(0)["in_flight"] >= 5)
    backends.control(0, restart=True)
    summary = caller.finish()
    print("some broken:", summary["broken"] > 0, "sent once:",
          len(backends.journal()) - runs == summary["requests"],
          "repeated keys:", backends.stats()["repeated_keys"])
    backends.control_all(slow_ms=0)

    print("-- through entry instances")
    local = FakeInstance(backends.ports[0])
    remote = FakeInstance(backends.ports[1])
    for entry in (local, remote):
        entry.addresses = [(remote, "far"), (local, "near")]
    caller = start_through(remote, "entry", 100, 800, "--data-centre", "near")
    summary = caller.finish()
    print("outcomes:", outcomes(summary), "own data centre only:",
          remote.served == 0 and local.served == summary["requests"])
    # The last request for addresses may be in flight when the process ends.
    unanswered = local.lookups + remote.lookups - summary["address_answers"]
    print("asked again after the lifetime:",
          summary["address_answers"] > 4 and unanswered in (0, 1))
    for entry in (local, remote):
        entry.lifetime_ms = 60000
        entry.addresses = [(remote, "near"), (local, "near")]
    caller = start_through(local, "gone", 100, 1000, "--data-centre", "near")
    served = local.served
    wait_for("the first instance is used",
             lambda: local.served > served + 20)
    local.crash()
    served = remote.served
    summary = caller.finish()
    print("another instance after a failure:", remote.served > served + 10,
          "other address when refused:", summary["reconnects"] > 0,
          "wrong:", summary["wrong"])

    print("-- repeats with the same key")
    third = FakeInstance(backends.ports[2])
    remote.addresses = third.addresses = [(remote, ""), (third, "")]
    caller = start_through(remote, "repeat", 50, 500, "--mix", "confirm=1",
                           "--repeat-share", 0.5)
    summary = caller.finish()
    by_key = collections.defaultdict(set)
    for record in caller.records():
        by_key[record["key"]].add(record["instance"])
    print("outcomes:", outcomes(summary), "repeats:",
          0 < summary["repeats"] < summary["requests"] / 2)
    print("through another instance:",
          sum(len(instances) == 2 for instances in by_key.values())
          == summary["repeats"])

    print("-- answers of a misbehaving instance")
    for behaviour in ("foreign", "mixed", "shortened", "no echo", "cut",
                      "problem", "unknown", "no retry-after", "no ran",
                      "silent"):
        bad = FakeInstance(backends.ports[0], behaviour)
        bad.addresses = [(bad, "")]
        caller = start_through(bad, "bad-" + behaviour.replace(" ", "-"), 50,
                               200,
                               "--timeout-ms", 300, "--grace-ms", 100)
        print(behaviour + ":", outcomes(caller.finish()))
    FakeInstance.stop.set()


main(script)
