"""Tests that a run leaves no process behind when it fails or is stopped."""

import os
import signal
import subprocess
import sys
import time

from harness import STOP_TIMEOUT_S, Ports, Run, RunError, main, wait_for

CHILD = """
import sys
sys.path.insert(0, {here!r})
from harness import Run, wait_for
with Run({build!r}, {parent!r}) as run:
    print(run.start_standin("platform", "platform").child.pid, flush=True)
    wait_for("nothing", lambda: False, 60)
"""


def is_running(process_id):
    return os.path.exists(f"/proc/{process_id}")


def script(run):
    print("-- a condition that does not hold")
    processes = []
    start = time.monotonic()
    try:
        with Run(run.build, run.directory) as inner:
            processes.append(inner.start_standin("one", "platform"))
            processes.append(inner.start_standin("two", "platform"))
            # A stopped process receives SIGTERM only after SIGCONT.
            processes[1].signal(signal.SIGSTOP)
            wait_for("the impossible", lambda: False, 0.05)
    except RunError as error:
        print(error)
    print("stopped, not killed:", time.monotonic() - start < STOP_TIMEOUT_S)
    print("left:", sum(is_running(p.child.pid) for p in processes))

    print("-- a process that ends early")
    process = run.start("bad", "test/standin/standin-platform", "--no-such")
    try:
        process.wait_for_line("ready ")
    except RunError as error:
        print(str(error).replace("\n", " "))

    print("-- a run that is stopped or killed")
    for signal_number in (signal.SIGTERM, signal.SIGKILL):
        here = os.path.dirname(os.path.abspath(__file__))
        with subprocess.Popen(
                [sys.executable, "-c",
                 CHILD.format(here=here, build=run.build,
                              parent=run.directory)],
                stdout=subprocess.PIPE, stderr=subprocess.DEVNULL,
                text=True) as child:
            process_id = int(child.stdout.readline())
            child.send_signal(signal_number)
        wait_for("the process has ended", lambda: not is_running(process_id))
        print(signal.Signals(signal_number).name, "left:",
              is_running(process_id))

    print("-- ports")
    ports = Ports()
    reserved = {ports.reserve() for _ in range(100)}
    print("different:", len(reserved))
    ports.close()


main(script)
