"""Entry point of the scripted runs of platform/peridotrouter."""

import os
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "platform"))

import platform_site  # noqa: E402


def main(script, **options):
    """Runs the script on a simulated site and prints the faults found, with
    the last lines of the instances' logs."""
    program = os.path.join(sys.argv[1], "platform", "peridotrouter")
    with tempfile.TemporaryDirectory() as folder:
        folder = os.environ.get("RUN_LOGS") or folder
        site = platform_site.run(program, folder, script, **options)
        print("faults:", len(site.faults))
        for fault in site.faults[:20]:
            print(" ", fault)
        if site.faults:
            for instance in site.instances:
                with open(instance.log_path, encoding="utf-8",
                          errors="replace") as log:
                    sys.stderr.write(f"== {instance.name}\n")
                    sys.stderr.writelines(log.readlines()[-40:])
