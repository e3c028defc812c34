"""Shared by the scripts of the second review: a small deployment of the
users' platform on loopback, with the stand-ins of test/platform, and the
record of what was sent, answered and run."""

import asyncio
import os
import signal
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "test", "platform"))
sys.dont_write_bytecode = True

import platform_site  # noqa: E402

PROGRAM = os.path.join(ROOT, "target", "platform", "peridotrouter")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Longest time of a script, below the 120 s that it is allowed.
LIMIT_S = 110


class Instance(platform_site.Instance):
    """An instance that is started as the deploy file says: the settings are
    named by the environment, not by an argument."""

    async def start(self):
        self.write_settings()
        self.stopping = False
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.site.program, "--metrics-port", "9600",
                stdout=log, stderr=log, cwd=ROOT,
                env={"PATH": os.environ.get("PATH", ""),
                     "PERIDOTROUTER_SETTINGS": self.path})


class Record:
    """What was sent, answered and run, in record.txt of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")
        self.began = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f}  {text}\n")
        self.file.flush()


async def play(script, folder, **options):
    record = Record(folder)
    record.write("with the disruption" if TROUBLE
                 else "without the disruption")
    with tempfile.TemporaryDirectory() as scratch:
        site = platform_site.Site(PROGRAM, scratch)
        try:
            await asyncio.wait_for(site.start(**options), 20)
            await site.wait_until_ready(10.0)
            if site.faults:
                record.write(f"cannot run: {site.faults}")
                return NOT_RUN
            broken = await asyncio.wait_for(script(site, record), LIMIT_S)
        finally:
            await site.stop()
    for fault in site.faults:
        record.write(f"seen besides: {fault}")
    record.write("the rule was broken" if broken else "the rule held")
    return BROKEN if broken else HELD


def main(script, folder, **options):
    """Plays script(site, record), which returns whether the rule was broken,
    and exits with the result."""
    platform_site.Instance = Instance
    try:
        result = asyncio.run(play(script, folder, **options))
    except Exception:  # pylint: disable=broad-except
        traceback.print_exc()
        result = NOT_RUN
    sys.exit(result)


def log_lines(instance, text):
    """Returns the lines of an instance's log that contain the text."""
    with open(instance.log_path, encoding="utf-8", errors="replace") as log:
        return [line.rstrip("\n") for line in log if text in line]


__all__ = ["main", "log_lines", "TROUBLE", "platform_site", "signal"]
