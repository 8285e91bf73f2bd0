"""A cancelling that was answered with 410 while the write of the job was under way; the job runs seconds later."""

import asyncio
import json
import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from standin import Site, call, job_id, main, route, wait_ready  # noqa: E402

LOST_S, LATE_S, CONTACT_S, CANCEL_S, STOP_S = 4.5, 5.8, 4.0, 3.0, 0.4


async def run(folder, trouble):
    site = Site(folder)
    routes = [route(site, "plans", "/plans/")]
    try:
        await site.open(4, 16000, routes)
        if not await wait_ready(site):
            return None
        await asyncio.sleep(3)
        job = job_id()
        lost, seen = [], []

        def late(path, body):
            """Of the writes in the disruption only that of one job is lost, and done 5.8 s later."""
            if path != "/v1/kv-txn":
                return 0
            seen.append(1)
            if any(w["key"] == f"lagoon/job/{job}" for w in body.get("writes") or []):
                lost.append(1)
                site.record(f"store: transaction with job {job} is lost, it is executed {LATE_S} s later")
                return LATE_S
            return 0

        begin = site.record.now()
        if trouble:
            site.record.say(f"platform_lost (late) begins, for {LOST_S} s")
            site.store.late = late
        body = {"spec": "s=20", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": 20000}]}
        # Other jobs, before and meanwhile.
        for i in range(12):
            await asyncio.sleep(0.33)
            other = job_id()
            status, _ = await call(site.nodes[i % 3].callers, "POST", "/plans/" + other, dict(body, spec="s=0.2"))
            site.record(f"call POST /plans/{other}: {status}")
        await asyncio.sleep(max(0.0, begin + LOST_S - 0.15 - site.record.now()))
        status, text = await call(site.nodes[0].callers, "POST", "/plans/" + job, body)
        site.record.say(f"call POST /plans/{job}: {status} {text}")
        end = begin + LOST_S
        # The caller gives up and cancels.
        status, text = await call(site.nodes[1].callers, "DELETE", "/plans/" + job)
        acked = site.record.now()
        site.record.say(f"call DELETE /plans/{job}: {status} {text}")
        site.store.late = None
        if trouble:
            site.record.say(f"platform_lost ended at {end:.2f} s; {len(lost)} of {len(seen)} writes were lost")
        if status not in (200, 410):
            return None
        await asyncio.sleep(12)
        status, text = await call(site.nodes[2].callers, "GET", "/plans/" + job)
        site.record.say(f"call GET /plans/{job}: {status} {text}")
        in_touch = end + CONTACT_S if trouble else 0.0
        starts = [(at, t, x) for at, t, _, x in site.starts if t.startswith(job)]
        bad = [s for s in starts if s[0] > acked + CANCEL_S and s[0] > in_touch]
        running = [t for x in site.executors for t in x.runs if t.startswith(job)]
        for at, t, x in bad:
            site.record.say(f"{t} was started on {x} {at - acked:.2f} s after its cancelling was acknowledged, {at - end:.2f} s after the disruption")
        if running and site.record.now() > in_touch + CANCEL_S + STOP_S:
            site.record.say(f"{running} runs {site.record.now() - acked:.1f} s after the cancelling was acknowledged")
        return not bad and not running
    finally:
        site.close()


main(run)
