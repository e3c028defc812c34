"""Clients stop reading their response, read it very slowly, or disconnect
while their request waits in a queue.

Guards against a slow client that holds a slot beyond the run time of the
profile or a worker beyond its deadline, and against a disconnected client that
still occupies a place in the queue or gets its request run.
"""

import select
import socket
import threading
from concurrent.futures import ThreadPoolExecutor

from faultrun import FaultScenario, now_us, wait_until
from harness import main, request, wait_for
from topology import Deployment, Service, Topology

RUN_MS = 1000  # run time of the profile
# Time to detect and report an event, on a busy machine.
GRACE_MS = 500
SLOW_READERS = 6
LEAVING_CLIENTS = 6
# The queue holds up to two requests for each usable slot.
QUEUE_MAX = 2
# Time in which the instance notices that clients disconnected.
NOTICE_MS = 100
SERVICE_TIME_MS = 800
DEPLOYMENT = Deployment(
    "slow", ["quezon"], [Service("booking", 1, 3), Service("records", 8, 3)],
    2, profile={"run_ms": RUN_MS, "timeout_ms": 4000})


def send(instance, method, path, headers, body=""):
    """Sends a request with a small receive buffer; returns the socket."""
    one = socket.socket()
    one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    one.settimeout(10)
    one.connect(("127.0.0.1", instance.callers))
    one.sendall(f"{method} {path} HTTP/1.1\r\nHost: x\r\n{headers}"
                f"Content-Length: {len(body)}\r\n\r\n{body}".encode())
    return one


def read_slowly(one, ended):
    """Reads 2 KB a second until ended is set or the connection closes."""
    try:
        while not ended.wait(0.5) and one.recv(1024):
            pass
    except OSError:
        pass


def check_slow_readers(scenario, instance):
    """Checks that slow clients hold no slot or worker for long: half of them
    stop reading after the response head, the others read on slowly."""
    topology = scenario.topology
    ended = threading.Event()
    begin_us = now_us()
    readers = [send(instance, "GET", f"/s/records/archive/{i}",
                    f"Request-Id: slow-{i}\r\n") for i in range(SLOW_READERS)]
    heads = [one.recv(1024) for one in readers]
    scenario.check("slow readers get the head of their answer", all(
        head.startswith(b"HTTP/1.1 200") for head in heads))
    for one in readers[::2]:
        threading.Thread(target=read_slowly, args=(one, ended),
                         daemon=True).start()
    # All workers serve slow clients; this request waits for a worker.
    response = request(instance.callers, "GET", "/s/records/history/1", None,
                       {"Request-Id": "other"})
    worker_ms = (now_us() - begin_us) // 1000
    wait_for("the slots of slow readers are free", lambda: not any(
        entry["in_flight"] for entry in topology.stats().values()))
    slots_ms = (now_us() - begin_us) // 1000
    scenario.log_measurement(
        f"slow readers: worker free after {worker_ms} ms, slots "
        f"after {slots_ms} ms")
    scenario.check("a slow reader holds no worker beyond the run time",
                   response.status == 200 and worker_ms <= RUN_MS + GRACE_MS)
    scenario.check("a slow reader holds no slot beyond the run time",
                   slots_ms <= RUN_MS + GRACE_MS)
    ended.set()
    for one in readers:
        one.close()


def check_leaving_clients(scenario, instance, pool):
    """Checks the queue when clients disconnect while their requests wait for
    the only usable slot."""
    topology = scenario.topology
    endpoint = topology.endpoints[0]
    endpoint.control(slow_ms=SERVICE_TIME_MS)

    def send_request(via, name):
        return request(via.callers, "GET", "/s/booking/slot-check", None,
                       {"Request-Id": name})
    # Queued requests are given up early when earlier ones took less time, so
    # the first request is as long as the others.
    send_request(instance, "first")
    occupied = pool.submit(send_request, instance, "occupies")
    wait_for("the slot is occupied", lambda: any(
        entry["in_flight"] for entry in topology.stats().values()))
    waiting = [send(instance, "POST", "/s/booking/confirm",
                    f"Request-Id: left\r\nIdempotency-Key: left-{i}\r\n",
                    "{}") for i in range(LEAVING_CLIENTS)]
    # A refusal means that the queue is full.
    wait_for("a request is refused",
             lambda: select.select(waiting, [], [], 0)[0])
    for one in waiting:
        one.close()
    left_us = now_us()
    wait_until(left_us + NOTICE_MS * 1000, "the instance notices")
    was_occupied = not occupied.done()
    # The instance that got a refusal for a request backs off from the pool, so
    # these requests go through the other instance.
    stayed = [pool.submit(send_request, topology.instances[1], f"stays-{i}")
              for i in range(QUEUE_MAX)]
    statuses = [one.result().status for one in stayed]
    keys = [entry["key"] for entry in topology.journal()]
    scenario.log_measurement(
        f"answers in their places: {statuses}, ran: {keys}")
    scenario.check("places of callers that left the queue are free at once",
                   was_occupied and statuses == [200] * QUEUE_MAX)
    scenario.check("no request of a caller that left the queue ran", not keys)
    scenario.check("the request in the slot is answered",
                   occupied.result().status == 200)


def script(run):
    scenario = FaultScenario(run, DEPLOYMENT, lambda *args: Topology(
        *args, settings={"workers": SLOW_READERS}),
        ("--archive-bytes", 24 << 20))
    instance = scenario.topology.instances[0]
    check_slow_readers(scenario, instance)
    with ThreadPoolExecutor() as pool:
        check_leaving_clients(scenario, instance, pool)
    return 0 if scenario.passed and not any(
        scenario.topology.stop_instances()) else 1


main(script)
