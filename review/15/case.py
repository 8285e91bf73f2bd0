"""DRAIN: starts that wait in the owner are sent to an executor long after it has reported that it drains."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))
from platform_standin import Executor, Node, Store, Unable, call, config, main, ready  # noqa: E402

DRAIN = 2.5  # drain_ms of the site
HANG = 4.2  # s in which one executor of sixteen leaves requests unanswered; the site has 5.5 s and a share of 0.1
WARM, JOB = "00000000000000aa", "5c0e7a21d94b36f8"


async def case(record, folder, trouble, nodes):
    store = await Store().listen()
    await store.put("op/config", config(1, [("queue", "/queue/")]))
    executors = [await Executor(store, record, f"i-{n:02}").listen() for n in range(16)]
    nodes += [Node(record, folder, n, store.http.address) for n in (1, 2, 3)]
    for node in nodes:
        node.start()
    await ready(nodes)
    await asyncio.sleep(2.0)

    async def submit(job, count, cpu, ms):
        body = {"spec": str(ms), "steps": [{"count": count, "cpu": cpu, "mem_mb": 64, "estimate_ms": ms}]}
        answer = await call(nodes[0].address, "POST", f"/queue/{job}", body)
        record(f"POST of job {job} with {count} tasks answered {answer}")
        if answer[0] != 200:
            raise Unable("a job was not accepted")

    await submit(WARM, 12, 200, 500)
    await asyncio.sleep(2.0)
    grey = executors[0]
    if trouble:
        grey.silent = True
        record(f"{grey.id} leaves requests unanswered")
    await submit(JOB, 60, 200, 1500)
    await asyncio.sleep(0.3)
    grey.state = "draining"
    await grey.register()
    drains = time.monotonic()
    record(f"the store has accepted that {grey.id} drains")
    await asyncio.sleep(HANG - 0.3)
    if trouble:
        grey.silent = False
        record(f"{grey.id} answers again")
    await asyncio.sleep(5.0)
    late = [(at, task, run) for at, task, run in grey.starts if at - drains > DRAIN]
    for at, task, run in late:
        record(f"{grey.id} began {task} run {run} {at - drains:.2f} s after it had reported draining")
    return [f"DRAIN: {len(late)} tasks began on {grey.id} more than {DRAIN} s after it had reported draining"] if late else []


main(case, FOLDER)
