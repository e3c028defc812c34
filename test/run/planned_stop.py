"""Two instances stop while they have long requests and downloads in flight;
one of them cannot reach the store.  Then the other two stop without the store.

Guards against a planned stop that ends before the requests that it has, and
against one that needs the store or a successor when all others leave.
"""

import http.client
import json
import socket
from concurrent.futures import ThreadPoolExecutor

from faultrun import FaultScenario, now_us, wait_until
from harness import main, request, wait_for
from topology import Deployment, Service, StoreProxyTopology

# Longer than everything else that a stop waits for.
LONG_MS = 3000
ARCHIVE = 24 << 20
HANDED_OVER_MS = 500
# Callers leave for 2 s, and the listeners take up to 2 s each to close.
LAST_STOP_S = 9
DEPLOYMENT = Deployment(
    "stop", ["quezon"], [Service("booking", 8, 3), Service("records", 8, 3)],
    4, profile={"timeout_ms": 9000, "run_ms": 8000})


def download(instance, name):
    """Reads an archive evenly in LONG_MS; returns the time of its end in us,
    or None when it was cut."""
    connection = http.client.HTTPConnection("127.0.0.1", instance.callers)
    connection.sock = socket.socket()
    # A large buffer would take the rest of the answer from the instance.
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    connection.sock.settimeout(10)
    connection.sock.connect(("127.0.0.1", instance.callers))
    connection.request("GET", "/s/records/archive/" + name, None,
                       {"Request-Id": name})
    response = connection.getresponse()
    begin_us = now_us()
    read = 0
    try:
        while read < ARCHIVE:
            due = min(1, (now_us() - begin_us) / (LONG_MS * 1000)) * ARCHIVE
            if read < due:
                read += len(response.read(int(due) - read))
                if response.isclosed():
                    break
            else:
                wait_for("the next part is due", lambda at=begin_us + read
                         * LONG_MS * 1000 / ARCHIVE + 20000: now_us() >= at)
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()
    return now_us() if response.status == 200 and read == ARCHIVE else None


def ask(instance, method, path, name):
    """A long request; returns the time of its whole answer in us, or None."""
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
                             ("--archive-bytes", ARCHIVE))
    topology = scenario.topology
    for endpoint in topology.endpoints:
        if endpoint.service.name == "booking":
            endpoint.control(slow_ms=LONG_MS)
    stopping = topology.instances[:2]
    topology.store_proxy.control(stopping[0].name, cut=True)
    with ThreadPoolExecutor() as pool:
        ends = {instance.name: [
            pool.submit(download, instance, instance.name + "-one"),
            pool.submit(download, instance, instance.name + "-two"),
            pool.submit(ask, instance, "GET", "slot-check", instance.name),
            pool.submit(ask, instance, "POST", "confirm", instance.name)]
            for instance in stopping}
        wait_for("all requests are in flight", lambda: sum(
            entry["in_flight"] for entry in topology.stats().values()) == 8)
        stop_us = now_us()
        for instance in stopping:
            instance.process.terminate()
        served = [ask(topology.instances[3], "POST", "confirm", f"other-{i}")
                  for i in range(2)]
        for instance in reversed(stopping):
            scenario.exit_statuses[instance.name] = instance.process.wait(15)
            scenario.note(f"{instance.name} stopped after "
                          f"{(now_us() - stop_us) / 1e6:.1f} s")
        cut = {name: [future.result() for future in futures].count(None)
               for name, futures in ends.items()}
        last_us = max(future.result() or 0 for futures in ends.values()
                      for future in futures)
    scenario.note(f"cut: {cut}, last answer after "
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
    # By then it has handed its slices over to the last.
    wait_until(stop_us + HANDED_OVER_MS * 1000, "the last one is asked to stop")
    statuses = topology.stop_instances()
    took_s = (now_us() - stop_us) / 1e6
    scenario.note(f"the last two stopped after {took_s:.1f} s")
    scenario.check("the last two stop without the store and a successor",
                   took_s <= LAST_STOP_S and not any(statuses))
    return 0 if scenario.passed else 1


main(script)
