"""Tests the faults of standin-faultproxy in front of standin-backend."""

import http.client
import json
import socket
import time

from harness import Backends, FaultProxy, main, wait_for

CLOSED = (ConnectionError, http.client.HTTPException)


def script(run):
    backends = Backends(run, "backends", 2, "--cold-ms", 0, "--sigma", 0)
    proxy = FaultProxy(run, {"a": backends.ports[0], "b": backends.ports[1]})

    def connect(name, timeout=10):
        return http.client.HTTPConnection("127.0.0.1", proxy.ports[name],
                                          timeout=timeout)

    def get(connection, path="/slot-check"):
        """Returns the outcome of one request as the client sees it."""
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            json.loads(response.read())
            return response.status
        except socket.timeout:
            return "silent"
        except ConnectionRefusedError:
            return "refused"
        except http.client.IncompleteRead as error:
            return f"cut after {len(error.partial)} bytes"
        except CLOSED:
            return "closed"
        except ValueError:
            return "not the whole document"

    def in_flight():
        return backends.stats()["endpoints"][0]["in_flight"]

    print("-- no fault")
    kept = connect("a")
    print("two requests on one connection:", get(kept), get(kept))
    print("accepted:", proxy.report()["a"]["accepted"])

    print("-- cut")
    proxy.control("a", cut=True)
    kept.auto_open = 0
    print("existing:", get(kept), "new:", get(connect("a")), "other pair:",
          get(connect("b")))
    proxy.control("a", cut=False)
    print("restored:", get(connect("a")))

    print("-- delay")
    start = time.monotonic()
    get(connect("a"))
    direct = time.monotonic() - start
    proxy.control("a", delay_ms=150)
    start = time.monotonic()
    get(connect("a"))
    delayed = time.monotonic() - start
    print("there and back:", 0.25 < delayed - direct < 1)
    proxy.control("a", delay_ms=0)

    print("-- freeze")
    kept = connect("a", timeout=0.3)
    print("before:", get(kept))
    proxy.control("a", freeze="existing")
    print("existing:", get(kept), "new:", get(connect("a")))
    proxy.control("a", freeze="all")
    print("all: new:", get(connect("a", timeout=0.3)))
    proxy.control("a", freeze="none")
    print("none: new:", get(connect("a")))

    print("-- truncate")
    proxy.control("a", truncate_after=10000)
    print("history:", str(get(connect("a"), "/history"))[:9])
    print("slot check:", get(connect("a")))
    proxy.control("a", truncate_after=-1)
    print("restored:", get(connect("a"), "/history"))

    print("-- half-open")
    backends.control(0, slow_ms=60000)
    kept = connect("a", timeout=0.3)
    kept.request("GET", "/slot-check")
    wait_for("the request runs", lambda: in_flight() == 1)
    proxy.control("a", half_open=True)
    wait_for("the backend sees the end", lambda: in_flight() == 0)
    try:
        kept.getresponse()
        print("answered")
    except socket.timeout:
        print("the caller sees nothing")
    backends.control(0, slow_ms=0)
    print("new:", get(connect("a")))

    print("-- no target")
    backends.process.stop()
    print("closed by the proxy:", get(connect("b")))
    print("stop:", proxy.process.stop())


main(script)
