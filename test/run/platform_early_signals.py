"""SIGHUP and SIGTERM arrive while an instance reads its settings for the first
time, which a FIFO in place of the file delays.

Guards against an instance that a signal during its start ends, instead of being
handled when the instance runs.
"""

import os
import signal

import harness
import platformrun


async def start_with_signal(instance, number):
    """Starts an instance that gets the signal before it has its settings."""
    await instance.end()
    with open(instance.path, encoding="utf-8") as file:
        settings = file.read()
    os.remove(instance.path)
    os.mkfifo(instance.path)
    await instance.start_process()
    with harness.open_when_read(instance.path) as fifo:
        # Later reads get a regular file.
        os.remove(instance.path)
        instance.write_settings()
        instance.signal_process(number)
        fifo.write(settings)


async def script(site):
    instance = site.instances[0]
    await start_with_signal(instance, signal.SIGHUP)
    await site.wait_until_ready()
    print("ready after SIGHUP:", instance.process.returncode is None)
    await start_with_signal(instance, signal.SIGTERM)
    instance.stopping = True
    print("status after SIGTERM:", await instance.process.wait())
    await instance.start()
    await site.wait_until_ready()


platformrun.main(script, instances=2)
