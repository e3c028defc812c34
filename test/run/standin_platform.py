"""Tests the object API and the faults of standin-platform."""

import socket
import threading
import http.client

from harness import Platform, main, request, wait_for


def show(text, response):
    print(f"{text}: {response.status} {response.body.decode()}")


def script(run):
    platform = Platform(run, "--instance-lag-ms", 400)
    port = platform.port

    def call(method, path, body=None, timeout=10, **headers):
        names = {name.replace("_", "-"): value
                 for name, value in headers.items()}
        return request(port, method, path, body, names, timeout)

    uri = "/objects/shared/profile/one"
    print("-- conditional updates")
    show("create", call("PUT", uri, '{"a": 1}', If_None_Match="*",
                        Change_Id="c1"))
    show("create again", call("PUT", uri, "{}", If_None_Match="*"))
    show("update", call("PUT", uri, "text", If_Match="1", Change_Id="c2"))
    show("update of an old version", call("PUT", uri, "{}", If_Match='"1"'))
    show("read", call("GET", uri))
    show("read of nothing", call("GET", "/objects/shared/none"))
    show("update of nothing", call("PUT", "/objects/shared/none", "{}",
                                   If_Match="1"))

    print("-- changes since a revision")
    show("other prefix", call("PUT", "/objects/other", "x"))
    show("delete", call("DELETE", uri, If_Match="2", Change_Id="c3"))
    show("tombstone", call("GET", uri))
    show("since 0", call("GET", "/objects?prefix=shared/&since=0"))
    show("since 4", call("GET", "/objects?prefix=shared/&since=4"))
    show("create after delete", call("PUT", uri, "new", If_None_Match="*"))

    print("-- watch")
    responses = []
    watcher = threading.Thread(target=lambda: responses.append(call(
        "GET", "/watch?prefix=shared/&since=5&timeout_ms=8000")))
    watcher.start()
    wait_for("the watch is counted", lambda: platform.counters()["watches"])
    print("answered before the change:", bool(responses))
    call("PUT", "/objects/shared/two", "2")
    watcher.join()
    show("watch", responses[0])
    show("watch without change",
         call("GET", "/watch?prefix=shared/&since=6&timeout_ms=20"))

    print("-- instances")
    call("PUT", "/instances/a", {"address": "127.0.0.1:1"})
    show("at once", call("GET", "/instances"))
    wait_for("the lagging list shows the instance",
             lambda: call("GET", "/instances").json()["instances"])
    show("later", call("GET", "/instances"))

    print("-- faults")
    platform.faults(lose_put_answers=1)
    try:
        call("PUT", uri, "lost answer", If_Match="4", Change_Id="c4")
        print("answered")
    except (ConnectionError, http.client.HTTPException):
        print("no answer")
    show("in effect", call("GET", uri))
    platform.faults(apply_put_after_ms=300)
    try:
        call("PUT", uri, "late", If_Match="5", Change_Id="c5", timeout=0.05)
        print("answered")
    except socket.timeout:
        print("no answer in time")
    print("in effect at once:", call("GET", uri).json()["change_id"] == "c5")
    wait_for("the late update takes effect",
             lambda: call("GET", uri).json()["change_id"] == "c5")
    platform.faults(apply_put_after_ms=0, down=True)
    show("down", call("GET", uri))
    platform.faults(down="silent")
    try:
        call("GET", uri, timeout=0.2)
        print("answered")
    except socket.timeout:
        print("silent")
    platform.faults(down=False, delay_ms=10)
    print("up:", call("GET", uri).status)
    show("value of more than 1 MB", call("PUT", uri, "x" * ((1 << 20) + 1)))
    counters = platform.counters()
    print("counted:", all(counters[name] > 0 for name in
                          ("reads", "writes", "watches", "bytes")))
    print("stop:", platform.process.stop())


main(script)
