"""An instance is shut down with a short time to end, while clients go on
sending requests on open and new connections until the process is gone.  The
requests take a sixth of that time; some that were sent before the shutdown
take longer than all of it.

Guards against requests that are taken and passed on so late that the end of
the process cuts them off, so that their clients do not know whether they have
run.
"""

import asyncio
import json
import signal
import time

import platformrun
from platformrun import platform_site

STOP_S = 3.0
WORK_S = 0.5
TOO_LONG_S = 3.8
INTERVAL_S = 0.05
PATIENCE_S = 4.0


class ShortStopInstance(platform_site.Instance):
    """Instance whose process is killed STOP_S after SIGTERM."""

    def write_settings(self):
        super().write_settings()
        with open(self.path, encoding="utf-8") as file:
            settings = json.load(file)
        settings["bounds"]["grace-s"] = STOP_S
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(settings, file)


async def send_one(site, instance, streams, outcomes, kind="book"):
    """Sends a request; outcomes gets its status, or "cut" if its connection
    ended without a response although it had been passed on."""
    site.next_id += 1
    request_id = f"l{site.next_id}"
    target = f"/{kind}/{site.next_id}"
    site.sent[request_id] = ("POST", target, b"x")
    reader, writer = streams
    try:
        writer.write(platform_site.message(
            f"POST {target} HTTP/1.1",
            {"Host": "here.example", platform_site.ATTEMPT_ID: request_id,
             platform_site.DEADLINE_MS: "4000"}, b"x"))
        start_line, _, _ = await asyncio.wait_for(
            platform_site.read_message(reader), PATIENCE_S)
        status = int(start_line.split(" ")[1])
        if status == 503 and site.runs.get(request_id):
            site.report_fault(f"refused after execution: {request_id}")
    except (platform_site.MessageError, ConnectionError, OSError):
        status = "cut" if site.runs.get(request_id) else "not passed on"
    finally:
        writer.transport.abort()
    outcomes.append(status)


async def script(site):
    for endpoint in site.endpoints.values():
        endpoint.service_time_s = WORK_S if endpoint.service == "slots" \
            else TOO_LONG_S
        endpoint.slots = 60
        endpoint.slot_semaphore = asyncio.Semaphore(60)
    await site.configure(book={
        "host": "here.example", "path-prefix": "/book/", "kind": "unsafe",
        "service": "slots", "timeout-s": 4.0, "target-latency-s": 1.5,
        "priority": 1, "max-attempts": 2}, file={
        "host": "here.example", "path-prefix": "/file/", "kind": "download",
        "service": "files", "timeout-s": 4.0, "target-latency-s": 3.9,
        "priority": 2, "max-attempts": 1})
    await asyncio.sleep(2.5)
    instance = site.instances[0]
    outcomes, early, too_long, tasks = [], [], [], []

    async def connect():
        return await asyncio.open_connection(instance.ip, platform_site.FRONT)

    # The duration of the requests becomes known.
    await asyncio.gather(*[send_one(site, instance, await connect(), early)
                           for _ in range(10)])
    long_tasks = [asyncio.create_task(send_one(
        site, instance, await connect(), too_long, "file")) for _ in range(5)]
    await asyncio.sleep(0.3)
    kept = [await connect() for _ in range(40)]
    stopped = asyncio.create_task(instance.end(signal.SIGTERM))
    began = time.monotonic()
    while not stopped.done():
        try:
            streams = kept.pop() if kept and len(tasks) % 2 \
                else await connect()
            tasks.append(asyncio.create_task(
                send_one(site, instance, streams, outcomes)))
        except OSError:
            pass
        await asyncio.sleep(INTERVAL_S)
    took = time.monotonic() - began
    await asyncio.gather(*tasks, *long_tasks)
    print("before the shutdown:", sorted(set(map(str, early))))
    print("ended with", await stopped, "in time" if took < STOP_S
          else f"after {took:.1f} s")
    print("served:", outcomes.count(200) > 0)
    print("refused as not run:", outcomes.count(503) > 0)
    print("passed on and cut:", outcomes.count("cut"))
    print("taken before, but too long:", too_long)
    print("failed:", sum(s in (500, 502, 504) for s in outcomes))


platform_site.Instance = ShortStopInstance
platformrun.main(script, instances=2)
