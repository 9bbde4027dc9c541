"""RECOVER: a key that needs URL encoding at the end of a page keeps restarted balancers in their listing for ever."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins"))
import fleet  # noqa: E402


async def scenario(site):
    await site.add_deployment(fleet.RBG_BALANCEO)
    await site.add_consumers(2)
    for consumer in site.consumers:
        site.start_load(site.long_flow(consumer, site.routes[0], 0.3))
        site.start_load(site.flow_each(consumer, site.routes[1], 0.2))
    await asyncio.sleep(6)
    if site.trouble:
        # Two entries of another writer, bytes that can't be read. A page of the store's listing holds at most 1 MB, so the
        # first page ends with the first one.
        for key in ("servers/dock-1&2", "servers/dock-3&4"):
            site.store.write(key, bytes(range(256)) * 2400)
    await asyncio.sleep(2)
    fault_at = time.monotonic()
    if site.trouble:
        for balancer in site.balancers:
            balancer.kill()
    await asyncio.sleep(1)
    back_at = time.monotonic()
    await asyncio.sleep(fleet.RECOVER_SECONDS + 10)
    site.check_recovery(fault_at, back_at, time.monotonic() - 4)


sys.exit(fleet.main(pathlib.Path(__file__).resolve().parent, scenario, "RECOVER"))
