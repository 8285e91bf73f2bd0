"""Stand-ins of the users' platform for the review's scripts: store, executors and adviser on loopback addresses, and
helpers that start nodes as processes and act as callers. They follow PROTOCOL.md; faults are injected by the cases."""

import asyncio
import base64
import json
import os
import random
import shutil
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
NODE = os.path.join(ROOT, "target", "release", "lagoon-node")
HOST = "127.0.0.1"
_given = set()


def free_port():
    """A port below those that the system uses for outgoing connections."""
    while True:
        port = random.randint(15000, 31000)
        if port in _given:
            continue
        with socket.socket() as s:
            try:
                s.bind((HOST, port))
            except OSError:
                continue
        _given.add(port)
        return port


class Record:
    """record.txt of a case: what was sent, answered and run, with milliseconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now() * 1000:9.0f} {text}\n")
        self.file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed", 413: "Content Too Large",
           421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}


class Server:
    """Small HTTP/1.1 server with keep-alive. `handle(method, path, query, headers, body)` returns (status, object)."""

    def __init__(self, port, handle):
        self.port, self.handle, self.server, self.writers = port, handle, None, set()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    async def close(self):
        """Ends the listener and all connections, like the end of the process."""
        self.server.close()
        for w in list(self.writers):
            w.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        k, v = line.split(":", 1)
                        headers[k.strip().lower()] = v.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                answer = await self.handle(method, url.path, query, headers, json.loads(body) if body else {})
                if answer is None:
                    await asyncio.sleep(3600)
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record, self.items, self.leases, self.history = record, {}, {}, []
        self.revision, self.changed = 1, asyncio.Event()
        self.port = free_port()
        self.server = Server(self.port, self.handle)
        self.latency = 0.004
        self.value_bytes, self.refused = 1048576, 0
        # Seconds after which a call is executed that gets no answer; 0 for a call that is answered.
        self.late = None

    async def open(self):
        await self.server.open()
        asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [i for i, (_, end) in self.leases.items() if end < now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        found = self.leases.pop(lease, None)
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for k in keys:
                self.remove(k)
            self.wake()
        return found is not None

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, key, value, lease=0):
        old = self.items.get(key)
        item = {"key": key, "value": value, "revision": self.revision, "lease": lease,
                "create_revision": old["create_revision"] if old else self.revision}
        self.items[key] = item
        if key.startswith("lagoon/progress/"):
            # Nobody watches these, and their values would fill the memory.
            return
        self.history.append((self.revision, dict(item)))

    def remove(self, key):
        if self.items.pop(key, None):
            self.history.append((self.revision, {"key": key, "revision": self.revision, "tombstone": True}))

    def put(self, key, value):
        """A write by the operator or an executor; returns the revision once acknowledged."""
        self.revision += 1
        self.write(key, base64.b64encode(json.dumps(value).encode()).decode())
        self.wake()
        return self.revision

    def delete(self, key):
        self.revision += 1
        self.remove(key)
        self.wake()

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(self.latency)
        late = self.late(path, body) if self.late else 0
        if late:
            asyncio.get_running_loop().call_later(late, self.execute_late, body)
            return None
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, store_revision=self.revision)) if item else (404, {})
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
            page = [self.items[k] for k in keys[:500]]
            return 200, {"items": page, "truncated": len(keys) > 500, "store_revision": self.revision}
        if path == "/v1/kv-watch":
            after, end = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                found = []
                for revision, event in reversed(self.history):
                    if revision <= after:
                        break
                    if event["key"].startswith(query["prefix"]):
                        found.append(event)
                found.reverse()
                left = end - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found, "store_revision": self.revision}
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/v1/kv-txn":
            return self.commit(body)
        if path == "/v1/kv-lease":
            self.revision += 1
            ttl = max(1000, body["ttl_ms"])
            self.leases[self.revision] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.revision, "ttl_ms": ttl}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        if path.startswith("/v1/kv-lease-end/"):
            return (200, {}) if self.end_lease(int(path.rsplit("/", 1)[1])) else (404, {})
        return 400, {}

    def execute_late(self, body):
        status, _ = self.commit(body)
        self.record(f"store: unanswered transaction of {[w['key'] for w in body.get('writes') or []]} executed late: {status}")

    def commit(self, body):
        expected = body.get("expected_rev") or []
        rev = lambda k: self.items[k]["revision"] if k in self.items else 0
        if any(rev(row["key"]) != row["revision"] for row in expected):
            items = [self.items.get(row["key"], {"key": row["key"], "revision": 0}) for row in expected]
            return 412, {"items": items}
        writes = body.get("writes") or []
        if any(w.get("lease") and w["lease"] not in self.leases for w in writes):
            return 404, {}
        if any(len(w["value"]) * 3 // 4 - w["value"].count("=") > self.value_bytes for w in writes):
            self.refused += 1
            return 413, {}
        self.revision += 1
        for w in writes:
            self.write(w["key"], w["value"], w.get("lease") or 0)
        for key in body.get("remove") or []:
            self.remove(key)
        self.wake()
        return 200, {"revision": self.revision}


class Executor:
    """One executor, with its runs, lease, fence and list of ends. `work(task, spec)` returns seconds and the end."""

    def __init__(self, site, number, cpu, labels, hold_max_ms=10000, beat=1.5):
        self.site, self.id, self.cpu, self.labels = site, f"x{number:02d}{random.randrange(16**6):06x}", cpu, labels
        self.port, self.hold_max, self.beat, self.sequence = free_port(), hold_max_ms, beat, 0
        self.server, self.state = None, "ready"
        self.born, self.dark = None, False

    async def start(self, born=None):
        self.t0 = time.monotonic()
        self.born = born if born is not None else int(time.time() * 1000)
        self.runs, self.ends, self.high, self.fence, self.number = {}, [], {}, 0, 0
        self.until, self.ended, self.sequence = 0, asyncio.Event(), 0
        self.server = Server(self.port, self.handle)
        await self.server.open()
        self.tasks = [asyncio.create_task(self.beats()), asyncio.create_task(self.lapse())]

    async def crash(self):
        for t in self.tasks:
            t.cancel()
        for task, run in self.runs.items():
            run["timer"].cancel()
            self.site.ended(self, task, run["run"], "crashed")
        self.runs = {}
        await self.server.close()

    async def lose(self):
        """Is lost for good without a word: open connections stay open and silent, new ones get no answer either, and the
        entry goes after three heartbeat intervals."""
        for t in self.tasks:
            t.cancel()
        for task, run in self.runs.items():
            run["timer"].cancel()
            self.site.ended(self, task, run["run"], "crashed")
        self.runs, self.dark = {}, True
        self.site.record(f"executor {self.id} is lost for good")
        await asyncio.sleep(3 * self.beat)
        self.site.store.delete(f"servers/{self.id}")

    def clock(self):
        return int((time.monotonic() - self.t0) * 1000)

    async def beats(self):
        while True:
            self.register()
            await asyncio.sleep(self.beat)

    def register(self):
        self.sequence += 1
        self.site.store.put(f"servers/{self.id}", {
            "service": self.site.service, "address": f"{HOST}:{self.port}", "zone": "z1", "version": "v1",
            "slots": 8, "state": self.state, "sequence": self.sequence, "born": self.born,
            "capacity": {"cpu": self.cpu, "mem_mb": 65536, "gpu": 0}, "labels": self.labels})

    async def lapse(self):
        while True:
            await asyncio.sleep(0.02)
            if self.runs and self.clock() > self.until:
                for task in list(self.runs):
                    self.end(task, "lapsed")

    def end(self, task, how):
        run = self.runs.pop(task, None)
        if run is None:
            return
        run["timer"].cancel()
        self.number += 1
        self.ends.append([self.number, task, run["run"], how, ""])
        self.site.ended(self, task, run["run"], how)
        self.ended.set()
        self.ended = asyncio.Event()

    async def finish(self, task, seconds, how):
        await asyncio.sleep(seconds)
        # Not cancelled by its own end.
        asyncio.get_running_loop().call_soon(self.end, task, how)

    async def handle(self, method, path, query, headers, body):
        if self.dark:
            return None
        say = {"timestamp_ms": self.clock(), "born": self.born}
        if headers.get("x-lagoonspindle-expected-instance", self.id) != self.id:
            return 421, {}
        if body.get("fencing_token", 0) < self.fence:
            return 409, dict(say, reason="fence")
        self.fence = body.get("fencing_token", 0)
        if path == "/v1/hold":
            self.ends = [e for e in self.ends if e[0] > body.get("acked_upto", 0)]
            if "expires_ms" in body:
                self.until = max(self.until, min(body["expires_ms"], self.clock() + self.hold_max))
            end = time.monotonic() + body.get("wait_ms", 0) / 1000
            while not self.ends and end > time.monotonic():
                try:
                    await asyncio.wait_for(self.ended.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    pass
            if self.dark:
                return None
            running = [[t, r["run"], "", min(99, int((time.monotonic() - r["at"]) / r["s"] * 100))]
                       for t, r in self.runs.items()]
            return 200, {"timestamp_ms": self.clock(), "born": self.born, "running": running, "ended": self.ends[:500]}
        task, run = body["task"], body["run"]
        if path == "/v1/run-stop":
            self.high[task] = max(run, self.high.get(task, 0))
            if task in self.runs and self.runs[task]["run"] <= run:
                self.end(task, "stopped")
            return 200, say
        if path == "/v1/run-start":
            if task in self.runs and self.runs[task]["run"] == run:
                return 200, say
            if body["expires_ms"] <= self.clock():
                return 409, dict(say, reason="late")
            self.until = max(self.until, min(body["expires_ms"], self.clock() + self.hold_max))
            if run <= self.high.get(task, 0):
                return 409, dict(say, reason="old")
            if not self.site.ticket_ok(self, task, body.get("ticket")):
                return 409, dict(say, reason="ticket")
            seconds, how = self.site.work(task, body["spec"])
            self.high[task] = run
            timer = asyncio.create_task(self.finish(task, seconds, how))
            self.runs[task] = {"run": run, "at": time.monotonic(), "s": seconds, "timer": timer}
            self.site.started(self, task, run)
            return 200, say
        return 400, say


class Site:
    """A small deployment: store, executors and adviser."""

    def __init__(self, folder, advice=None):
        # Runs of `quiet` jobs are counted, and not recorded one by one.
        self.record, self.quiet = Record(folder), set()
        self.service = f"svc{random.randrange(16**4):04x}"
        self.store = Store(self.record)
        self.executors, self.nodes = [], []
        self.advice = advice or {"valid_ms": 2500}
        self.adviser = Server(free_port(), self.advise)
        self.starts, self.ends = [], []
        self.tmp = tempfile.mkdtemp(prefix="lagoon-review-")
        self.busy = {}

    def work(self, task, spec):
        words = dict(w.split("=") for w in spec.split() if "=" in w)
        return float(words.get("s", 0.2)), words.get("end", "done")

    def may_run(self, executor, step):
        return True

    def ticket_of(self, executor):
        return f"t-{executor.id}"

    def ticket_ok(self, executor, task, ticket):
        return True

    def started(self, executor, task, run):
        self.starts.append((self.record.now(), task, run, executor.id))
        if task.split(".")[0] not in self.quiet:
            self.record(f"run  started {task} run {run} on {executor.id}")

    def ended(self, executor, task, run, how):
        self.ends.append((self.record.now(), task, run, executor.id, how))
        if task.split(".")[0] not in self.quiet:
            self.record(f"run  ended   {task} run {run} on {executor.id}: {how}")

    async def advise(self, method, path, query, headers, body):
        # One call at a time for each calling machine would be told by its address; all are 127.0.0.1 here.
        await asyncio.sleep((self.advice.get("decide_ms", 5) + self.advice.get("each_ms", 0.1) * len(body["workers"])) / 1000)
        good = [[x.id, self.ticket_of(x)] for x in self.executors
                if x.id in body["workers"] and self.may_run(x, body["step"])]
        return 200, {"good": good, "valid_ms": self.advice["valid_ms"]}

    def configure(self, version, routes):
        self.store.put("op/config", {"version": version, "routes": routes, "services": [{"name": self.service}], "limits": {}})
        self.record(f"operator: version {version} acknowledged, routes {[r['name'] for r in routes]}")

    async def open(self, executors, cpu, routes, nodes=3, store_ports=None, first=()):
        await self.store.open()
        await self.adviser.open()
        self.configure(1, routes)
        for i in range(executors):
            x = first[i] if i < len(first) else Executor(self, i, cpu, ["kind-a", f"r{i // 4}"])
            self.executors.append(x)
            await x.start()
        for i in range(nodes):
            self.nodes.append(Node(self, i, store_ports[i] if store_ports else self.store.port))
        for n in self.nodes:
            n.start()

    def close(self):
        for n in self.nodes:
            n.kill()
        shutil.rmtree(self.tmp, ignore_errors=True)


class Node:
    """One lagoon-node process."""

    def __init__(self, site, number, store_port):
        self.site, self.name = site, f"front-{number}"
        self.callers, self.ready, self.peers, self.metrics = (free_port() for _ in range(4))
        self.settings = os.path.join(site.tmp, f"{self.name}.yaml")
        self.log = os.path.join(site.tmp, f"{self.name}.log")
        with open(self.settings, "w", encoding="utf-8") as f:
            f.write(f"""member: "{self.name}"
failure_domain: "z1"
strength: 0.25
listen:
  callers: "{HOST}:{self.callers}"
  readiness: "{HOST}:{self.ready}"
  peers: "{HOST}:{self.peers}"
  metrics: "{HOST}:{self.metrics}"
store: "{HOST}:{store_port}"
adviser: "{HOST}:{site.adviser.port}"
limits:
  max_lease: "10000ms"
  retention: "120s"
  grace: "6s"
  min_store_lease: "1000ms"
log:
  format: json
""")
        self.process = None

    def start(self):
        out = open(self.log, "a", encoding="utf-8")
        self.process = subprocess.Popen([NODE, "--settings", self.settings], cwd=ROOT, stdout=out, stderr=out)
        self.site.record(f"node {self.name} started, pid {self.process.pid}")

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            return (await call(self.ready, "GET", "/v1/readiness"))[0] == 200
        except OSError:
            return False


async def call(port, method, path, body=None, host="a.example", timeout=3.0):
    """One call on a connection of its own; returns (status, body), or (0, reason) without an answer in time."""

    async def once():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            data = json.dumps(body).encode() if body is not None else b""
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nContent-Length: "
                         f"{len(data)}\r\nX-Lagoonspindle-Deadline-Ms: {int(timeout * 1000)}\r\nConnection: close\r\n\r\n".encode() + data)
            await writer.drain()
            answer = await reader.read()
        finally:
            writer.close()
        head, _, rest = answer.partition(b"\r\n\r\n")
        if not head:
            return 0, "connection closed"
        return int(head.split(b" ")[1]), rest.decode()

    try:
        return await asyncio.wait_for(once(), timeout)
    except (asyncio.TimeoutError, ConnectionError, OSError) as e:
        return 0, type(e).__name__


async def wait_ready(site, limit=15.0):
    end = time.monotonic() + limit
    while time.monotonic() < end:
        if all([await n.is_ready() for n in site.nodes]):
            return True
        await asyncio.sleep(0.1)
    return False


def job_id():
    return f"{random.randrange(16**16):016x}"


def route(site, name, prefix, priority=0, attempts=3, stretch=1.5, target_ms=500, advice=None):
    r = {"name": name, "host": "a.example", "prefix": prefix, "service": site.service, "priority": priority,
         "attempts": attempts, "stretch": stretch, "target_latency_ms": target_ms, "timeout_ms": 3000, "kind": "non_idempotent"}
    if advice:
        r["advice"] = advice
    return r


def main(run):
    """Runs `run(folder, trouble)`, which returns True if the rule held; exits with 0, 1, or 2 if the case could not run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.path.exists(NODE):
        print("target/release/lagoon-node is missing: build it with the command of the deploy file")
        sys.exit(2)

    async def within():
        try:
            held = await asyncio.wait_for(run(folder, trouble), 115)
        except asyncio.TimeoutError:
            held = None
        sys.stdout.flush()
        # Ends at once, without waiting for the servers' tasks. The nodes have been ended by `run`.
        os._exit(2 if held is None else 0 if held else 1)

    asyncio.run(within())
