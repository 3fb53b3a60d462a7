"""A machine is restarted just after a server has left without a notice; a later page of its first listing is older."""

import asyncio
import os
import signal
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "standins-3"))
import rig  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE, OTHER = "registry-app", "appraisal-model"
ZONES = {"port-of-spain": "north-trinidad", "arima": "north-trinidad"}
PAGE_ITEMS = 50
STALE_S = 3.0
STABLE_S, DRAIN_S = 6.0, 4.0
# Time for which the server that leaves goes on serving.
LINGER_S = 18.0
GRACE_S = 8.0


async def play(record, folder, gateways):
    store = rig.Store(record)
    store.page_items = PAGE_ITEMS
    if TROUBLE:
        # Each read is answered by another copy of the store, some of which are seconds old.
        store.staleness_s = lambda query: STALE_S if "after" in query else 0.0
    await store.start()
    routes = [
        rig.route("lookup", "/lookup/", "idempotent", SERVICE),
        rig.route("certify", "/certify/", "non_idempotent", SERVICE),
    ]
    store.put("op/config", rig.config(7, routes, [rig.service(SERVICE), rig.service(OTHER)]))
    zones = list(ZONES)
    others = [rig.Server(store, record, f"i-a{n:02}", OTHER, zones[n % 2]) for n in range(PAGE_ITEMS)]
    servers = [rig.Server(store, record, f"i-b{n}", SERVICE, zones[n % 2], slots=6, work_ms=60) for n in range(3)]
    for server in others + servers:
        await server.start()
    for n in range(3):
        gateways.append(rig.Gateway(store, record, f"edge-{n + 1}", zones[n % 2], ZONES, folder))
        gateways[-1].start()
    for gateway in gateways:
        if not await gateway.ready():
            return None
    traffic = rig.Traffic(record, gateways, per_s=60)
    await asyncio.sleep(STABLE_S + 1)

    # One machine is stopped in order; while it is down a server leaves.
    restarted = gateways[1]
    restarted.kill(signal.SIGTERM)
    end = time.monotonic() + GRACE_S
    while restarted.process.poll() is None and time.monotonic() < end:
        await asyncio.sleep(0.05)
    leaving = max(servers, key=lambda server: len(server.runs))
    leaving.leave_without_notice()
    left_at = time.monotonic()
    record.line(f"server {leaving.ident} leaves; the store has confirmed that it is gone")
    await asyncio.sleep(0.3)
    restarted.start()
    if not await restarted.ready():
        return None
    in_touch_at = time.monotonic() + STABLE_S
    await asyncio.sleep(max(0.0, left_at + LINGER_S - time.monotonic()))
    record.line(f"server {leaving.ident} exits")
    await leaving.stop()
    await asyncio.sleep(1)
    await traffic.end()

    senders = {attempt: (sent_at, gateway) for sent_at, attempt, _, gateway in traffic.answers}
    late = [
        (at - left_at, attempt, senders[attempt][1])
        for at, attempt in leaving.runs
        if at > left_at + DRAIN_S
        and attempt in senders
        and (senders[attempt][1] != restarted.name or senders[attempt][0] > in_touch_at)
    ]
    for after_s, attempt, gateway in late:
        record.line(f"{attempt} reached {leaving.ident} by {gateway} {after_s:.1f} s after it was gone")
    record.line(f"{len(late)} requests reached {leaving.ident} later than {DRAIN_S} s after the store had confirmed that it is gone")
    failed = [answer for answer in traffic.sent_between(left_at + DRAIN_S, time.monotonic()) if answer[2] not in (200, 429, 503)]
    record.line(f"failed since then: {[(attempt, status, gateway) for _, attempt, status, gateway in failed]}")
    return not late


rig.main(CASE, play)
