"""Stand-ins of the platform for the cases of this review: store, executors, a TCP relay and a small HTTP client.

They follow PROTOCOL.md. Everything listens on loopback addresses and on free ports.
"""
import asyncio
import base64
import json
import logging
import os
import random
import shutil
import signal
import subprocess
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
NODE = os.path.join(ROOT, "target", "release", "lagoon-node")
HOST = "127.0.0.1"
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}


def free_port():
    import socket
    with socket.socket() as s:
        s.bind((HOST, 0))
        return s.getsockname()[1]


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Http:
    """HTTP/1.1 server. `handle(method, path, query, headers, body)` returns a status and a JSON value, or None for no answer."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.address = None

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.serve, HOST, port, backlog=512)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = {k.strip().lower(): v.strip() for k, v in (line.split(":", 1) for line in head[1:] if ":" in line)}
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                answer = await self.handle(method, path, query, headers, json.loads(body) if body else None)
                if answer is None:
                    # No answer: the connection stays open until the caller gives up.
                    await reader.read()
                    return
                status, value = answer
                data = json.dumps(value).encode()
                writer.write((f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\ncontent-type: application/json\r\n"
                              f"content-length: {len(data)}\r\n\r\n").encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Store:
    """The platform's store: keys, conditions, leases and watches."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.leases = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.http = Http(self.handle)

    async def listen(self):
        await self.http.listen()
        self.task = asyncio.create_task(self.expire())
        return self

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [i for i, (_, end) in self.leases.items() if end < now]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            await self.commit([], keys)
        return True

    async def commit(self, writes, remove):
        """Applies writes (key, bytes, lease) and removals as one change."""
        self.revision += 1
        for key, value, lease in writes:
            known = self.items.get(key)
            item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                    "create_revision": known["create_revision"] if known else self.revision, "lease": lease}
            self.items[key] = item
            self.history.append(item)
        for key in remove:
            if self.items.pop(key, None) is not None:
                self.history.append({"key": key, "revision": self.revision, "tombstone": True})
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def put(self, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        return await self.commit([(key, data, 0)], [])

    def read(self, key):
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    async def handle(self, method, path, query, headers, body):
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "store_revision": self.revision}) if item else (404, {"store_revision": self.revision})
        if path == "/v1/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > after)
            return 200, {"items": [self.items[k] for k in keys[:500]], "truncated": len(keys) > 500, "store_revision": self.revision}
        if path == "/v1/kv-watch":
            after, end = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                events = [e for e in self.history if e["revision"] > after and e["key"].startswith(query["prefix"])]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "store_revision": self.revision}
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        if path == "/v1/kv-txn":
            current = lambda key: self.items[key]["revision"] if key in self.items else 0
            rows = body.get("expected_rev", [])
            if any(current(row["key"]) != row["revision"] for row in rows):
                return 412, {"items": [self.items.get(row["key"], {"key": row["key"], "revision": 0}) for row in rows]}
            writes = [(w["key"], base64.b64decode(w["value"]), w.get("lease", 0)) for w in body.get("writes", [])]
            if any(lease and lease not in self.leases for _, _, lease in writes):
                return 404, {}
            return 200, {"revision": await self.commit(writes, body.get("remove", []))}
        if path == "/v1/kv-lease":
            self.revision += 1
            ttl = body["ttl_ms"]
            self.leases[self.revision] = (ttl / 1000, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.revision, "ttl_ms": ttl}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {"ttl_ms": int(ttl * 1000)}
        if path.startswith("/v1/kv-lease-end/"):
            return (200, {}) if await self.end_lease(int(path.rsplit("/", 1)[1])) else (404, {})
        return 404, {}


class Executor:
    """An executor. A task runs for as many milliseconds as the first word of its spec says; with 0 it lasts until it is stopped."""

    def __init__(self, store, record, ident, cpu=16000, mem_mb=32768, hold_max_ms=10000, service="planner"):
        self.store, self.record, self.id = store, record, ident
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}
        self.service, self.hold_max_ms = service, hold_max_ms
        self.begin()
        self.state = "ready"
        self.kind = "a"  # the first of its labels
        self.address = None  # address of a relay in front of it
        self.silent = False  # leaves every request unanswered and does nothing for it
        self.http = Http(self.handle)
        self.starts = []  # (time, task, run) of all starts
        self.ends = []  # (time, task, run, how) of all ends

    def begin(self):
        """Begins an incarnation, which knows nothing of before."""
        self.born, self.origin = int(time.time() * 1000), time.monotonic()
        self.token, self.expires, self.sequence, self.acked = 0, 0, 0, 0
        self.running, self.ended, self.highest = {}, [], {}
        self.changed = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.origin) * 1000)

    async def listen(self, relayed=False):
        await self.http.listen()
        if relayed:
            self.relay = await Relay(self.http.address).listen()
            self.address = self.relay.address
        self.task = asyncio.create_task(self.work())
        await self.register()
        return self

    async def register(self):
        self.sequence += 1
        await self.store.put(f"servers/{self.id}", {
            "service": self.service, "address": self.address or self.http.address, "zone": "cluj-a", "version": "v1", "slots": 8,
            "state": self.state, "cold_left_ms": 0, "capacity": self.capacity, "labels": [self.kind, "r1-1"],
            "timestamp_ms": self.clock(), "sequence": self.sequence, "born": self.born})

    async def beat(self):
        """Writes its entry approximately every `heartbeat_ms`, which is 1,500."""
        while True:
            await asyncio.sleep(random.uniform(1.35, 1.65))
            await self.register()

    async def work(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if self.running and self.clock() >= self.expires:
                for task in list(self.running):
                    self.end(task, "lapsed")
            for task, run in list(self.running.items()):
                if run["stop_at"] and now >= run["stop_at"]:
                    self.end(task, "stopped")
                elif run["ms"] and now >= run["begun"] + run["ms"] / 1000:
                    self.end(task, "done")

    def end(self, task, how):
        run = self.running.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.ended.append([len(self.ended) + 1, task, run["run"], how, ""])
        self.ends.append((time.monotonic(), task, run["run"], how))
        self.record(f"{self.id} ended {task} run {run['run']} {how}")
        self.changed.set()
        self.changed = asyncio.Event()

    def used_cpu(self):
        return sum(run.get("cpu", 0) for run in self.running.values())

    def said(self, **fields):
        return {"timestamp_ms": self.clock(), "born": self.born, **fields}

    def extend(self, expires):
        if expires is not None:
            self.expires = max(self.expires, min(expires, self.clock() + self.hold_max_ms))

    async def handle(self, method, path, query, headers, body):
        if self.silent:
            return None
        if headers.get("x-lagoonspindle-expected-instance", self.id) != self.id:
            return 421, self.said()
        token = body.get("fencing_token", 0)
        if token < self.token:
            return 409, self.said(reason="fence")
        self.token = token
        if path == "/v1/run-start":
            task, run = body["task"], body["run"]
            if task in self.running and self.running[task]["run"] == run:
                return 200, self.said()
            if run <= self.highest.get(task, 0) or task in self.running:
                self.extend(body["expires_ms"])
                return 409, self.said(reason="old")
            if body["expires_ms"] <= self.clock():
                return 409, self.said(reason="late")
            self.extend(body["expires_ms"])
            self.running[task] = {"run": run, "begun": time.monotonic(), "ms": float(body["spec"].split()[0]), "stop_at": None}
            self.starts.append((time.monotonic(), task, run))
            self.record(f"{self.id} started {task} run {run}")
            return 200, self.said()
        if path == "/v1/run-stop":
            task, run = body["task"], body["run"]
            if task in self.running and self.running[task]["run"] <= run:
                self.running[task]["stop_at"] = self.running[task]["stop_at"] or time.monotonic() + 0.05
            else:
                self.highest[task] = max(self.highest.get(task, 0), run)
            return 200, self.said()
        if path == "/v1/hold":
            self.extend(body.get("expires_ms"))
            # Only ends that exist are forgotten: the number may be that of an earlier incarnation.
            self.acked = max(self.acked, min(body.get("acked_upto", 0), len(self.ended)))
            end = time.monotonic() + body.get("wait_ms", 0) / 1000
            while True:
                ends = [e for e in self.ended if e[0] > self.acked][:500]
                left = end - time.monotonic()
                if ends or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            if self.silent:
                return None
            percent = lambda run: min(99, int((time.monotonic() - run["begun"]) * 100000 / run["ms"])) if run["ms"] else 100
            rows = [[t, r["run"], "", percent(r), 0] for t, r in self.running.items()]
            return 200, self.said(running=rows, ended=ends)
        return 404, self.said()


class Relay:
    """Forwards TCP connections. `silence()` makes the open ones go silent for good; new ones work."""

    def __init__(self, target):
        self.target = target
        self.generation = 0

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0, backlog=512)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"
        return self

    def silence(self):
        self.generation += 1

    async def serve(self, reader, writer):
        generation = self.generation
        host, port = self.target.rsplit(":", 1)
        try:
            up_reader, up_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return

        async def pump(source, sink):
            try:
                while data := await source.read(65536):
                    if generation != self.generation:
                        continue
                    sink.write(data)
                    await sink.drain()
            except ConnectionError:
                pass
            if generation == self.generation:
                sink.close()

        await asyncio.gather(pump(reader, up_writer), pump(up_reader, writer))
        writer.close()
        up_writer.close()


class Node:
    """A lagoon-node process, started by the command of deploy/system.toml with settings like those of the template."""

    def __init__(self, record, folder, number, store, max_lease="10000ms", adviser=None):
        self.record, self.name = record, f"front-cluj-a-{number}"
        self.port = {k: free_port() for k in ("callers", "readiness", "peers", "metrics")}
        self.address = f"{HOST}:{self.port['callers']}"
        self.settings = os.path.join(folder, f"{self.name}.yaml")
        self.log = open(os.path.join(folder, f"{self.name}.log"), "ab")
        listen = "\n".join(f'  {k}: "{HOST}:{p}"' for k, p in self.port.items())
        with open(self.settings, "w", encoding="utf-8") as f:
            f.write(f'member: "{self.name}"\nfailure_domain: "cluj-a"\nstrength: 0.25\nlisten:\n{listen}\nstore: "{store}"\n'
                    f'adviser: "{adviser or HOST + ":" + str(free_port())}"\nlimits:\n  max_lease: "{max_lease}"\n  retention: "120s"\n'
                    '  grace: "6s"\n  min_store_lease: "1000ms"\nlog:\n  format: json\n')
        self.process = None

    def start(self):
        self.process = subprocess.Popen([NODE, "--settings", self.settings], cwd=ROOT, stdout=self.log, stderr=self.log)
        self.record(f"{self.name} started")

    def signal(self, number):
        self.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


async def call(address, method, path, body=None, host="rounds.example", timeout=3.0):
    """Sends one request on a new connection; returns the status and the JSON body, or (None, reason) without an answer."""
    data = json.dumps(body).encode() if body is not None else b""

    async def exchange():
        ip, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            writer.write((f"{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\ncontent-length: {len(data)}\r\n"
                          f"x-lagoonspindle-deadline-ms: {int(timeout * 1000)}\r\nconnection: close\r\n\r\n").encode() + data)
            await writer.drain()
            answer = await reader.read()
        finally:
            writer.close()
        head, _, rest = answer.partition(b"\r\n\r\n")
        if not head:
            raise ConnectionError("closed without an answer")
        return int(head.split(b" ", 2)[1]), (json.loads(rest) if rest.strip() else None)

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, ValueError) as e:
        return None, repr(e)


def config(version, routes):
    """A configuration whose routes are (name, prefix) or dictionaries."""
    def route(r):
        base = {"host": "rounds.example", "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 3000, "priority": 2,
                "service": "planner", "attempts": 3, "stretch": 4.0}
        return {**base, **r} if isinstance(r, dict) else {**base, "name": r[0], "prefix": r[1]}
    return {"version": version, "routes": [route(r) for r in routes],
            "services": [{"name": "planner", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": False,
                          "preconditions": False, "spare": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


async def ready(nodes, limit=10.0):
    """Waits until all nodes are ready."""
    end = time.monotonic() + limit
    for node in nodes:
        while (await call(f"{HOST}:{node.port['readiness']}", "GET", "/v1/readiness", timeout=1.0))[0] != 200:
            if time.monotonic() > end:
                raise Unable(f"{node.name} is not ready")
            await asyncio.sleep(0.05)


class Unable(Exception):
    """The case could not run."""


def main(case, folder):
    """Runs `case(record, temporary folder, trouble, nodes)`, which returns the violations, and exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record(f"TROUBLE={int(trouble)}")
    nodes = []
    work = tempfile.mkdtemp(prefix="lagoon-review-")

    def finish(code):
        for node in nodes:
            node.kill()
        shutil.rmtree(work, ignore_errors=True)
        record(f"exit {code}")
        print({0: "held", 1: "BROKEN", 2: "could not run"}[code], flush=True)
        os._exit(code)  # without waiting for connections that are still open

    async def run():
        try:
            if not os.access(NODE, os.X_OK):
                raise Unable("target/release/lagoon-node is not built")
            broken = await asyncio.wait_for(case(record, work, trouble, nodes), 110)
            for line in broken:
                record(f"BROKEN {line}")
            finish(1 if broken else 0)
        except (Unable, asyncio.TimeoutError, OSError) as e:
            record(f"could not run: {e!r}")
            finish(2)

    # Ends the case also if the loop of events hangs.
    watchdog = threading.Timer(117, lambda: finish(2))
    watchdog.daemon = True
    watchdog.start()
    logging.disable(logging.CRITICAL)
    asyncio.run(run())
