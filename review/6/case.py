"""An executor that starts again behind a cut, just after it has reported to a new owner, takes a start of the earlier owner."""

import asyncio
import base64
import json
import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from standin import Executor, Server, Site, call, free_port, job_id, main, route, wait_ready  # noqa: E402

EXECUTORS, CPU, BEAT_S = 8, 16000, 1.5
ADVICE = {"decide_ms": 480, "each_ms": 6.8, "valid_ms": 2500}
# After the executor's last heartbeat before the cut: when the cut begins, when the store turns the owner away, and when the
# entry goes. The cut and the turning away last no longer than in kinds and in the site file.
CUT_AT_S, TURNED_AWAY_S, ENTRY_GOES_S = 1.4, 4.1, 3 * BEAT_S
CUT_FOR_S, TURNED_AWAY_FOR_S = 5.0, 7.0


class Door(Server):
    """The store as one node reaches it."""

    def __init__(self, store):
        super().__init__(free_port(), self.pass_on)
        self.store, self.is_shut, self.leases = store, False, []

    async def pass_on(self, method, path, query, headers, body):
        if self.is_shut:
            return None
        answer = await self.store.handle(method, path, query, headers, body)
        if self.is_shut:
            return None
        if path == "/v1/kv-lease":
            self.leases.append(answer[1]["lease"])
        return answer

    def shut(self):
        """Answers nothing any more, and takes the keys of its node away at once."""
        self.is_shut = True
        for lease in self.leases:
            self.store.end_lease(lease)

    def open_again(self):
        self.is_shut = False


class Cut(Executor):
    """Can be cut off from the store; starts again once when a later owner has asked for its runs."""

    is_cut, restarts_at_fence = False, None

    async def handle(self, method, path, query, headers, body):
        answer = await super().handle(method, path, query, headers, body)
        if self.restarts_at_fence is not None and body.get("fencing_token", 0) > self.restarts_at_fence:
            self.restarts_at_fence = None
            self.site.record.say(f"executor {self.id} has reported to the owner with token {body['fencing_token']}")
            asyncio.create_task(self.restart())
        return answer

    async def restart(self):
        await asyncio.sleep(0.02)
        await self.crash()
        await asyncio.sleep(0.05)
        await self.start()
        self.site.record.say(f"executor {self.id} has started again behind the cut, born {self.born}")

    async def beats(self):
        while True:
            if not self.is_cut:
                self.register()
            await asyncio.sleep(self.beat)

    def heal(self):
        self.is_cut = False
        self.register()
        self.site.record.say(f"the cut of executor {self.id} ends")


async def run(folder, trouble):
    site = Site(folder, advice=ADVICE)
    site.work = lambda task, spec: (1.6, "done")
    site.ticket_of = lambda x: f"t-{x.id}-{x.born}"
    site.ticket_ok = lambda x, task, ticket: ticket == site.ticket_of(x)
    routes = [route(site, "plans", "/plans/", priority=1, attempts=2, stretch=2.2, target_ms=1200, advice=ADVICE)]
    try:
        doors = [Door(site.store) for _ in range(3)]
        for door in doors:
            await door.open()
        # Four executors have the label that the job requires. The first one gets the next start of an idle fleet.
        cut = Cut(site, 0, CPU, ["kind-b", "r0"], beat=BEAT_S)
        others = [Executor(site, i, CPU, ["kind-b", "r0"]) for i in (1, 2, 3)]
        await site.open(EXECUTORS, CPU, routes, store_ports=[d.port for d in doors], first=[cut, *others])
        if not await wait_ready(site):
            return None
        await asyncio.sleep(5)
        owner = json.loads(base64.b64decode(site.store.items["lagoon/cell/owner"]["value"]))
        old = next(i for i, n in enumerate(site.nodes) if n.name == owner["member"])
        other = (old + 1) % 3
        job = job_id()
        # The moment of the executor's last heartbeat before the cut.
        beat = cut.sequence
        while cut.sequence == beat:
            await asyncio.sleep(0.002)
        last = time.monotonic()
        if trouble:
            await asyncio.sleep(last + CUT_AT_S - time.monotonic())
            cut.is_cut = True
            cut.restarts_at_fence = cut.fence
            site.record.say(f"executor {cut.id} is cut off from the store, for {CUT_FOR_S} s")
            loop = asyncio.get_running_loop()
            loop.call_later(last + ENTRY_GOES_S - time.monotonic(), site.store.delete, f"servers/{cut.id}")
            loop.call_later(CUT_FOR_S, cut.heal)
        await asyncio.sleep(last + TURNED_AWAY_S - 0.08 - time.monotonic())
        status, _ = await call(site.nodes[other].callers, "POST", "/plans/" + job, {
            "spec": "plan", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": 1600, "requires": "kind-b"}]})
        site.record.say(f"call POST /plans/{job}: {status}")
        if status != 200:
            return None
        # The owner has been told of the job and asks the adviser, which takes about 0.5 s.
        await asyncio.sleep(0.05)
        if trouble:
            site.record.say(f"the store turns {site.nodes[old].name} away, the owner, for {TURNED_AWAY_FOR_S} s, and takes its keys away")
            doors[old].shut()
            asyncio.get_running_loop().call_later(TURNED_AWAY_FOR_S, doors[old].open_again)
        await asyncio.sleep(10)
        runs = {}
        for at, t, r, x in site.starts:
            if t.startswith(job):
                runs[r] = [at, None, x, None]
        for at, t, r, x, how in site.ends:
            if t.startswith(job):
                runs[r][1], runs[r][3] = at, how
        for r, (start, end, x, how) in sorted(runs.items()):
            site.record.say(f"task {job}.0.0.0 run {r} on {x}: {start:.2f} s to {end or site.record.now():.2f} s, {how}")
        # Two runs on one executor are not counted: the pages do not say what it does with the second.
        spans = [(s, e or site.record.now(), x) for s, e, x, _ in runs.values()]
        twice = any(a < d and c < b and x != y for i, (a, b, x) in enumerate(spans) for c, d, y in spans[i + 1:])
        return not twice if runs else None
    finally:
        site.close()


main(run)
