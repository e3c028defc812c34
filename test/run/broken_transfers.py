"""Downloads are truncated, clients disconnect or send slowly, and requests are
malformed.

Guards against a short response that looks complete, slots that stay in use
after the client disconnected, and bad requests without a clear error.
"""

import http.client
import socket

from connections_silent import EndpointProxyTopology
from faultrun import FaultScenario
from harness import main, request, wait_for

DOWNLOADS = 12
# The proxy cuts a response off after this many bytes.
CUT_BYTES = 20000
# The timeout that a download requests.
TIMEOUT_MS = 2000
# A download may end this long after its deadline.
GRACE_S = 2


def download(instance, name):
    """Downloads an archive; returns whole, broken, refused, SHORT or LATE."""
    connection = http.client.HTTPConnection("127.0.0.1", instance.callers,
                                            timeout=TIMEOUT_MS / 1000
                                            + GRACE_S)
    try:
        connection.request("GET", "/s/records/archive/" + name, None,
                           {"Request-Id": name,
                            "Request-Timeout-Ms": str(TIMEOUT_MS)})
        response = connection.getresponse()
        length = int(response.getheader("Content-Length", -1))
        body = response.read()
    except TimeoutError:
        return "LATE"
    except (http.client.HTTPException, OSError):
        return "broken"
    finally:
        connection.close()
    if response.status != 200:
        return "refused"
    return "whole" if len(body) == length > 2 * CUT_BYTES else "SHORT"


def downloads(instances, name, count=DOWNLOADS):
    # Downloads archives through each instance in turn; returns the number of
    # downloads by result.
    results = [download(instances[i % len(instances)], f"{name}-{i}")
               for i in range(count)]
    return {kind: results.count(kind) for kind in sorted(set(results))}


def send_raw(instance, data, timeout=20):
    """Sends raw bytes; returns the status code and body of the response."""
    with socket.create_connection(("127.0.0.1", instance.callers),
                                  timeout) as one:
        one.sendall(data)
        response = http.client.HTTPResponse(one)
        response.begin()
        return response.status, response.read()


def is_refused(name, response, status):
    # Prints the status of a response; returns whether it is the expected one
    # and the body describes the error.
    is_clear = response[0] == status and b'"detail"' in response[1]
    print(f"{name}: {response[0]}{'' if is_clear else ' UNCLEAR'}")
    return is_clear


def script(run):
    scenario = FaultScenario(run, topology=EndpointProxyTopology)
    topology = scenario.topology
    instances = topology.instances
    records = [endpoint for endpoint in topology.endpoints
               if endpoint.service.name == "records"]
    for instance in instances:
        wait_for("pools are served", lambda: download(instance, "first")
                 == "whole")
    whole = downloads(instances, "quiet")
    scenario.check("downloads are whole without faults",
                   whole == {"whole": DOWNLOADS})
    for endpoint in records[:1]:
        topology.endpoint_proxy.control(endpoint.name,
                                        truncate_after=CUT_BYTES)
    one_cut = downloads(instances, "some")
    scenario.log_measurement(f"one of six endpoints cut: {one_cut}")
    scenario.check("interrupted downloads are resumed elsewhere",
                   one_cut == {"whole": DOWNLOADS})
    for endpoint in records:
        topology.endpoint_proxy.control(endpoint.name,
                                        truncate_after=CUT_BYTES)
    all_cut = downloads(instances, "all", 3)
    scenario.log_measurement(f"all endpoints cut: {all_cut}")
    scenario.check("no download is short but complete", "SHORT" not in all_cut)
    scenario.check("a download that can't be resumed ends by its deadline",
                   "LATE" not in all_cut)
    for endpoint in records:
        topology.endpoint_proxy.control(endpoint.name, truncate_after=-1)

    for i in range(20):
        with socket.create_connection(
                ("127.0.0.1", instances[i % 6].callers)) as client:
            client.sendall(b"GET /s/records/archive/left HTTP/1.1\r\n"
                           b"Host: x\r\nRequest-Id: left\r\n\r\n")
            client.recv(1000)
    wait_for("the slots of callers that left are free", lambda: not any(
        entry["in_flight"] + entry["queued"]
        for entry in topology.stats().values()), 5)
    scenario.check("slots of callers that left are free", True)

    one = instances[0]
    head = b"POST /s/booking/confirm HTTP/1.1\r\nHost: x\r\n"
    key = b"Idempotency-Key: bad\r\n"
    clear = [
        is_refused("oversized headers", send_raw(
            one, b"GET /s/booking/slot-check HTTP/1.1\r\nHost: x\r\nLong: "
            + b"x" * 100000 + b"\r\n\r\n"), 400),
        is_refused("oversized body", send_raw(
            one, head + key + b"Content-Length: 999999999\r\n\r\n"), 413),
        is_refused("method", send_raw(
            one, b"CONNECT /s/booking/slot-check HTTP/1.1\r\n"
            b"Host: x\r\n\r\n"),
            405),
        is_refused("unknown method", send_raw(
            one, b"BREW /s/booking/slot-check HTTP/1.1\r\nHost: x\r\n\r\n"),
            400),
        is_refused("deadline", send_raw(
            one, b"GET /s/booking/slot-check HTTP/1.1\r\nHost: x\r\n"
            b"Request-Timeout-Ms: soon\r\n\r\n"), 400),
        is_refused("no length", send_raw(one, head + key + b"\r\n"), 411),
        is_refused("no key",
                   send_raw(one, head + b"Content-Length: 2\r\n\r\n{}"),
                   400),
        is_refused("service", send_raw(
            one, b"GET /s/nowhere/x HTTP/1.1\r\nHost: x\r\n\r\n"), 404),
    ]
    scenario.check("every error is clear", all(clear))
    with socket.create_connection(("127.0.0.1", one.callers), 20) as slow:
        slow.sendall(b"GET /s/booking/slot-check HTTP/1.1\r\nHost:")
        slow.settimeout(20)
        try:
            reply = slow.recv(1000)
        except ConnectionResetError:
            reply = b""
    scenario.log_measurement(f"slow client: {reply[:40]}")
    scenario.check("a slow client is cut off or refused",
                   reply == b"" or b"problem+json" in reply)
    keys = [entry["key"] for entry in topology.journal()]
    scenario.check("nothing that was refused ran", "bad" not in keys)
    response = request(one.callers, "GET", "/s/booking/slot-check", None,
                       {"Request-Id": "after"})
    scenario.check("the instance serves others meanwhile",
                   response.status == 200)
    return 0 if scenario.passed and not any(topology.stop_instances()) else 1


if __name__ == "__main__":
    main(script)
