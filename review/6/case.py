"""RECOVER: unreadable entries of another writer fill the memory of each balancer when it starts."""

import asyncio
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins-2"))

import deployment  # noqa: E402

ADDRESS, PORT = "127.18.0.1", 8443
# TROUBLE=0 plays the case without the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENTRIES, ENTRY_BYTES, ENTRY_GAP = int(os.environ.get("ENTRIES", "140")), 1_000_000, 0.07
FIRST_ENTRY_AT, QUIET_SECONDS = 4.0, 3.0
RECOVER_SECONDS, JUDGED_SECONDS = 12.0, 20.0


async def play(site) -> bool:
    site.configure([deployment.route_entry("r-orders", ADDRESS, PORT, "register", "safe")], ["register"])
    for number in range(6):
        site.targets.append(deployment.Target(site, number, "register", site.zones[number % 3], random.getrandbits(32) | 1 << 31))
    site.consumers = [deployment.Consumer(site, number, site.zones[number % 3]) for number in range(12)]
    await site.start()
    site.tasks += [asyncio.ensure_future(node.limit_memory()) for node in site.balancers]
    results: list[tuple[float, bool]] = []
    site.tasks += [asyncio.ensure_future(deployment.use_with_tries(site, consumer, (ADDRESS, PORT), results)) for consumer in site.consumers]
    await asyncio.sleep(max(FIRST_ENTRY_AT - site.now(), 0))
    for _ in range(ENTRIES):
        if site.has_trouble:
            site.store.put(f"servers/i-{random.getrandbits(32):08x}", random.randbytes(ENTRY_BYTES))
        await asyncio.sleep(ENTRY_GAP)
    site.note(f"another writer has written {ENTRIES if site.has_trouble else 0} entries of {ENTRY_BYTES} bytes that can't be read")
    await asyncio.sleep(QUIET_SECONDS)
    site.note(f"memory: {[round(node.peak_megabytes()) for node in site.balancers]} MB")
    killed_at = site.now()
    back_at = await deployment.kill_all(site)
    judged_from = back_at + RECOVER_SECONDS
    await asyncio.sleep(RECOVER_SECONDS + JUDGED_SECONDS)
    judged_to = site.now() - deployment.REQUEST_LIMIT - 1.5
    await site.close()
    before = deployment.served_share(results, 0, killed_at - deployment.REQUEST_LIMIT)
    after = deployment.served_share(results, judged_from, judged_to)
    site.note(f"served before the kill: {before[0]:.3f} of {before[1]}; sent later than {RECOVER_SECONDS} s after: {after[0]:.3f} of {after[1]}")
    site.note(f"kills for memory: {({node.name: node.memory_kills for node in site.balancers})}")
    if before[0] >= 0.25 and after[1] and after[0] < 0.25:
        site.break_rule("RECOVER", f"{after[0]:.3f} of {after[1]} requests were served later than {RECOVER_SECONDS} s after the machines were back")
    return "RECOVER" in site.broken


sys.exit(deployment.main(__file__, play, HAS_TROUBLE, ("started", "listing_applied", "source_lost", "changes_too_large")))
