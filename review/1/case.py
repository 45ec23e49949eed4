"""Open flows are reset when a configuration moves their routes and no longer lists the old service.

Traffic is moved from an old system to a new one: first all flows go to the old service, then half of
the new ones to each, then all new ones to the new service, and the old service is no longer listed.
The routes stay, and the old targets keep running and hold their open flows.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig"))
import rig

FEED = ("198.18.0.1", 443)
SUBMIT = ("198.18.0.1", 8443)
OLD, NEW = "panel-old", "panel-new"
FLOWS = 20
KEEP_LISTED = os.environ.get("KEEP_LISTED") == "1"


def config(version, weights, services):
    """A configuration with the weight of each service; one service alone is named without weights."""
    routes = [rig.route(FEED[0], FEED[1], "safe", None, 2500, 150, 2),
              rig.route(SUBMIT[0], SUBMIT[1], "unsafe", None, 3000, 200, 1)]
    for route in routes:
        del route["service"]
        if len(weights) == 1:
            route["service"] = next(iter(weights))
        else:
            route["backends"] = [{"service": name, "weight": weight} for name, weight in weights.items()]
    return rig.config(version, routes, services)


async def session(flow, method, work_ms, stop):
    """A client that keeps a flow open for many requests, with pauses between them."""
    if not await flow.connect():
        return
    number = 0
    while not stop.is_set() and flow.state == "open":
        number += 1
        await flow.request("%s-%d" % (flow.name, number), work_ms, 2.5, method)
        await asyncio.sleep(0.25)
    flow.close()


async def case(site, has_trouble):
    for zone in ("zrh-a", "zrh-a", "zrh-b", "zrh-c"):
        site.add_edge(zone)
    for zone, count in (("zrh-a", 2), ("zrh-b", 2), ("zrh-c", 1)):
        for _ in range(count):
            site.add_side(zone, OLD)
            site.add_side(zone, NEW)
    site.put_config(config(7, {OLD: 1}, [NEW, OLD]))
    await site.start()
    hosts = [await site.add_client_host(zone) for zone in ("zrh-a", "zrh-b", "zrh-c")]
    stop = asyncio.Event()
    sessions = []

    def open_sessions(phase):
        for number in range(FLOWS):
            host = hosts[number % 3]
            feed, submit = "feed-%s-%d" % (phase, number), "submit-%s-%d" % (phase, number)
            sessions.append(session(host.open(FEED, feed), "GET", 20, stop))
            sessions.append(session(host.open(SUBMIT, submit), "POST", 40, stop))
        sessions[:] = [asyncio.ensure_future(one) for one in sessions]

    open_sessions("before")
    await asyncio.sleep(3.0)
    site.put_config(config(9, {OLD: 50, NEW: 50}, [NEW, OLD]))
    await asyncio.sleep(4.0)
    open_sessions("half")
    await asyncio.sleep(3.0)
    if has_trouble:
        site.put_config(config(11, {NEW: 1}, [NEW, OLD] if KEEP_LISTED else [NEW]))
    await asyncio.sleep(5.0)
    stop.set()
    await asyncio.wait(sessions, timeout=5)


rig.main(case, "FLOW")
