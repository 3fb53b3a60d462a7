"""Two of four machines are restarted in order, in turn; just before one is back a server leaves without a notice."""

import asyncio
import os
import signal
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "standins-3"))
import rig  # noqa: E402

# 1: restarts, all reads of the store are current; 0: no restart, the same servers leave; stale: one restart, a later page
# of a stale listing is older than the first.
TROUBLE = os.environ.get("TROUBLE", "1")
SERVICE, OTHER = "registry-app", "appraisal-model"
ZONES = {"port-of-spain": "north-trinidad", "arima": "north-trinidad"}
PAGE_ITEMS = 50
STALE_S = 3.0
STABLE_S, DRAIN_S, GRACE_S = 6.0, 4.0, 8.0
ROUNDS = 5
# Servers of the service, of which one leaves in each round.
SERVERS = 20
PAUSE_S = 5.5
# Time for which a server that has left goes on serving.
LINGER_S = 16.0


async def play(record, folder, gateways):
    store = rig.Store(record)
    store.page_items = PAGE_ITEMS
    if TROUBLE == "stale":
        store.staleness_s = lambda query: STALE_S if "after" in query else 0.0
    await store.start()
    routes = [
        rig.route("lookup", "/lookup/", "idempotent", SERVICE),
        rig.route("certify", "/certify/", "non_idempotent", SERVICE),
    ]
    store.put("op/config", rig.config(7, routes, [rig.service(SERVICE), rig.service(OTHER)]))
    zones = list(ZONES)
    others = [rig.Server(store, record, f"i-a{n:02}", OTHER, zones[n % 2]) for n in range(PAGE_ITEMS)]
    servers = [rig.Server(store, record, f"i-b{n:02}", SERVICE, zones[n % 2], slots=6, work_ms=60) for n in range(SERVERS)]
    for server in others + servers:
        await server.start()
    for n in range(4):
        gateways.append(rig.Gateway(store, record, f"edge-{n + 1}", zones[n % 2], ZONES, folder))
        gateways[-1].start()
    for gateway in gateways:
        if not await gateway.ready():
            return None
    traffic = rig.Traffic(record, gateways, per_s=80)
    # Times between which each gateway is in touch.
    touch = {gateway.name: [[time.monotonic() + STABLE_S, float("inf")]] for gateway in gateways}
    left, background = {}, []

    async def exit_later(server):
        await asyncio.sleep(LINGER_S)
        record.line(f"server {server.ident} exits")
        await server.stop()

    await asyncio.sleep(STABLE_S + 1)
    for number in range(1 if TROUBLE == "stale" else ROUNDS):
        restarted = gateways[(number + 1) % 2]
        if TROUBLE != "0":
            touch[restarted.name][-1][1] = time.monotonic()
            restarted.kill(signal.SIGTERM)
            end = time.monotonic() + GRACE_S
            while restarted.process.poll() is None and time.monotonic() < end:
                await asyncio.sleep(0.02)
            restarted.end()
        leaving = max((server for server in servers if server.ident not in left), key=lambda server: len(server.runs))
        leaving.leave_without_notice()
        left[leaving.ident] = time.monotonic()
        record.line(f"server {leaving.ident} leaves; the store has confirmed that it is gone")
        background.append(asyncio.create_task(exit_later(leaving)))
        if TROUBLE == "stale":
            await asyncio.sleep(0.1)
        if TROUBLE != "0":
            restarted.start()
            if not await restarted.ready():
                return None
            touch[restarted.name].append([time.monotonic() + STABLE_S, float("inf")])
        await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(10)
    await traffic.end()

    senders = {attempt: (sent_at, status, gateway) for sent_at, attempt, status, gateway in traffic.answers}
    late = []
    for server in servers:
        for at, attempt in server.runs:
            sent_at, status, gateway = senders.get(attempt, (0.0, None, ""))
            after_s = sent_at - left.get(server.ident, float("inf"))
            is_in_touch = any(begin <= sent_at and at <= end for begin, end in touch.get(gateway, []))
            if after_s > DRAIN_S and is_in_touch:
                late.append((server.ident, gateway))
                record.line(f"{attempt} reached {server.ident} by {gateway}, sent {after_s:.1f} s after it was gone")
    for server, gateway in sorted(set(late)):
        record.line(f"{late.count((server, gateway))} requests by {gateway} reached {server} too late")
    record.line(f"{len(late)} of {len(traffic.answers)} requests reached servers later than {DRAIN_S} s after they were gone")
    failed = [(attempt, status, gateway) for _, attempt, status, gateway in traffic.answers if status not in (200, 429, 503)]
    record.line(f"failed: {failed}")
    return not late


rig.main(CASE, play)
