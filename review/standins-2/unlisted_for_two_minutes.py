"""No case, as it takes 135 s: all balancers that carry a flow of a target end by themselves two minutes after its entry has lapsed.

The target lives and serves its flows, but its reports don't reach the store any more. Prints the ends of processes; exits with 1 if
there were any, 0 if not, 2 if it couldn't run. Writes the record into a temporary folder.
"""

import asyncio
import os
import pathlib
import random
import sys
import tempfile

import deployment

ADDRESS, PORT = "127.18.0.1", 8443
END_AT = 132.0


async def use(site, consumer) -> None:
    flow = await consumer.open((ADDRESS, PORT))
    while flow and site.now() < END_AT:
        if await consumer.request(flow) != "served" or await consumer.wait(flow, 0.5) != "open":
            return


async def play(site) -> bool:
    site.configure([deployment.route_entry("r-orders", ADDRESS, PORT, "register")], ["register"])
    for number in range(6):
        site.targets.append(deployment.Target(site, number, "register", site.zones[number % 3], random.getrandbits(32) | 1 << 31))
    site.consumers = [deployment.Consumer(site, number, site.zones[number % 3]) for number in range(12)]
    await site.start()
    users = [asyncio.ensure_future(use(site, consumer)) for consumer in site.consumers]
    await asyncio.sleep(1)
    if site.has_trouble:
        victim = max(site.targets, key=lambda target: len(target.flows))
        beat = site.store.beat
        site.store.beat = lambda key, entry: site.now() if key == victim.key else beat(key, entry)
        site.store.put(victim.key, None)
        site.note(f"the entry of {victim.name} has lapsed; flows there: {len(victim.flows)}")
    await asyncio.gather(*users)
    await asyncio.sleep(1)
    await site.close()
    print("\n".join(line for line in site.lines if "ended by itself" in line or "lapsed" in line))
    return site.own_ends > 0


folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
sys.exit(deployment.main(str(folder / "record.txt"), play, os.environ.get("TROUBLE", "1") != "0", ("upstream_unlisted", "flows_given_up")))
