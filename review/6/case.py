import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "kit-2"))
from kit import *  # noqa: E402,F403

CONFIG = config_of(
    [("keyed", "/k/", "idempotent", "1000ms", "250ms", "calendar", 2)],
    [("calendar", True)])
ZONES = [("muscat-a", "muscat"), ("sohar-a", "sohar"), ("sur-a", "sur"),
         ("muscat-b", "muscat"), ("sohar-b", "sohar"), ("sur-b", "sur")]
# srv_grey (shed all): scale-1 of the site has x = 0.55 for 8.5 s.
GREY_SHARE = 0.55
GREY_S = 8.5


async def consumers(fleet, stop):
    """About 240 requests a second, at all machines, over all keys."""
    n = 0
    tasks = set()
    while not stop.is_set():
        for _ in range(24):
            m = fleet.machines[n % len(fleet.machines)]
            t = asyncio.ensure_future(request(fleet.record, m, "GET", "/k/x",
                                              key=n * 4099 % 65536,
                                              time_limit_ms=1000))
            tasks.add(t)
            t.add_done_callback(tasks.discard)
            n += 1
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)


async def main(fleet, trouble):
    fleet.put_config(CONFIG)
    for zone, region in ZONES:
        fleet.add(zone, region, "calendar").start()
    for m in fleet.machines:
        await GreyUpstream(fleet, m, work_s=0.067).start()
        await asyncio.sleep(0.25)  # machines don't start at the same moment
    check = OwnerCheck(fleet)
    await until(30, "all keys held", lambda: len(set().union(
        *(u.held_shards() for u in fleet.upstreams))) == 4096)
    stop = asyncio.Event()
    load = asyncio.ensure_future(consumers(fleet, stop))
    await asyncio.sleep(5)
    if trouble:
        fleet.record.add("all upstreams turn grey")
        for u in fleet.upstreams:
            u.set_grey(GREY_SHARE)
    await asyncio.sleep(GREY_S)
    if trouble:
        for u in fleet.upstreams:
            u.set_grey(0)
        fleet.record.add("all upstreams are well again")
    await asyncio.sleep(6)
    stop.set()
    await load
    worst = check.report()
    for m in fleet.machines:
        for line in m.log_text().splitlines():
            if "event=target_gone" in line:
                fleet.record.add("log: " + line)
    return BROKEN if worst > 0.5 else HELD


run_script(HERE, main)
