"""The settings file of a running instance is changed, with a signal and
without, and is replaced by a malformed one.

Guards against a change that is not read, against a lower limit of probes that
is read but not applied, and against an instance that does not
keep its settings, or does not log why, when the file is malformed.
"""

import asyncio
import json
import random
import signal
import time

import platformrun


def read_log(instance):
    with open(instance.log_path, encoding="utf-8") as log:
        return log.read()


async def script(site):
    instance = site.instances[0]
    with open(instance.path, encoding="utf-8") as file:
        settings = json.load(file)
    settings["bounds"]["retry-budget-slack"] = 10
    settings["bounds"]["probes-per-s"] = 0.001
    with open(instance.path, "w", encoding="utf-8") as file:
        json.dump(settings, file)
    await asyncio.sleep(1.6)
    print("changed without a signal, read again:",
          read_log(instance).count("settings read again"))
    instance.signal_process(signal.SIGHUP)
    await asyncio.sleep(0.3)
    print("signal, read again:", read_log(instance).count(
        "settings read again"))
    # The callers' requests need some 200 probes a second, of which the tokens
    # saved before the change allow none.
    await site.simulate_caller(instance.zone, 40, time.monotonic() + 1,
                               random.Random(1))
    withheld = (await instance.metrics())["peridot_probes_withheld_total"]
    print("fewer probes are allowed:", withheld > 0)
    with open(instance.path, "w", encoding="utf-8") as file:
        file.write("{ broken")
    instance.signal_process(signal.SIGHUP)
    await asyncio.sleep(0.3)
    print("broken file is named:", "not a readable JSON object"
          in read_log(instance))
    print("still ready:", (await instance.get(8140, "/ready"))[0] == 200)


platformrun.main(script, instances=2)
