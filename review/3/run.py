"""An executor is lost for good and the owner is killed at the same time; the lost lasting task has to run again."""

import asyncio
import re
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))
import world as w

# The rule counts 3 s without a run from 6 s after the last one, if these 3 s and the 4 s before them are calm.
AFTER_LAST_RUN_S = 6.0
CALM_BEFORE_S = 4.0
NOTHING_RUNS_S = 3.0
# Length of the loss of the executor and time until the platform restarts the killed process.
CRASH_S = 4.5
RESTART_S = 0.5


async def case(world, routes, trouble):
    steps = [{"count": 8, "cpu": 2000, "mem_mb": 512, "estimate_ms": 1000, "spread": 1, "long_running": True}]
    job = await world.submit(routes[0], steps, [None])
    await asyncio.sleep(6.0)
    lost = world.executors[3]
    tasks = [task for task in lost.running if task.startswith(job)]
    began = world.record.now()
    if trouble:
        owner = world.owner()
        lost.crash()
        owner.kill()
        await asyncio.sleep(RESTART_S)
        owner.start()
    calm_from = began + CRASH_S
    window = max(began + AFTER_LAST_RUN_S, calm_from + CALM_BEFORE_S)
    await asyncio.sleep(window + NOTHING_RUNS_S - world.record.now())
    running = {task for executor in world.executors if executor.up for task in executor.running}
    lines = Path(__file__).with_name("record.txt").read_text().splitlines()
    started = [line for line in lines for task in tasks if f" starts {task} " in line and float(line.split()[0]) > began]
    # Records how long it takes in the end.
    end = world.record.now() + 20.0
    while trouble and world.record.now() < end and not running.issuperset(tasks):
        await asyncio.sleep(0.2)
        running = {task for executor in world.executors if executor.up for task in executor.running}
    if not tasks:
        raise RuntimeError("no task ran on the executor that is lost")
    if trouble and not started:
        away = world.record.now() - began
        return (
            f"LOST: {tasks[0]} has nothing running from {AFTER_LAST_RUN_S:.0f} s after its last run until "
            f"{window + NOTHING_RUNS_S - began:.1f} s after it, calm for the last {CALM_BEFORE_S + NOTHING_RUNS_S:.0f} s; "
            f"it runs again after {away:.1f} s"
        )
    return None


w.main(Path(__file__).parent, case, kinds=["a"] * 10, nodes=3, routes=[w.route()])
