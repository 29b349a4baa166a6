"""A check-in of another writer, with fields missing, names the address of an executor at work."""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))
from standins import BOUNDS, CannotRun, Client, Executor, Machines, System, call, find_twice, main, manifest, now_ms

HOST, PREFIX, SERVICE = "shop.example", "/orders/", "printworks"
JOB = "5c0e7a21d94b36f8"


async def foreign_check_in(record, system, address):
    """Sent once, as any check-in: to a node, with up to two redirections."""
    body = {"service": SERVICE, "address": address, "state": "ready",
            "capacity": {"cpu": 16000, "memMb": 262144}, "seq": 1, "born": now_ms()}
    target = system.controls[0]
    for _ in range(3):
        status, headers, _ = await call(target, "PUT", "/api/instances/agent-2", json.dumps(body).encode())
        if status != 307:
            break
        target = headers["location"].split("/")[2]
    record.write("other writer", f"PUT /api/instances/agent-2 {json.dumps(body)} -> {status}")


async def play(record, trouble):
    system = System(record)
    runs, executors = [], []
    machines = Machines(record, executors)
    try:
        await system.start_all(await machines.listen(f"{system.net}.200"))
        if not await system.put_manifest(manifest(1, [("r-1", HOST, PREFIX, SERVICE, 3)], [SERVICE])):
            raise CannotRun("no manifest was acknowledged")
        for number in range(2):
            executor = Executor(record, f"i-{number + 1}", SERVICE, system.controls, rack=f"r1-{number + 1}", runs=runs)
            executors.append(executor)
            await executor.begin(f"{system.net}.{101 + number}")
        await asyncio.sleep(3)
        client = Client(system, record, HOST)
        job = {"spec": "8000", "steps": [{"count": 2, "cpu": 3000, "memMb": 1024, "estRuntimeMs": 8000}]}
        if not await client.submit(PREFIX + JOB, job):
            raise CannotRun("the job was not accepted")
        await asyncio.sleep(2.5)
        busy = [executor for executor in executors if executor.running]
        if not busy:
            raise CannotRun("no work item has begun")
        if trouble:
            await foreign_check_in(record, system, busy[0].address)
        await asyncio.sleep(12)
        record.write("client", f"state {await client.state(PREFIX + JOB)}")
        if system.ended():
            raise CannotRun(f"processes ended: {system.ended()}")
        return find_twice(runs, [row for executor in executors for row in executor.noted])
    finally:
        for executor in executors:
            executor.end_process("end of the case")
        system.stop()


main(FOLDER, play)
