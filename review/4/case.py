"""FLOW: a balancer that starts from another one's listing takes an entry of an unknown service for the new holder of a
living target's address, and resets the target's flows."""

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
        for _ in range(4):
            site.start_load(site.long_flow(consumer, site.routes[0], 0.3))
        site.start_load(site.flow_each(consumer, site.routes[1], 0.2))
    await asyncio.sleep(5)
    # The machine of gt-central-c is not among the three seeds.
    balancer = site.balancers[3]
    target = max((target for target in site.targets if target.service == "intake" and target.zone == "gt-central-c"),
                 key=lambda target: len(target.flows))
    if site.trouble:
        # Another writer's entry, whose service the configuration doesn't name. It names no target to use.
        site.store.write(f"servers/i-{site.random.getrandbits(40):x}", {
            "service": "stocktaking", "addr": f"{target.host}:{site.target_port}", "zone": target.zone, "version": "v1",
            "slots": 2, "state": "ready", "warmup_left_ms": 0, "seq": 1, "born": int(time.time() * 1000)})
    await asyncio.sleep(2)
    # A change of the configuration, as operators make all day.
    site.configure()
    await asyncio.sleep(2)
    if site.trouble:
        balancer.terminate()
    await asyncio.sleep(12)


sys.exit(fleet.main(pathlib.Path(__file__).resolve().parent, scenario, "FLOW"))
