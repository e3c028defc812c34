"""Starts processes for scripted runs and always ends them again.

A run uses loopback addresses and a directory of its own below the build
directory.  Every wait names the condition it waits for and has a limit; no
run sleeps in the hope that something has happened meanwhile.
"""

import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

WAIT_S = 10
STOP_S = 15
POLL_S = 0.01
# Enough for the report of a sanitizer.
REPORT_BYTES = 20000
# The kernel ends the process when the run itself is killed.
END_WITH_PARENT = ["setpriv", "--pdeathsig", "KILL", "--"]


class RunError(Exception):
    """A condition did not hold in time, or a process failed."""


def wait_for(what, condition, timeout=WAIT_S):
    """Returns the first true value of condition()."""
    until = time.monotonic() + timeout
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > until:
            raise RunError(f"not within {timeout} s: {what}")
        time.sleep(POLL_S)


class Answer:
    """Status, headers (names in lower case) and body of an answer."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = {name.lower(): value for name, value in headers}
        self.body = body

    def json(self):
        return json.loads(self.body)


def request(port, method, path, body=None, headers=None, timeout=WAIT_S):
    """One request on its own connection to a port on loopback."""
    if isinstance(body, (dict, list)):
        body = json.dumps(body)
    connection = http.client.HTTPConnection("127.0.0.1", port,
                                            timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return Answer(answer.status, answer.getheaders(), answer.read())
    finally:
        connection.close()


class Process:
    """A process that the run started; its outputs are files of the run."""

    def __init__(self, run, name, command):
        self.name = name
        self.output = os.path.join(run.directory, name + ".out")
        self.errors = os.path.join(run.directory, name + ".err")
        with open(self.output, "wb") as out, open(self.errors, "wb") as err:
            self.child = subprocess.Popen(END_WITH_PARENT + command,
                                          stdin=subprocess.DEVNULL,
                                          stdout=out, stderr=err)

    def lines(self):
        with open(self.output, encoding="utf-8") as file:
            return file.read().splitlines()

    def error_text(self):
        with open(self.errors, encoding="utf-8", errors="replace") as file:
            return file.read()

    def wait_line(self, start, timeout=WAIT_S):
        """First output line that begins with start."""
        def find():
            for line in self.lines():
                if line.startswith(start):
                    return line
            if self.child.poll() is not None:
                raise RunError(f"{self.name} ended with "
                               f"{self.child.returncode}: "
                               f"{self.error_text()[-2000:]}")
            return None
        return wait_for(f"{self.name} prints '{start}'", find, timeout)

    def wait(self, timeout=WAIT_S):
        """Waits for the end; returns the exit status."""
        try:
            return self.child.wait(timeout)
        except subprocess.TimeoutExpired:
            raise RunError(f"{self.name} did not end within {timeout} s") \
                from None

    def signal(self, number):
        """Sends a signal unless the process has been waited for."""
        if self.child.poll() is None:
            self.child.send_signal(number)

    def ask_to_stop(self):
        self.signal(signal.SIGTERM)

    def stop(self, timeout=STOP_S):
        """Planned stop; returns the exit status."""
        self.ask_to_stop()
        status = self.wait(timeout)
        if status != 0:
            print(f"{self.name} ended with {status}:\n"
                  f"{self.error_text()[-REPORT_BYTES:]}", file=sys.stderr)
        return status


class Run:
    """Context of one scripted run; ends all its processes at the end."""

    def __init__(self, build, parent=None):
        self.build = os.path.abspath(build)
        self.parent = parent or self.build
        self.processes = []
        self.directory = None

    def __enter__(self):
        # SIGTERM from ctest must reach the clean-up as an exception.
        signal.signal(signal.SIGTERM, self._interrupted)
        self.directory = tempfile.mkdtemp(prefix="run-", dir=self.parent)
        return self

    @staticmethod
    def _interrupted(number, frame):
        raise RunError(f"signal {number}")

    def __exit__(self, kind, value, trace):
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        running = [p for p in self.processes if p.child.poll() is None]
        for process in running:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        until = time.monotonic() + STOP_S
        for process in running:
            try:
                process.child.wait(max(0, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.child.kill()
                process.child.wait()
                print(f"{process.name}: killed, it did not stop",
                      file=sys.stderr)
        if kind is not None:
            print(f"{value}\noutputs are in {self.directory}",
                  file=sys.stderr)
        else:
            shutil.rmtree(self.directory)
        return False

    def path(self, name):
        return os.path.join(self.directory, name)

    def start(self, name, program, *arguments):
        """Starts a program of the build directory."""
        command = [os.path.join(self.build, program)]
        command += [str(argument) for argument in arguments]
        process = Process(self, name, command)
        self.processes.append(process)
        return process

    def start_standin(self, name, program, *arguments):
        """Starts a stand-in and waits until it listens; sets its port."""
        process = self.start(name, "test/standin/standin-" + program,
                             *arguments)
        process.port = int(process.wait_line("ready ").split()[1])
        return process


class Ports:
    """Free ports, held until they are released for their user.

    A held port is bound but does not listen, so that no other process of
    the run gets it meanwhile.
    """

    def __init__(self):
        self.held = {}

    def take(self):
        holder = socket.socket()
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(("127.0.0.1", 0))
        port = holder.getsockname()[1]
        self.held[port] = holder
        return port

    def release(self, *ports):
        for port in ports:
            self.held.pop(port).close()

    def close(self):
        self.release(*list(self.held))


class Platform:
    def __init__(self, run, *arguments):
        self.process = run.start_standin("platform", "platform", *arguments)
        self.port = self.process.port

    def put(self, name, value, **headers):
        answer = request(self.port, "PUT", "/objects/" + name, value, headers)
        if answer.status != 200:
            raise RunError(f"{name}: {answer.status} {answer.body}")
        return answer.json()

    def faults(self, **faults):
        request(self.port, "PUT", "/control/faults", faults)

    def counters(self):
        return request(self.port, "GET", "/control/counters").json()


class Backends:
    """Endpoints of one backend stand-in."""

    def __init__(self, run, name, count, *arguments):
        self.process = run.start_standin(name, "backend", "--count", count,
                                         *arguments)
        self.ports = [int(line.split()[2]) for line in self.process.lines()
                      if line.startswith("endpoint ")]

    def control(self, index, **change):
        answer = request(self.process.port, "PUT",
                         f"/control/endpoint/{index}", change)
        if answer.status != 200:
            raise RunError(f"control of endpoint {index}: {answer.status}")
        return answer.json()

    def control_all(self, **change):
        for index in range(len(self.ports)):
            self.control(index, **change)

    def stats(self):
        return request(self.process.port, "GET", "/control/stats").json()

    def journal(self):
        return request(self.process.port, "GET", "/control/journal").json()

    def addresses(self):
        return ",".join(f"127.0.0.1:{port}" for port in self.ports)


class Caller:
    """Callers; records() and summary() are read after the end."""

    def __init__(self, run, name, *arguments):
        self.log = run.path(name + ".log")
        self.process = run.start(name, "test/standin/standin-caller",
                                 "--name", name, "--output", self.log,
                                 *arguments)

    def finish(self, timeout=60):
        status = self.process.wait(timeout)
        if status != 0:
            raise RunError(f"{self.process.name} ended with {status}: "
                           f"{self.process.error_text()}")
        return json.loads(self.process.lines()[-1])

    def records(self):
        with open(self.log, encoding="utf-8") as file:
            return [json.loads(line) for line in file]


class FaultProxy:
    """Pairs of a port and a target, by the names given to it."""

    def __init__(self, run, targets, name="faultproxy"):
        self.names = list(targets)
        pairs = ",".join(f"0=127.0.0.1:{port}" for port in targets.values())
        self.process = run.start_standin(name, "faultproxy", "--pairs", pairs)
        self.ports = dict(zip(self.names, (
            int(line.split()[2]) for line in self.process.lines()
            if line.startswith("pair "))))

    def control(self, name, **change):
        which = "all" if name == "all" else self.names.index(name)
        answer = request(self.process.port, "PUT", f"/control/pair/{which}",
                         change)
        if answer.status != 200:
            raise RunError(f"control of pair {name}: {answer.status}")

    def report(self):
        report = request(self.process.port, "GET", "/control/pairs").json()
        return dict(zip(self.names, report))


def main(run_script):
    """Runs a script: NAME BUILD-DIRECTORY."""
    if len(sys.argv) != 2:
        print(f"usage: {os.path.basename(sys.argv[0])} BUILD-DIRECTORY",
              file=sys.stderr)
        sys.exit(2)
    sys.stdout.reconfigure(line_buffering=True)
    try:
        with Run(sys.argv[1]) as run:
            status = run_script(run)
    except (RunError, OSError) as error:
        print(f"failed: {error}")
        sys.exit(1)
    sys.exit(status or 0)
