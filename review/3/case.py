"""Machines are stopped and started in turn while workers load weights; then workers leave orders
unanswered and carry them out late."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import *
from engine import Engine

MODEL = {"name": "cuxa100000", "size": 2, "share": 1.0, "pace": 1.0, "loadS": 12.0, "warmS": 1.1}
ENGINE = {
    "slots": 17, "kvCapacity": 1860000, "stride": 5, "models": [MODEL], "step_ms": 7.8,
    "per_seq_ms": 0.0947, "context_per_k": 0.0096, "read_per_s": 45900.0, "pairs_per_m": 0.433,
    "chunk": 2048, "report_lag_ms": 200.0, "loadsPerS": 5.0, "loads_at_once": 7,
    "usual": {"prompt": 979, "answer": 154}, "keeps": 1, "far_x": 4.0, "formMs": 300.0,
}
WORKERS = [f"i-{n}" for n in range(1, 9)]
LATE_S = 9.0
FIRST_STOP_S = 4.0
LATE_FROM_S = 9.0
SECOND_STOP_AFTER_S = 0.2
LENGTH_S = 28.0


async def case(record):
    ip = loopback_address()
    store = await Store().start(ip)
    fleet, orders = {}, {"late": False, "seen": 0}

    def late(worker, order):
        """Half of the workers, and so half of the orders, leave joins unanswered for a while."""
        if not orders["late"] or order["op"] != "join":
            return None
        orders["seen"] += 1
        return LATE_S if WORKERS.index(worker.id) % 2 == 1 else None

    engines = [
        await Engine(store, ident, "llm-pool", MODEL["name"], MODEL["loadS"], MODEL["warmS"],
                     ENGINE["formMs"] / 1000, fleet, late, record).start(ip)
        for ident in WORKERS
    ]
    routes = [route("thread-summary", "/summary/", "streaming", "llm-pool", 8000, resumable=True,
                    sticky=True, maxAttempts=2, gapAimMs=300)]
    pool = dict(service("llm-pool"), engine=ENGINE, coldStartS=3.0, coldPerS=26.0)
    store.put("op/config", configuration(routes, [pool]))
    entries = [Entry(store, f"front-lima-a-{n}", record) for n in (1, 2, 3)]
    for entry in entries:
        # Workers are added to a system that has been running.
        entry.settings["firstStart"] = False
    began = time.monotonic()
    try:
        for entry in entries:
            await entry.start()
        for entry in entries:
            await entry.wait_ready()
        stopping = []
        if TROUBLE:
            await asyncio.sleep(FIRST_STOP_S)
            stopping.append(asyncio.create_task(restart(manager(store, entries), record)))
            await asyncio.sleep(max(0, LATE_FROM_S - (time.monotonic() - began)))
            orders["late"] = True
            record("half of the workers leave joins unanswered from now on")
            while not orders["seen"]:
                await asyncio.sleep(0.02)
            await asyncio.sleep(SECOND_STOP_AFTER_S)
            orders["late"] = False
            record("all workers answer again")
            stopping.append(asyncio.create_task(restart(manager(store, entries), record)))
        await asyncio.sleep(max(0, LENGTH_S - (time.monotonic() - began)))
        await asyncio.gather(*stopping)
        broken = [text for e in engines for text in e.joined_elsewhere]
        heads = [e.id for e in engines if e.group and e.group["state"] == "open"]
        record(f"open heads at the end: {heads}; joins while the head of the group was open: {len(broken)}")
        return BROKEN if broken else HELD
    finally:
        for entry in entries:
            await entry.clean()


def manager(store, entries):
    """Returns the machine that gives orders now, as the store names it."""
    value = store.items.get("geranium/manager")
    if not value:
        raise CannotRun("no machine gives orders")
    name = json.loads(base64.b64decode(value["value"]))["name"]
    return next(e for e in entries if e.name == name)


async def restart(entry, record):
    """Stops and starts a machine as the platform does."""
    entry.signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(entry.process.wait(), entry.grace_s)
    except asyncio.TimeoutError:
        entry.signal(signal.SIGKILL)
        await entry.process.wait()
    await asyncio.sleep(0.5)
    await entry.start()


run_case(os.path.dirname(os.path.abspath(__file__)), case)
