"""Tests slots, cold start, drain, deadlines and journal of standin-backend."""

import concurrent.futures
import http.client
import socket
import time

from harness import Backends, main, request, wait_for

CONNECTION_ERRORS = (ConnectionError, http.client.HTTPException)


def script(run):
    backends = Backends(run, "backends", 2, "--cold-ms", 60000, "--fall-ms",
                        300, "--queue", 2, "--sigma", 0, "--slots", 3,
                        "--load-lag-ms", 400)
    port = backends.ports[0]
    pool = concurrent.futures.ThreadPoolExecutor(16)

    def call(path, method="GET", on=port, timeout=10, **headers):
        names = {name.replace("_", "-"): value
                 for name, value in headers.items()}
        try:
            return request(on, method, path, None, names, timeout)
        except CONNECTION_ERRORS:
            return None

    def stats(index=0):
        return backends.stats()["endpoints"][index]

    def call_concurrently(count, path):
        """Returns the statuses of concurrent requests, 0 for a reset."""
        responses = pool.map(lambda _: call(path), range(count))
        return sorted(a.status if a else 0 for a in responses)

    def load(response):
        return dict(part.split("=")
                    for part in response.headers["server-load"].split("; "))

    print("-- cold start")
    first = call("/slot-check", Request_Id="r1")
    print("one at a time:", first.status, first.headers["echo-request-id"],
          "cold =", load(first)["cold"])
    backends.control(0, slow_ms=200)
    print("more than it can bear:", call_concurrently(3, "/slot-check"))
    print("fallen:", call("/slot-check"))
    backends.control(0, slow_ms=0)
    again = wait_for("the endpoint is back", lambda: call("/slot-check"))
    print("new identity:", load(again)["identity"] != load(first)["identity"],
          "cold =", load(again)["cold"])
    print("cold overloads:", stats()["cold_overloads"])
    backends.control(0, cold=False)
    backends.control(1, cold=False)

    print("-- slots and queue")
    backends.control(0, slow_ms=300)
    statuses = call_concurrently(6, "/slot-check")
    print("six requests, three slots, two may wait:", statuses)
    print("at most:", stats()["max_concurrency"], "above bearing:",
          stats()["max_over_bearing"])
    backends.control(0, slow_ms=0)

    print("-- shed and drain")
    backends.control(0, shed=True)
    shed = call("/slot-check")
    print("shed:", shed.status, shed.headers["request-ran"],
          shed.headers["retry-after"])
    backends.control(0, shed=False, drain=True, mark="out")
    drained = call("/slot-check")
    print("draining:", drained.status, load(drained)["draining"])
    print("work after out:", stats()["work_after_out"], "late:",
          stats()["late_after_out"], stats()["late_after_drain"])
    until = time.monotonic() + 3.05
    wait_for("3 s after the drain began", lambda: time.monotonic() > until)
    call("/slot-check")
    call("/health")
    print("later: work after out:", stats()["work_after_out"], "late:",
          stats()["late_after_out"], stats()["late_after_drain"])
    backends.control(0, drain=False, mark="in")

    print("-- deadlines and cancellation")
    backends.control(0, slow_ms=60000)
    start = time.monotonic()
    expired = call("/confirm", "POST", Idempotency_Key="k1",
                   Request_Deadline_Ms="50")
    print("deadline:", expired.status, "in time:",
          time.monotonic() - start < 1)
    try:
        call("/confirm", "POST", timeout=0.2, Idempotency_Key="k2")
    except socket.timeout:
        print("caller gone")
    wait_for("the cancellation is noticed",
             lambda: stats()["in_flight"] == 0)
    backends.control(0, slow_ms=0)
    large = Backends(run, "large", 1, "--cold-ms", 0, "--archive-bytes",
                     64 << 20)
    with socket.socket() as reader:
        reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        reader.connect(("127.0.0.1", large.ports[0]))
        reader.sendall(b"GET /archive HTTP/1.1\r\nHost: x\r\n"
                       b"Request-Deadline-Ms: 500\r\n\r\n")
        wait_for("the answer begins", lambda: reader.recv(100))
        wait_for("the deadline ends an answer that nobody reads",
                 lambda: large.stats()["endpoints"][0]["in_flight"] == 0)
    print("expired while sending:", large.stats()["endpoints"][0]["expired"])

    print("-- journal")
    bodies = [call("/confirm", "POST", Idempotency_Key="k3",
                   Request_Id=f"j{i}").body for i in range(2)]
    call("/confirm", "POST", on=backends.ports[1], Idempotency_Key="k4")
    call("/confirm", "POST", on=backends.ports[1], Idempotency_Key="k1")
    print("same answer to a repeat:", bodies[0] == bodies[1])
    for entry in backends.journal():
        print(entry["key"], "request:", entry["request_id"], "endpoint:",
              backends.ports.index(entry["port"]), "completed:",
              entry["completed"])
    print("repeated keys:", backends.stats()["repeated_keys"])

    print("-- downloads")
    whole = call("/archive/1", Request_Id="d")
    part = call("/archive/1", on=backends.ports[1], Request_Id="d",
                Range="bytes=1000000-", If_Range=whole.headers["etag"])
    print("whole:", whole.status, len(whole.body))
    print("rest from another endpoint:", part.status,
          part.headers["content-range"], part.body == whole.body[1000000:])
    print("other entity:", call("/archive/1", Request_Id="d", Range="bytes=5-",
                                If_Range='"x"').status)
    print("beyond the end:", call("/archive/1", Request_Id="d",
                                  Range="bytes=9999999-").status)

    print("-- reports")
    backends.control(0, drain=True)
    wait_for("the lagging report is later than the downloads",
             lambda: call("/load").json()["draining"] == 1)
    backends.control(0, drain=False)
    backends.control(0, slow_ms=1000)
    waiting = pool.submit(call, "/slot-check")
    wait_for("the request runs", lambda: stats()["in_flight"] == 1)
    print("in flight at once:", call("/load").json()["in_flight"])
    wait_for("the lagging report shows the request",
             lambda: call("/load").json()["in_flight"] == 1)
    waiting.result()
    old = call("/load").json()["identity"]
    backends.control(0, restart=True)
    wait_for("the report shows the restart",
             lambda: (a := call("/load")) and a.json()["identity"] != old)
    print("health:", call("/health").status)
    print("stop:", backends.process.stop())


main(script)
