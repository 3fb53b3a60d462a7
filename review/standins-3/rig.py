"""Stand-ins for the platform's store, its servers and its clients, and the processes under test.

Only the standard library is used. The store, the servers and the clients run in one event loop; each gateway is a
process of its own, started with the command of the deploy file. All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "carobwheel")
HEARTBEAT_S = 1.2
HISTORY_S = 20.0
HOST = "rugs.example"
SEAL = "X-Carobwheel-Server-Seal"


class Record:
    """Log of what was sent, answered and run, written to record.txt of the case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


def free_ip():
    """Loopback address on which no other process of this machine is likely to listen."""
    while True:
        ip = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}.{random.randint(1, 250)}"
        probe = socket.socket()
        try:
            probe.bind((ip, 8221))
            return ip
        except OSError:
            continue
        finally:
            probe.close()


async def read_message(reader):
    """First line, headers (lower case, last one wins) and body of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def message(status, reason, headers, body=b""):
    head = [f"HTTP/1.1 {status} {reason}"] + [f"{name}: {value}" for name, value in headers]
    head += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(head).encode() + body


class Store:
    """The platform's store: linearizable, with one revision counter, leases and a bounded history."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.era = 1
        self.items = {}
        self.history = []
        self.compacted = 100
        self.leases = {}
        self.next_lease = 1000
        self.is_away = False
        self.page_items = 500
        self.changed = asyncio.Event()
        self.writers = set()
        # Called with the query of each stale read; returns the number of seconds by which its answer is old.
        self.staleness_s = lambda query: 0.0
        self.past = []
        self.on_write = lambda key, value: None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.task = asyncio.create_task(self.end_leases())

    def keep_past(self):
        now = time.monotonic()
        self.past.append((now, self.revision, dict(self.items)))
        while self.past[0][0] < now - 30:
            self.past.pop(0)

    def notify(self):
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def put(self, key, value, lease=0):
        """Writes a JSON value as the operator or a server does."""
        return self.write(key, base64.b64encode(json.dumps(value).encode()).decode(), lease)

    def write(self, key, text, lease):
        self.revision += 1
        known = self.items.get(key)
        created = known["createRevision"] if known else self.revision
        item = {"key": key, "value": text, "revision": self.revision, "createRevision": created, "lease": lease}
        self.items[key] = item
        self.history.append((time.monotonic(), dict(item)))
        self.trim()
        self.keep_past()
        self.on_write(key, base64.b64decode(text))
        self.notify()
        return self.revision

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            event = {"key": key, "revision": self.revision, "tombstone": True}
            self.history.append((time.monotonic(), event))
            self.trim()
            self.keep_past()
            self.notify()

    def get(self, key):
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    def trim(self):
        oldest = time.monotonic() - HISTORY_S
        while self.history and self.history[0][0] < oldest:
            self.compacted = self.history.pop(0)[1]["revision"]

    def copy(self):
        state = (self.revision, self.items, self.history, self.compacted, self.leases, self.next_lease)
        return json.dumps([state[0], state[1], state[2], state[3], list(state[4].items()), state[5]])

    def restore(self, copy):
        """Comes back from a copy: what was written since is gone, and its revisions are given out again."""
        revision, items, history, compacted, leases, next_lease = json.loads(copy)
        self.revision, self.items, self.compacted = revision, items, compacted
        self.history = [(at, event) for at, event in history]
        self.leases = {int(lease): value for lease, value in leases}
        for lease in self.leases:
            self.leases[lease] = [self.leases[lease][0], time.monotonic() + self.leases[lease][0]]
        self.next_lease = next_lease
        self.era += 1
        self.notify()

    def go_away(self):
        self.is_away = True
        for writer in list(self.writers):
            writer.transport.abort()

    async def end_leases(self):
        while True:
            await asyncio.sleep(0.1)
            if self.is_away:
                for lease in self.leases.values():
                    lease[1] += 0.1
                continue
            now = time.monotonic()
            for lease in [lease for lease, (_, end) in self.leases.items() if end <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while not self.is_away:
                request = await read_message(reader)
                if request is None or self.is_away:
                    break
                status, body = await self.answer(*request)
                headers = [("Content-Type", "application/json"), ("Store-Era", self.era)]
                writer.write(message(status, "x", headers, json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, line, headers, body):
        await asyncio.sleep(0.004)
        method, target, _ = line.split(" ")
        url = urllib.parse.urlsplit(target)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        if url.path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, currentRev=self.revision)) if item else (404, {})
        if url.path == "/kv-range":
            return self.range(query)
        if url.path == "/kv-watch":
            return await self.watch(query)
        if url.path == "/kv-txn":
            return self.commit(json.loads(body))
        if url.path == "/kv-lease":
            ttl_ms = max(1000, json.loads(body)["ttlMs"])
            self.next_lease += 1
            self.leases[self.next_lease] = [ttl_ms / 1000, time.monotonic() + ttl_ms / 1000]
            return 200, {"lease": self.next_lease, "ttlMs": ttl_ms}
        if url.path.startswith("/kv-keep/"):
            lease = self.leases.get(int(url.path.rsplit("/", 1)[1]))
            if lease is None:
                return 404, {}
            lease[1] = time.monotonic() + lease[0]
            return 200, {"ttlMs": int(lease[0] * 1000)}
        if url.path.startswith("/kv-lease-end/"):
            lease = int(url.path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            self.end_lease(lease)
            return 200, {}
        return 404, {}

    def range(self, query):
        revision, items = self.revision, self.items
        age_s = self.staleness_s(query) if query.get("allowStale") == "1" else 0.0
        if age_s > 0:
            until = time.monotonic() - age_s
            older = [(revision, items) for at, revision, items in self.past if at <= until]
            if older:
                revision, items = older[-1]
        keys = sorted(key for key in items if key.startswith(query["pathPrefix"]) and key > query.get("after", ""))
        page = [items[key] for key in keys[: self.page_items]]
        return 200, {"items": page, "morePages": len(keys) > self.page_items, "currentRev": revision}

    async def watch(self, query):
        after, until = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
        era = self.era
        while True:
            if after < self.compacted:
                return 410, {}
            events = [
                event
                for _, event in self.history
                if event["revision"] > after and event["key"].startswith(query["pathPrefix"])
            ]
            left = until - time.monotonic()
            if events or left <= 0 or era != self.era:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def commit(self, call):
        for row in call["expectRev"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found = [self.items[row["key"]] for row in call["expectRev"] if row["key"] in self.items]
                return 412, {"items": found}
        for write in call["writes"]:
            if write["lease"] and write["lease"] not in self.leases:
                return 404, {}
            if write["key"].startswith(("op/", "servers/")):
                return 403, {}
        for write in call["writes"]:
            self.write(write["key"], write["value"], write["lease"])
        for key in call["remove"]:
            self.remove(key)
        return 200, {"revision": self.revision}


class Server:
    """A server of a service: registers itself, answers its health check, and runs requests."""

    def __init__(self, store, record, ident, service, zone, version="v1", slots=64, work_ms=15):
        self.store, self.record = store, record
        self.ident, self.service, self.zone, self.version = ident, service, zone, version
        self.slots, self.work_ms = slots, work_ms
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs = []
        self.is_registered = False
        # Called with (line, headers, body); returns the bytes of the answer.
        self.run = self.answer
        self.writers = set()
        self.extra_headers = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.is_registered = True
        self.write_entry()
        self.task = asyncio.create_task(self.beat())

    async def beat(self):
        # Servers write at times of their own.
        await asyncio.sleep(random.uniform(0, HEARTBEAT_S))
        while True:
            if self.is_registered and not self.store.is_away:
                self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def write_entry(self):
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        self.store.put(f"servers/{self.ident}", entry)

    def leave_without_notice(self):
        """Its entry is removed; it goes on serving."""
        self.is_registered = False
        self.store.remove(f"servers/{self.ident}")

    async def stop(self):
        """The process ends: its entry goes later, its connections now."""
        self.is_registered = False
        self.task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                line, headers, body = request
                writer.write(await self.handle(line, headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, line, headers, body):
        echo = [("X-Carobwheel-Attempt-Id", headers["x-carobwheel-attempt-id"])] if "x-carobwheel-attempt-id" in headers else []
        if line.split(" ")[1] == "/health":
            return message(200, "OK", [("X-Carobwheel-Instance-Id", self.ident)] + self.extra_headers)
        expected = headers.get("x-carobwheel-expect-instance")
        if expected not in (None, self.ident):
            self.record.line(f"server {self.ident} answers 421 to {headers.get('x-carobwheel-attempt-id')}")
            return message(421, "Misdirected Request", echo + [("X-Carobwheel-Instance-Id", self.ident)])
        attempt = headers.get("x-carobwheel-attempt-id", "")
        self.runs.append((time.monotonic(), attempt))
        self.record.line(f"server {self.ident} ({self.service} {self.version}) runs {attempt}")
        await asyncio.sleep(self.work_ms / 1000)
        return self.run(line, headers, body, echo + [(SEAL, f"{self.ident}.{attempt}")] + self.extra_headers)

    def answer(self, line, headers, body, own):
        return message(200, "OK", own, f"{self.ident} {headers.get('x-carobwheel-attempt-id')}".encode())


class Gateway:
    """A process of the program under test, with the settings that the template of the deploy file gives."""

    def __init__(self, store, record, name, zone, zones, folder, bounds=None):
        self.record, self.name, self.folder = record, name, folder
        self.ip = free_ip()
        self.front = (self.ip, 8221)
        address = lambda port: f"{self.ip}:{port}"
        self.settings = {
            "instance": name,
            "data_centre": zone,
            "region": zones[zone],
            "regions": zones,
            "listen": {
                "callers": address(8221),
                "ready": address(8224),
                "directory": address(8220),
                "peers": address(7600),
                "metrics": address(7615),
            },
            "store": store.address,
            "memory_mb": 260,
            "max_descriptors": 4100,
            "processor": {"share": 0.25, "cores": 1},
            "bounds": dict(
                {
                    "retry_window_s": 10,
                    "retry_share": 0.2,
                    "retry_extra": 52,
                    "limit_extra_tokens": 110000,
                    "trial_share": 0.1,
                    "directory_ttl_s": 5,
                    "stop_grace_s": 8,
                },
                **(bounds or {}),
            ),
        }
        self.process = None

    def start(self):
        path = os.path.join(self.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        log = open(os.path.join(self.folder, self.name + ".log"), "a", encoding="utf-8")
        self.process = subprocess.Popen(
            [PROGRAM, "edge"],
            cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "CAROBWHEEL_BOOT": path},
            stdout=log,
            stderr=log,
        )
        self.record.line(f"gateway {self.name} starts as process {self.process.pid} at {self.ip}")

    def kill(self, number=signal.SIGKILL):
        self.record.line(f"gateway {self.name} gets signal {int(number)}")
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()

    async def is_ready(self):
        try:
            answer = await request((self.ip, 8224), "GET /ready", {}, timeout_s=1.0)
            return answer is not None and answer[0] == 200
        except OSError:
            return False

    async def ready(self, timeout_s=15.0):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if await self.is_ready():
                self.record.line(f"gateway {self.name} is ready")
                return True
            await asyncio.sleep(0.05)
        return False

    def logged(self, event):
        found = []
        with open(os.path.join(self.folder, self.name + ".log"), encoding="utf-8") as file:
            for line in file:
                try:
                    entry = json.loads(line)
                except ValueError:
                    continue
                if entry.get("event") == event:
                    found.append(entry)
        return found


async def request(address, target, headers, body=b"", timeout_s=5.0):
    """Sends one request on a new connection. Returns status, headers and body; None if no complete answer came."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            lines = [f"{target} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or target.startswith("POST"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("utf-8") + body)
            await writer.drain()
            return await read_message(reader)
        finally:
            writer.close()

    try:
        answer = await asyncio.wait_for(exchange(), timeout_s)
    except (asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError):
        return None
    if answer is None:
        return None
    line, answer_headers, answer_body = answer
    return int(line.split(" ")[1]), answer_headers, answer_body


class Traffic:
    """Clients that send at a steady rate, to the gateways in turn, each request on a new connection."""

    def __init__(self, record, gateways, per_s, deadline_ms=2500, first=0, target=None):
        self.record, self.gateways, self.per_s, self.deadline_ms = record, gateways, per_s, deadline_ms
        self.first = first
        # Called with the number of a request; returns its method and path.
        self.target = target or (lambda number: "POST /certify/x" if number // len(gateways) % 2 == 0 else "GET /lookup/x")
        # Time of sending, attempt id, status or None, name of the gateway.
        self.answers = []
        self.is_sending = True
        self.task = asyncio.create_task(self.send_all())

    async def send_all(self):
        number, tasks = self.first, []
        next_at = time.monotonic()
        while self.is_sending:
            tasks.append(asyncio.create_task(self.send(number)))
            number += 1
            next_at += 1 / self.per_s
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
        await asyncio.gather(*tasks)

    async def send(self, number):
        gateway = self.gateways[number % len(self.gateways)]
        target = self.target(number)
        is_action = target.startswith("POST")
        attempt = f"{number:016x}"
        headers = {
            "X-Carobwheel-Attempt-Id": attempt,
            "X-Carobwheel-Deadline-Ms": str(self.deadline_ms),
            "X-Carobwheel-Key": "key-1",
        }
        sent_at = time.monotonic()
        self.record.line(f"client sends {attempt} ({target}) to {gateway.name}")
        try:
            answer = await request(gateway.front, target, headers, b"x" if is_action else b"", self.deadline_ms / 1000)
        except OSError:
            answer = None
        status = answer[0] if answer else None
        self.record.line(f"client gets {status or 'no answer'} for {attempt}")
        self.answers.append((sent_at, attempt, status, gateway.name))

    async def end(self):
        self.is_sending = False
        await self.task

    def sent_between(self, begin, end):
        return [answer for answer in self.answers if begin <= answer[0] < end]


def route(name, prefix, kind, service, timeout_ms=2500, aim_ms=400, **more):
    return dict(
        {
            "name": name,
            "host": HOST,
            "pathPrefix": prefix,
            "routeType": kind,
            "timeoutMs": timeout_ms,
            "targetLatencyMs": aim_ms,
            "priority": 2,
            "service": service,
            "maxAttempts": 2 if kind == "idempotent" else 1,
            "noAuth": False,
            "affinity": False,
            "resumable": False,
            "gapAimMs": 0,
            "homeRegions": [],
        },
        **more,
    )


def service(name, **more):
    return dict(
        {"name": name, "healthCheck": "/health", "maxConnections": 96, "protocol": "h1", "tls": False, "coldS": 0.0, "coldPerS": 0.0},
        **more,
    )


def config(version, routes, services, tenants=None):
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": tenants
        or [{"name": "huka270", "apiKeys": ["key-1"], "priority": 1, "unit": "token_count", "plainTokens": 200, "ratePerS": 0, "burst": 0, "homeRegions": []}],
    }


def main(case_folder, play):
    """Runs `play(record, folder)`, which returns whether the rule held. Exits with 0, 1, or 2 if it could not run."""
    record = Record(os.path.join(case_folder, "record.txt"))
    folder = tempfile.mkdtemp(prefix="carobwheel-review-")
    gateways = []

    async def run():
        # Connections that the case cuts on purpose are no error of the case.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(play(record, folder, gateways), 110)

    code = 2
    try:
        if not os.access(PROGRAM, os.X_OK):
            record.line("the program was not built")
        else:
            # Without the clean-up of asyncio.run, which would wait for connections of gateways that still run.
            held = asyncio.new_event_loop().run_until_complete(run())
            code = 2 if held is None else (0 if held else 1)
    except Exception as error:  # The case could not run.
        record.line(f"could not run: {error!r}")
    finally:
        for gateway in gateways:
            gateway.end()
        (shutil.rmtree(folder, ignore_errors=True) if not os.environ.get("KEEP") else print(folder))
    record.line(f"exit {code}")
    print(f"exit {code}; see {os.path.join(case_folder, 'record.txt')}")
    os._exit(code)
