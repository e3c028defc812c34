"""Starts the processes of scripted runs and always ends them again.

A run uses loopback addresses and its own directory below the build directory.
Every wait names its condition and has a timeout; no run sleeps for a fixed
time and assumes that something has happened meanwhile.
"""

import errno
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

WAIT_TIMEOUT_S = 10
STOP_TIMEOUT_S = 15
POLL_INTERVAL_S = 0.01
# Limit of the stderr that is printed for a failed process, large enough for a
# sanitizer report.
MAX_REPORT_BYTES = 20000
# The kernel kills the process when the run itself is killed.
PDEATHSIG_COMMAND = ["setpriv", "--pdeathsig", "KILL", "--"]


class RunError(Exception):
    """A condition did not become true in time, or a process failed."""


def wait_for(what, condition, timeout=WAIT_TIMEOUT_S):
    """Polls condition() until its value is true; returns that value."""
    deadline = time.monotonic() + timeout
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise RunError(f"not within {timeout} s: {what}")
        time.sleep(POLL_INTERVAL_S)


def open_when_read(path):
    """Opens a FIFO for writing as soon as a process has opened it to read;
    returns the file."""
    def open_it():
        try:
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError as error:
            if error.errno != errno.ENXIO:  # nobody reads
                raise
            return None
    return os.fdopen(wait_for(f"{path} is read", open_it), "w",
                     encoding="utf-8")


class Response:
    """Status, headers (names in lower case) and body of a response."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = {name.lower(): value for name, value in headers}
        self.body = body

    def json(self):
        return json.loads(self.body)


def request(port, method, path, body=None, headers=None,
            timeout=WAIT_TIMEOUT_S):
    """Sends one request to a loopback port over a new connection."""
    if isinstance(body, (dict, list)):
        body = json.dumps(body)
    connection = http.client.HTTPConnection("127.0.0.1", port,
                                            timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return Response(response.status, response.getheaders(),
                        response.read())
    finally:
        connection.close()


class Process:
    """A process of the run; its stdout and stderr go to files of the run."""

    def __init__(self, run, name, command):
        self.name = name
        self.output_path = os.path.join(run.directory, name + ".out")
        self.errors_path = os.path.join(run.directory, name + ".err")
        with open(self.output_path, "wb") as out, \
                open(self.errors_path, "wb") as err:
            self.child = subprocess.Popen(PDEATHSIG_COMMAND + command,
                                          stdin=subprocess.DEVNULL,
                                          stdout=out, stderr=err)

    def lines(self):
        with open(self.output_path, encoding="utf-8") as file:
            return file.read().splitlines()

    def error_text(self):
        with open(self.errors_path, encoding="utf-8",
                  errors="replace") as file:
            return file.read()

    def wait_for_line(self, start, timeout=WAIT_TIMEOUT_S):
        """Waits for an output line that begins with start; returns it."""
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

    def wait(self, timeout=WAIT_TIMEOUT_S):
        """Waits for the process to end; returns its exit status."""
        try:
            return self.child.wait(timeout)
        except subprocess.TimeoutExpired:
            raise RunError(f"{self.name} did not end within {timeout} s") \
                from None

    def signal(self, number):
        """Sends a signal unless the process has ended."""
        if self.child.poll() is None:
            self.child.send_signal(number)

    def terminate(self):
        self.signal(signal.SIGTERM)

    def stop(self, timeout=STOP_TIMEOUT_S):
        """Shuts the process down gracefully; returns its exit status."""
        self.terminate()
        status = self.wait(timeout)
        if status != 0:
            print(f"{self.name} ended with {status}:\n"
                  f"{self.error_text()[-MAX_REPORT_BYTES:]}", file=sys.stderr)
        return status


class Run:
    """Context manager of one scripted run; ends its processes on exit."""

    def __init__(self, build, parent=None):
        self.build = os.path.abspath(build)
        self.parent = parent or self.build
        self.processes = []
        self.directory = None

    def __enter__(self):
        # SIGTERM from ctest becomes an exception, so that __exit__() runs.
        signal.signal(signal.SIGTERM, self._raise_on_sigterm)
        self.directory = tempfile.mkdtemp(prefix="run-", dir=self.parent)
        return self

    @staticmethod
    def _raise_on_sigterm(number, frame):
        raise RunError(f"signal {number}")

    def __exit__(self, kind, value, trace):
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        running = [p for p in self.processes if p.child.poll() is None]
        for process in running:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in running:
            try:
                process.child.wait(max(0, deadline - time.monotonic()))
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
        """Starts a test double, waits until it listens and sets its port."""
        process = self.start(name, "test/standin/standin-" + program,
                             *arguments)
        process.port = int(process.wait_for_line("ready ").split()[1])
        return process


class Ports:
    """Reserves free ports until the processes that will use them start.

    A reserved port is bound but does not listen, so that no other process of
    the run gets it meanwhile.
    """

    def __init__(self):
        self.reserved = {}

    def reserve(self):
        # Returns a free port, reserved until release().
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
        self.reserved[port] = sock
        return port

    def release(self, *ports):
        for port in ports:
            self.reserved.pop(port).close()

    def close(self):
        self.release(*list(self.reserved))


# The test double of the platform: object store and list of instances.
class Platform:
    def __init__(self, run, *arguments):
        self.process = run.start_standin("platform", "platform", *arguments)
        self.port = self.process.port

    def put(self, name, value, **headers):
        response = request(self.port, "PUT", "/objects/" + name, value,
                           headers)
        if response.status != 200:
            raise RunError(f"{name}: {response.status} {response.body}")
        return response.json()

    def faults(self, **faults):
        request(self.port, "PUT", "/control/faults", faults)

    def counters(self):
        return request(self.port, "GET", "/control/counters").json()


class Backends:
    """The endpoints of one standin-backend process."""

    def __init__(self, run, name, count, *arguments):
        self.process = run.start_standin(name, "backend", "--count", count,
                                         *arguments)
        self.ports = [int(line.split()[2]) for line in self.process.lines()
                      if line.startswith("endpoint ")]

    def control(self, index, **change):
        # Changes the state of an endpoint; returns its statistics.
        response = request(self.process.port, "PUT",
                           f"/control/endpoint/{index}", change)
        if response.status != 200:
            raise RunError(f"control of endpoint {index}: {response.status}")
        return response.json()

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
    """A load generator.  finish() waits for its end and returns its summary;
    records() then returns one record for each request."""

    def __init__(self, run, name, *arguments):
        self.log_path = run.path(name + ".log")
        self.process = run.start(name, "test/standin/standin-caller",
                                 "--name", name, "--output", self.log_path,
                                 *arguments)

    def finish(self, timeout=60):
        status = self.process.wait(timeout)
        if status != 0:
            raise RunError(f"{self.process.name} ended with {status}: "
                           f"{self.process.error_text()}")
        return json.loads(self.process.lines()[-1])

    def records(self):
        with open(self.log_path, encoding="utf-8") as file:
            return [json.loads(line) for line in file]


class FaultProxy:
    """A proxy that injects faults.  It forwards the connections to a port of
    its own to a target port, for each named pair of such ports."""

    def __init__(self, run, targets, name="faultproxy"):
        self.names = list(targets)
        pairs = ",".join(f"0=127.0.0.1:{port}" for port in targets.values())
        self.process = run.start_standin(name, "faultproxy", "--pairs", pairs)
        self.ports = dict(zip(self.names, (
            int(line.split()[2]) for line in self.process.lines()
            if line.startswith("pair "))))

    def control(self, name, **change):
        which = "all" if name == "all" else self.names.index(name)
        response = request(self.process.port, "PUT", f"/control/pair/{which}",
                           change)
        if response.status != 200:
            raise RunError(f"control of pair {name}: {response.status}")

    def report(self):
        report = request(self.process.port, "GET", "/control/pairs").json()
        return dict(zip(self.names, report))


def main(script):
    """Calls script(run) and exits with the status that it returns, 0 for None.
    The command line has the build directory as its only argument."""
    if len(sys.argv) != 2:
        print(f"usage: {os.path.basename(sys.argv[0])} BUILD-DIRECTORY",
              file=sys.stderr)
        sys.exit(2)
    sys.stdout.reconfigure(line_buffering=True)
    try:
        with Run(sys.argv[1]) as run:
            status = script(run)
    except (RunError, OSError) as error:
        print(f"failed: {error}")
        sys.exit(1)
    sys.exit(status or 0)
