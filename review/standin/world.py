"""Stand-ins for the platform's store, for executors and for clients, and a starter of nodes, all on loopback addresses.

Each follows PROTOCOL.md. One process runs all stand-ins; nodes are separate processes. Only the standard library is used.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HEARTBEAT_S = 1.5
# An executor's entry is removed after three heartbeat intervals of silence.
ENTRY_TTL_S = 3 * HEARTBEAT_S
HISTORY_S = 20.0
PAGE_ITEMS = 500
MAX_LEASE_MS = 10_000
STOP_S = 0.1


# Below the ports that Linux gives to outgoing connections, so that none takes the port of a node while it restarts.
PORTS = range(12_000, 32_000)
used_ports = set()


def free_port():
    while True:
        port = random.choice(PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            if port not in used_ports:
                used_ports.add(port)
                return port


class Record:
    """Writes what was sent, answered and run, one line an event, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class HttpServer:
    """A minimal HTTP/1.1 server. `stop` aborts all connections, as a crash does."""

    def __init__(self, handler, port=None):
        self.handler = handler
        self.port = port or free_port()
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, self.port)

    def stop(self):
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await read_message(reader):
                first, headers, body = request
                method, target, _ = first.split(" ", 2)
                status, answer = await self.handler(method, target, headers, body)
                payload = json.dumps(answer).encode() if answer is not None else b""
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(payload)}\r\n\r\n"
                writer.write(head.encode() + payload)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def read_message(reader):
    """Returns the first line, the headers and the body; `None` at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while (field := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = field.decode().partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return line.decode().strip(), headers, body


class Store:
    """The platform's store: revisions, conditional transactions, leases, watches and a bounded history."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Condition()
        self.dropped_up_to = 0
        self.http = HttpServer(self._handle)

    async def start(self):
        await self.http.start()
        self.expiry = asyncio.create_task(self._expire())

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [lease for lease, (_, end) in self.leases.items() if end <= now]:
                await self._end_lease(lease)
            while self.history and self.history[0][0] < now - HISTORY_S:
                self.dropped_up_to = self.history.pop(0)[1]

    async def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            await self._apply([], keys)

    async def _apply(self, writes, removals):
        self.revision += 1
        now = time.monotonic()
        for key, value, lease in writes:
            known = self.items.get(key)
            created = known["create_revision"] if known else self.revision
            item = {"key": key, "value": value, "revision": self.revision, "create_revision": created, "lease": lease}
            self.items[key] = item
            self.history.append((now, self.revision, item))
        for key in removals:
            if self.items.pop(key, None):
                self.history.append((now, self.revision, {"key": key, "revision": self.revision, "tombstone": True}))
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key, value, ttl=None, lease=None):
        """Writes a key as the operator or an executor does, under a lease of `ttl` seconds; returns the lease."""
        if ttl is not None:
            if lease is None or lease not in self.leases:
                lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (ttl, time.monotonic() + ttl)
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        await self._apply([(key, encoded, lease or 0)], [])
        return lease

    def renew(self, lease):
        if lease not in self.leases:
            return False
        ttl, _ = self.leases[lease]
        self.leases[lease] = (ttl, time.monotonic() + ttl)
        return True

    def value(self, key):
        item = self.items.get(key)
        return item and json.loads(base64.b64decode(item["value"]))

    async def _handle(self, method, target, headers, body):
        await asyncio.sleep(0.004)
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        path = url.path
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "store_revision": self.revision}) if item else (404, {"store_revision": self.revision})
        if path == "/v1/kv-range":
            return 200, self._range(query["prefix"], query.get("after"))
        if path == "/v1/kv-watch":
            return await self._watch(query["prefix"], int(query["after"]), int(query["wait_ms"]) / 1000)
        if path == "/v1/kv-txn":
            return await self._transaction(json.loads(body))
        if path == "/v1/kv-lease":
            ttl_ms = max(1000, json.loads(body)["ttl_ms"])
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (ttl_ms / 1000, time.monotonic() + ttl_ms / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl_ms}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            return (200, {"ttl_ms": int(self.leases[lease][0] * 1000)}) if self.renew(lease) else (404, {})
        if path.startswith("/v1/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            await self._end_lease(lease)
            return 200, {}
        return 400, {}

    def _range(self, prefix, after):
        keys = sorted(key for key in self.items if key.startswith(prefix) and (after is None or key > after))
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return {"items": page, "truncated": len(keys) > PAGE_ITEMS, "store_revision": self.revision}

    async def _watch(self, prefix, after, wait_s):
        end = time.monotonic() + wait_s
        while True:
            if after < self.dropped_up_to:
                return 410, {}
            events = [e for _, rev, e in self.history if rev > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            async with self.changed:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), left)

    async def _transaction(self, body):
        expected = body.get("expected_rev", [])
        current = lambda key: self.items.get(key, {"key": key, "revision": 0})
        if any(current(row["key"])["revision"] != row["revision"] for row in expected):
            return 412, {"items": [current(row["key"]) for row in expected]}
        writes = body.get("writes", [])
        removals = body.get("remove", [])
        if any(key.startswith(("op/", "servers/")) for key in [*(w["key"] for w in writes), *removals]):
            return 403, {}
        if any(w.get("lease") and w["lease"] not in self.leases for w in writes):
            return 404, {}
        await self._apply([(w["key"], w["value"], w.get("lease") or 0) for w in writes], removals)
        return 200, {"revision": self.revision}


class Executor:
    """One machine with an executor. `crash` ends its process and `restart` begins a new life under the same id."""

    def __init__(self, record, store, name, kind, rack, cpu=16_000, service="round-planner"):
        self.record = record
        self.store = store
        self.id = name
        self.kind = kind
        self.rack = rack
        self.cpu = cpu
        self.service = service
        self.reaches_store = True
        self.lease = None
        self.up = False
        self.http = HttpServer(self._handle)

    async def start(self):
        self.up = True
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence = 0
        self.expires = 0
        self.running = {}
        self.ended = []
        self.next_end = 1
        self.highest = {}
        self.end_listed = asyncio.Condition()
        await self.http.start()
        self.jobs = [asyncio.create_task(self._heartbeat()), asyncio.create_task(self._watch_lease())]
        self.record.write(f"executor {self.id} up, kind {self.kind}, born {self.born}")

    def crash(self):
        self.up = False
        for job in self.jobs:
            job.cancel()
        for run in self.running.values():
            run["timer"].cancel()
        lost = list(self.running)
        self.running = {}
        self.http.stop()
        self.record.write(f"executor {self.id} crashed, lost {lost}")

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    async def _heartbeat(self):
        while True:
            if self.reaches_store:
                await self._write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def _write_entry(self):
        entry = {
            "service": self.service, "address": self.http.address, "zone": "cluj-a", "version": "v1", "slots": 8,
            "state": "ready", "cold_left_ms": 0, "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpu": 0},
            "labels": [self.kind, self.rack], "born": self.born,
        }
        # The entry changes only when more than its sequence does, or when another writer has replaced it.
        key, value = f"servers/{self.id}", {**entry, "sequence": 1}
        if self.store.value(key) != value or not (self.lease and self.store.renew(self.lease)):
            self.lease = await self.store.put(key, value, ENTRY_TTL_S, self.lease)
            self.record.write(f"executor {self.id} writes its entry: labels {entry['labels']}, born {self.born}")

    async def _watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock() > self.expires:
                for task in list(self.running):
                    await self._end(task, "lapsed")

    async def _end(self, task, how):
        run = self.running.pop(task)
        run["timer"].cancel()
        self.ended.append([self.next_end, task, run["number"], how, ""])
        self.next_end += 1
        self.record.write(f"executor {self.id} ended {task} run {run['number']} {how}")
        async with self.end_listed:
            self.end_listed.notify_all()

    async def _finish(self, task, after_s):
        await asyncio.sleep(after_s)
        if run := self.running.get(task):
            run["timer"] = asyncio.get_running_loop().create_future()
            await self._end(task, "done")

    async def _handle(self, method, target, headers, body):
        if headers.get("x-lagoonspindle-expected-instance", self.id) != self.id:
            return 421, {"timestamp_ms": self.clock(), "born": self.born}
        request = json.loads(body)
        answer = lambda status, **more: (status, {"timestamp_ms": self.clock(), "born": self.born, **more})
        token = request.get("fencing_token", 0)
        if token < self.fence:
            return answer(409, reason="fence")
        self.fence = token
        if target == "/v1/run-start":
            return self._start_run(request, answer)
        if target == "/v1/run-stop":
            return await self._stop_run(request, answer)
        if target == "/v1/hold":
            return await self._hold(request, answer)
        return answer(400)

    def _extend(self, expires_ms):
        self.expires = max(self.expires, min(expires_ms, self.clock() + MAX_LEASE_MS))

    def _start_run(self, request, answer):
        task, number = request["task"], request["run"]
        present = self.running.get(task)
        if present and present["number"] == number:
            self._extend(request["expires_ms"])
            return answer(200)
        if number <= self.highest.get(task, 0):
            self._extend(request["expires_ms"])
            return answer(409, reason="old")
        if request["expires_ms"] <= self.clock():
            return answer(409, reason="late")
        self._extend(request["expires_ms"])
        self.highest[task] = number
        # The spec of a job holds the time in milliseconds of each step; null stands for a task that lasts.
        work_ms = json.loads(request["spec"])[int(task.split(".")[2])]
        run = {"number": number, "began": time.monotonic(), "work": work_ms}
        run["timer"] = asyncio.create_task(self._finish(task, work_ms / 1000 if work_ms else 1e6))
        self.running[task] = run
        self.record.write(f"executor {self.id} (kind {self.kind}, born {self.born}) starts {task} run {number}")
        return answer(200)

    async def _stop_run(self, request, answer):
        task, number = request["task"], request["run"]
        self.record.write(f"executor {self.id} is told to stop {task} run {number}")
        self.highest[task] = max(self.highest.get(task, 0), number)
        present = self.running.get(task)
        if present and present["number"] == number:
            asyncio.get_running_loop().call_later(STOP_S, lambda: asyncio.ensure_future(self._stopped(task, number)))
        return answer(200)

    async def _stopped(self, task, number):
        present = self.running.get(task)
        if present and present["number"] == number:
            await self._end(task, "stopped")

    async def _hold(self, request, answer):
        self.ended = [end for end in self.ended if end[0] > request.get("acked_upto", 0)]
        if "expires_ms" in request:
            self._extend(request["expires_ms"])
        if not self.ended and (wait_ms := request.get("wait_ms", 0)):
            async with self.end_listed:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.end_listed.wait(), wait_ms / 1000)
        return answer(200, running=[self._row(task) for task in self.running], ended=self.ended[:500])

    def _row(self, task):
        run = self.running[task]
        passed = (time.monotonic() - run["began"]) * 1000
        percent = min(99, int(100 * passed / run["work"])) if run["work"] else 100
        return [task, run["number"], "", percent, 0]


class Node:
    """A node of the system in its own process, with settings like those of a small deployment."""

    def __init__(self, record, folder, name, store):
        self.record = record
        self.name = name
        self.log = folder / f"{name}.log"
        self.settings = folder / f"{name}.yaml"
        self.port = free_port()
        self.ready_port, self.metrics_port = free_port(), free_port()
        self.process = None
        addresses = {
            "callers": self.port, "readiness": self.ready_port, "peers": free_port(), "metrics": self.metrics_port,
        }
        listen = "".join(f"  {key}: {HOST}:{port}\n" for key, port in addresses.items())
        self.settings.write_text(
            f"member: {name}\nfailure_domain: cluj-a\nstrength: 0.25\nlisten:\n{listen}store: {store.http.address}\n"
            f"adviser: {HOST}:{free_port()}\nlimits:\n  max_lease: {MAX_LEASE_MS}ms\n  retention: 120s\n  grace: 6s\n"
            "  min_store_lease: 1000ms\nlog:\n  format: json\n"
        )

    def start(self):
        program = ROOT / "target/release/lagoon-node"
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [program, "--settings", self.settings], stdout=log, stderr=log, cwd=ROOT, stdin=subprocess.DEVNULL
            )
        self.record.write(f"node {self.name} started")

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.record.write(f"node {self.name} killed")

    def terminate(self):
        if self.process and self.process.poll() is None:
            self.process.terminate()
            try:
                self.process.wait(1)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()

    async def is_ready(self):
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            status, _ = await exchange(self.ready_port, "GET", "/v1/readiness", timeout=1)
            return status == 200
        return False


async def exchange(port, method, target, host=HOST, body=None, timeout=3.0):
    """Sends one request on a new connection; returns the status and the decoded body."""

    async def talk():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            payload = json.dumps(body).encode() if body is not None else b""
            head = (
                f"{method} {target} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
                f"X-Lagoonspindle-Deadline-Ms: {int(timeout * 1000)}\r\nContent-Length: {len(payload)}\r\n"
                "Connection: close\r\n\r\n"
            )
            writer.write(head.encode() + payload)
            message = await read_message(reader)
            if message is None:
                raise ConnectionError("no answer")
            first, _, answer = message
            return int(first.split(" ")[1]), json.loads(answer) if answer else None
        finally:
            writer.close()

    return await asyncio.wait_for(talk(), timeout)


class World:
    """All stand-ins and nodes of one case."""

    def __init__(self, folder):
        self.record = Record(Path(folder) / "record.txt")
        self.temporary = tempfile.TemporaryDirectory()
        self.store = Store()
        self.executors = []
        self.nodes = []
        self.accepted = {}
        self.next_job = 1

    async def start(self, kinds, nodes, config):
        await self.store.start()
        for number, kind in enumerate(kinds):
            executor = Executor(self.record, self.store, f"i-{number:02}", kind, f"r1-{number // 8}")
            self.executors.append(executor)
            await executor.start()
        await self.configure(config)
        for number in range(nodes):
            node = Node(self.record, Path(self.temporary.name), f"front-cluj-a-{number + 1}", self.store)
            self.nodes.append(node)
            node.start()
        for _ in range(200):
            if all([await node.is_ready() for node in self.nodes]) and self.owner():
                # Traffic starts 10 s after the machines do; the first owner has recovered long before.
                await asyncio.sleep(2)
                return
            await asyncio.sleep(0.05)
        raise RuntimeError("the nodes did not become ready")

    async def configure(self, config):
        await self.store.put("op/config", config)
        routes = [route["prefix"] for route in config["routes"]]
        self.record.write(f"operator writes configuration {config['version']} with routes {routes}, acknowledged")

    def owner(self):
        """Returns the node that owns the cell, by the key that the nodes keep in the store."""
        entry = self.store.value("lagoon/cell/owner")
        return entry and next(node for node in self.nodes if node.name == entry["member"])

    async def call(self, method, route, rest, body=None, tries=5):
        """Sends a call as a client does: after no response, 502, 503 or 504 it is repeated at the next node."""
        status = answer = None
        for attempt in range(tries):
            node = self.nodes[(self.next_job + attempt) % len(self.nodes)]
            try:
                status, answer = await exchange(node.port, method, route["prefix"] + rest, route["host"], body)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                status, answer = None, None
                self.record.write(f"client {method} {rest} at {node.name}: no answer, {type(error).__name__}")
            else:
                self.record.write(f"client {method} {rest} at {node.name}: {status} {answer or ''}")
                if status not in (502, 503, 504):
                    break
            await asyncio.sleep(0.25)
        return status, answer

    async def submit(self, route, steps, work_ms):
        """Submits a job whose steps take `work_ms`; returns its id if it was accepted."""
        job = f"{self.next_job:016x}"
        self.next_job += 1
        body = {"spec": json.dumps(work_ms), "steps": steps}
        status, _ = await self.call("POST", route, job, body)
        if status == 200:
            self.accepted[job] = (self.record.now(), steps)
            return job
        return None

    def stop(self):
        for node in self.nodes:
            node.terminate()
        for executor in self.executors:
            if executor.up:
                executor.crash()
        if keep := os.environ.get("KEEP_LOGS"):
            for node in self.nodes:
                (Path(keep) / node.log.name).write_bytes(node.log.read_bytes())
        self.temporary.cleanup()


def route(name="r-check", prefix="/volo102/", attempts=4):
    return {
        "name": name, "host": "novo13.example", "prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000,
        "target_latency_ms": 500, "priority": 0, "service": "round-planner", "attempts": attempts, "stretch": 1.5,
    }


def config(version, routes):
    service = {
        "name": "round-planner", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": False,
        "preconditions": False, "spare": False,
    }
    limits = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    return {"version": version, "routes": routes, "services": [service], "limits": limits}


def main(folder, case, kinds, nodes, routes):
    """Runs a case. Exits with 1 if it reports a broken rule, 0 if none, and 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        world = World(folder)
        code = 2
        try:
            async with asyncio.timeout(110):
                await world.start(kinds, nodes, config(1, routes))
                broken = await case(world, routes, trouble)
            verdict = f"broken: {broken}" if broken else "held"
            code = 1 if broken else 0
        except Exception as error:
            verdict = f"the case could not run: {type(error).__name__}: {error}"
        finally:
            world.stop()
        world.record.write(f"verdict: {verdict}")
        print(verdict, flush=True)
        # Connections that still wait for an answer must not delay the end.
        os._exit(code)

    asyncio.run(run())
