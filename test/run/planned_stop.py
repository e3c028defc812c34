"""Two instances shut down while they have long requests and downloads in
flight; one of them cannot reach the store.  Then the other two shut down
during an outage of the store.

Guards against a graceful shutdown that ends before the requests in flight, and
against one that needs the store, or needs a successor although all other
instances shut down.
"""

import http.client
import json
import socket
from concurrent.futures import ThreadPoolExecutor

from faultrun import FaultScenario, now_us, wait_until
from harness import main, request, wait_for
from topology import Deployment, Service, StoreProxyTopology

# Time of a long request or download: longer than everything else that a
# shutdown waits for.
REQUEST_MS = 3000
ARCHIVE_BYTES = 24 << 20
HANDOVER_MS = 500  # between the starts of the last two shutdowns
# Clients have 2 s to leave, and each listener takes up to 2 s to close.
LAST_SHUTDOWN_LIMIT_S = 9
DEPLOYMENT = Deployment(
    "stop", ["quezon"], [Service("booking", 8, 3), Service("records", 8, 3)],
    4, profile={"timeout_ms": 9000, "run_ms": 8000})


def download(instance, name):
    """Downloads an archive at a constant rate within REQUEST_MS; returns the
    time of its end in us, or None if it was cut off."""
    connection = http.client.HTTPConnection("127.0.0.1", instance.callers)
    connection.sock = socket.socket()
    # A large receive buffer would take the rest of the response from the
    # instance at once.
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    connection.sock.settimeout(10)
    connection.sock.connect(("127.0.0.1", instance.callers))
    connection.request("GET", "/s/records/archive/" + name, None,
                       {"Request-Id": name})
    response = connection.getresponse()
    begin_us = now_us()
    read = 0
    try:
        while read < ARCHIVE_BYTES:
            due_bytes = min(1, (now_us() - begin_us)
                            / (REQUEST_MS * 1000)) * ARCHIVE_BYTES
            if read < due_bytes:
                read += len(response.read(int(due_bytes) - read))
                if response.isclosed():
                    break
            else:
                wait_for("the next part is due", lambda at=begin_us + read
                         * REQUEST_MS * 1000 / ARCHIVE_BYTES + 20000:
                         now_us() >= at)
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()
    return now_us() if response.status == 200 and read == ARCHIVE_BYTES \
        else None


def send_request(instance, method, path, name):
    """Sends a long request; returns the time of its whole response in us, or
    None."""
    try:
        response = request(instance.callers, method, "/s/booking/" + path,
                           json.dumps({"booking": name}),
                           {"Idempotency-Key": name, "Request-Id": name,
                            "Content-Type": "application/json"})
    except (OSError, http.client.HTTPException):
        return None
    return now_us() if response.status == 200 else None


def script(run):
    scenario = FaultScenario(run, DEPLOYMENT, StoreProxyTopology,
                             ("--archive-bytes", ARCHIVE_BYTES))
    topology = scenario.topology
    for endpoint in topology.endpoints:
        if endpoint.service.name == "booking":
            endpoint.control(slow_ms=REQUEST_MS)
    stopping = topology.instances[:2]
    topology.store_proxy.control(stopping[0].name, cut=True)
    with ThreadPoolExecutor() as pool:
        end_times = {instance.name: [
            pool.submit(download, instance, instance.name + "-one"),
            pool.submit(download, instance, instance.name + "-two"),
            pool.submit(send_request, instance, "GET", "slot-check",
                        instance.name),
            pool.submit(send_request, instance, "POST", "confirm",
                        instance.name)]
            for instance in stopping}
        wait_for("all requests are in flight", lambda: sum(
            entry["in_flight"] for entry in topology.stats().values()) == 8)
        stop_us = now_us()
        for instance in stopping:
            instance.process.terminate()
        served = [send_request(topology.instances[3], "POST", "confirm",
                               f"other-{i}")
                  for i in range(2)]
        for instance in reversed(stopping):
            scenario.exit_statuses[instance.name] = instance.process.wait(15)
            scenario.log_measurement(f"{instance.name} stopped after "
                                     f"{(now_us() - stop_us) / 1e6:.1f} s")
        cut = {name: [future.result() for future in futures].count(None)
               for name, futures in end_times.items()}
        last_us = max(future.result() or 0 for futures in end_times.values()
                      for future in futures)
    scenario.log_measurement(f"cut: {cut}, last answer after "
                             f"{(last_us - stop_us) / 1e6:.1f} s")
    scenario.check("no request of a stopping instance is cut",
                   not any(cut.values()))
    scenario.check("others serve meanwhile", None not in served)
    scenario.check("planned stops end with status 0",
                   not any(scenario.exit_statuses.values()))
    scenario.check("no confirmation ran twice", not any(
        count > 1 for key, count in scenario.starts_by_key().items() if key))
    topology.platform.faults(down=True)
    last_but_one, last = scenario.running_instances()
    last_but_one.process.terminate()
    stop_us = now_us()
    # By then, last_but_one has handed over its slices to last.
    wait_until(stop_us + HANDOVER_MS * 1000, "the last one is asked to stop")
    statuses = topology.stop_instances()
    took_s = (now_us() - stop_us) / 1e6
    scenario.log_measurement(f"the last two stopped after {took_s:.1f} s")
    scenario.check("the last two stop without the store and a successor",
                   took_s <= LAST_SHUTDOWN_LIMIT_S and not any(statuses))
    return 0 if scenario.passed else 1


main(script)
