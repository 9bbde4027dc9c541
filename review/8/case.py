"""DRAIN: a consumer that uses its port again stays at a target that drains."""

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
DRAIN_AT, LINGER, END_AT = 8.0, 6.0, 22.0
OWN_PORT = 35000


async def use(site, consumer, keeps_port: bool, results: list) -> None:
    """A device that opens a flow for each report. One kind of devices has a fixed port, the other takes a new one each time."""
    while site.now() < END_AT:
        flow = await consumer.open((ADDRESS, PORT), OWN_PORT if keeps_port else None)
        if not flow:
            # Each further try uses a new flow from a new port.
            results.append("not opened")
            flow = await consumer.open((ADDRESS, PORT))
        if flow:
            # The target closes first, so that the consumer's end of the flow leaves no TIME-WAIT state and its port is free.
            results.append(await consumer.request(flow, is_last=True))
            if results[-1] == "served":
                closed = await consumer.wait(flow, 2.0)
                if closed != "closed":
                    results.append(f"not closed: {closed}")
        await asyncio.sleep(random.uniform(0.02, 0.1))


async def play(site) -> bool:
    site.configure([deployment.route_entry("r-orders", ADDRESS, PORT, "register")], ["register"])
    for number in range(9):
        site.targets.append(deployment.Target(site, number, "register", site.zones[number % 3], random.getrandbits(32) | 1 << 31))
    site.consumers = [deployment.Consumer(site, number, site.zones[number % 3]) for number in range(36)]
    site.work = (0.05, 0.3)
    late = {"fixed port": 0, "new port": 0}

    def judge(target, packet, node) -> None:
        # All balancers and the store run without any disruption. The opening packet arrives within a millisecond.
        if target.acknowledged_drain is None:
            return
        elapsed = site.now() - target.acknowledged_drain
        if elapsed > deployment.DRAIN_MS / 1000 + 0.05:
            late["fixed port" if packet.sport == OWN_PORT else "new port"] += 1
            site.break_rule("DRAIN", f"open of {packet.src}:{packet.sport} reached {target.name} through {node} {elapsed:.2f} s after "
                                     "the store acknowledged that it drains")

    site.on_open_taken = judge
    await site.start()
    results: list[str] = []
    users = [asyncio.ensure_future(use(site, consumer, number % 4 != 0, results)) for number, consumer in enumerate(site.consumers)]
    await asyncio.sleep(max(DRAIN_AT - site.now(), 0))
    if site.has_trouble:
        # A planned removal of the target that has most consumers.
        used = [request["runs"][-1] for request in site.requests.values() if request["runs"] and request["from"].endswith(f":{OWN_PORT}")]
        victim = next(target for target in site.targets if target.name == max(set(used[-30:]), key=used[-30:].count))
        site.note(f"{victim.name} drains, acknowledged at {victim.drain():.3f}")
        await asyncio.sleep(deployment.DRAIN_MS / 1000 + LINGER)
        victim.leave()
        site.note(f"{victim.name} has left")
    await asyncio.gather(*users)
    await site.close()
    lost = [identity for identity, request in site.requests.items() if request["runs"] and request["answer"] != "served"]
    site.note(f"results: {({result: results.count(result) for result in sorted(set(results))})}")
    site.note(f"late opens: {late}; requests that ran without an answer to the consumer: {lost}")
    return "DRAIN" in site.broken


sys.exit(deployment.main(__file__, play, HAS_TROUBLE, ("upstream_applied", "upstream_unlisted", "upstream_lost", "flows_given_up")))
