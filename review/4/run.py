"""The operator removes a route while accepted jobs of it are under way; their second steps have to run all the same."""

import asyncio
import re
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))
import world as w

FINISH_S = 14.0


async def case(world, routes, trouble):
    kept, dropped = routes
    steps = [
        {"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 1500},
        {"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500, "after": [0]},
    ]
    jobs = [await world.submit(dropped, steps, [1500, 500]) for _ in range(4)]
    jobs = [job for job in jobs if job]
    others = [await world.submit(kept, steps, [1500, 500])]
    await asyncio.sleep(0.5)
    await world.configure(w.config(5, [kept] if trouble else routes))
    # The end of the traffic; jobs are asked for 14 s after it.
    await asyncio.sleep(FINISH_S)
    for job in jobs:
        await world.call("GET", dropped, job, tries=1)
    for job in others:
        await world.call("GET", kept, job, tries=1)
    lines = Path(__file__).with_name("record.txt").read_text().splitlines()
    stuck = [job for job in jobs if not any(re.search(rf" starts {job}\.0\.1\.", line) for line in lines)]
    ended = [line for line in lines if re.search(rf" ended {stuck[0]}\.0\.0\.\d+ run \d+ done", line)] if stuck else []
    if not stuck:
        return None
    since = world.record.now() - float(ended[-1].split()[0]) if ended else 0.0
    return (
        f"LOST: {len(stuck)} of {len(jobs)} accepted jobs have nothing running, the first for {since:.1f} s after its "
        f"first step was done, with all executors idle: {stuck[0]}"
    )


w.main(
    Path(__file__).parent, case, kinds=["a"] * 4, nodes=3,
    routes=[w.route(), w.route("r-batch", "/pufi791/")],
)
