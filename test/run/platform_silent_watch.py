"""The reader's open watch of the configuration goes silent, and so do its new
calls for all objects but the endpoints.  Five instances.

Guards against a change that is in force too late because the reader first waits
for the timeout of its watch, and then for that of the list that follows.
"""

import asyncio
import time

import platformrun

OTHERS = ("config", "evacuations", "peridotrouter-instances")
# After a fault of the store has ended, it excuses late changes for this time,
# which is longer than that in which a version must be in force.
EXCUSED_S = 3.0


async def script(site):
    reader = await site.current_reader()
    site.store.lost_watches.add("config")
    await site.store.wait_for_watch("config")
    # The pending watch is not cut off, unlike in cut_off().
    for kind in OTHERS:
        site.store.faults[reader.name, kind] = "silent"
    await site.configure(look=None)
    changed_at = time.monotonic()
    in_time = await site.all_return_status("/look/1", 404, EXCUSED_S)
    print("dropped route is gone in time:", in_time)
    if not in_time:
        is_gone = await site.all_return_status("/look/1", 404, 5)
        print(f"gone {time.monotonic() - changed_at:.1f} s after the "
              f"acknowledgement: {is_gone}")
    await asyncio.sleep(0.1)


platformrun.main(script, instances=5)
