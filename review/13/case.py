"""A bad version is ordered while the requests are spread over many routes, or in a quiet hour."""

import asyncio
import os
import random
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "standins-3"))
import rig  # noqa: E402

# 1: a bad version, usual traffic on many routes; 0: a good version in the same; quiet: a bad version in a quiet hour;
# busy: a bad version, usual traffic on two routes.
TROUBLE = os.environ.get("TROUBLE", "1")
SERVICE = "registry-app"
ZONES = {"port-of-spain": "north-trinidad", "arima": "north-trinidad"}
STABLE_S, ROLLBACK_S = 6.0, 5.0
DURATION_S = 12
BAD_ANSWERS = 50
QUIET_PER_S, USUAL_PER_S = 0.2, 20
OFFICES = 200


async def play(record, folder, gateways):
    store = rig.Store(record)
    await store.start()
    routes = [
        rig.route("lookup", "/lookup/", "idempotent", SERVICE),
        rig.route("certify", "/certify/", "non_idempotent", SERVICE),
    ]
    is_spread = TROUBLE in ("0", "1")
    if is_spread:
        # Each office has a route of its own.
        routes += [rig.route(f"certify-{n}", f"/office-{n}/", "non_idempotent", SERVICE) for n in range(OFFICES)]
    store.put("op/config", rig.config(7, routes, [rig.service(SERVICE)]))
    zones = list(ZONES)
    failures = []

    async def start_version(version, is_bad):
        servers = [rig.Server(store, record, f"i-{version}-{n}", SERVICE, zones[n % 2], version, slots=6) for n in range(2)]
        for server in servers:
            if is_bad:

                def fail(line, headers, body, own):
                    failures.append(time.monotonic())
                    return rig.message(500, "Internal Server Error", own, b"failed")

                server.run = fail
            await server.start()
        return servers

    old = await start_version("v1", is_bad=False)
    for n in range(3):
        gateways.append(rig.Gateway(store, record, f"edge-{n + 1}", zones[n % 2], ZONES, folder))
        gateways[-1].start()
    for gateway in gateways:
        if not await gateway.ready():
            return None
    target = (lambda number: f"POST /office-{random.randrange(OFFICES)}/x") if is_spread else None
    is_usual = TROUBLE != "quiet"
    traffic = rig.Traffic(record, gateways, per_s=USUAL_PER_S if is_usual else QUIET_PER_S, target=target)
    await asyncio.sleep(STABLE_S + 1)

    new = await start_version("v2", is_bad=TROUBLE != "0")
    store.put(f"op/rollout/{SERVICE}", {"service": SERVICE, "target": "v2", "durationS": DURATION_S})
    ordered_at = time.monotonic()
    record.line("operator orders v2")
    state = None
    while time.monotonic() < ordered_at + DURATION_S + 2:
        await asyncio.sleep(0.05)
        now_state = (store.get(f"status/rollout/{SERVICE}") or {}).get("state")
        if now_state == state:
            continue
        state = now_state
        answered = sum(len(server.runs) for server in new) - len(failures)
        record.line(f"state of the rollout: {state}; v2 has answered {answered} requests well and {len(failures)} badly")
        if state == "complete":
            for server in old:
                await server.stop()
                store.remove(f"servers/{server.ident}")
            record.line("the old servers stop")
    record.line("further traffic at the usual rate")
    usual = rig.Traffic(record, gateways, per_s=USUAL_PER_S, first=1 << 32, target=target)
    await asyncio.sleep(25)
    await usual.end()
    await traffic.end()

    sent = {attempt: sent_at for sent_at, attempt, _, _ in traffic.answers + usual.answers}
    failures.sort()
    record.line(f"clients got {sum(status == 200 for _, _, status, _ in usual.answers)} good answers of {len(usual.answers)} in the further traffic")
    if len(failures) < BAD_ANSWERS:
        record.line(f"v2 gave {len(failures)} bad answers")
        return True
    bound = failures[BAD_ANSWERS - 1] + ROLLBACK_S
    late = [attempt for server in new for _, attempt in server.runs if sent.get(attempt, 0) > bound]
    record.line(f"v2 got {len(late)} requests that were sent later than {ROLLBACK_S} s after its {BAD_ANSWERS}th bad answer")
    return not late


rig.main(CASE, play)
