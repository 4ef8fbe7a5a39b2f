"""A worker's late write to the store makes a member of an open group look free (TWO)."""

import asyncio
import json
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from engine import Engine  # noqa: E402
from standins import (  # noqa: E402
    BOUNDS_GROWN, BROKEN, HELD, TROUBLE, CannotRun, Entry, Store, configuration, loopback_address, route,
    run_case, service)

MODEL = "m1"
GROUP_SIZE = 2
DOMAINS = 4
WORKERS_PER_DOMAIN = 5
# loadS is 12; before the first request a load takes a tenth of that.
LOAD_FACTOR = 0.1
LOAD_S, WARM_S, FORM_S = 12.0, 1.1, 0.3
# platform_lost with `late`: for 4.5 s, a share of 0.35 of the writes gets no answer and is done
# 1 to 6 s later.
LOST_SHARE = 0.35
LOST_FOR_S = 4.5
LATE_S = (1.0, 6.0)
# scale_out: empty workers are added, up to the 18 workers of a domain.
ROUNDS = 6
ADDED = 2
ADDED_GAP_S = 2.0
LOST_BEFORE_S = 1.0
ROUND_S = 12.0


class Worker(Engine):
    """A worker whose writes to the store may be lost and done late."""

    losing = False

    def _write_entry(self):
        if Worker.losing and random.random() < LOST_SHARE:
            asyncio.create_task(self._write_late(random.uniform(*LATE_S)))
            return
        super()._write_entry()

    async def _write_late(self, delay):
        """A write that gets no answer and is done seconds later."""
        self.beats += 1
        store, self.store = self.store, Captured()
        super()._write_entry()
        captured, self.store = self.store, store
        await asyncio.sleep(delay)
        group = captured.entry.get("group")
        entered, group = captured.entry.get("group"), self.group
        self.record(f"store: a write of {self.id} is done {delay:.1f} s late, with group "
                    f"{entered and entered['name']}; its group is now "
                    f"{group and (group['name'], group['state'])}")
        self.store.put(captured.key, captured.entry)


class Captured:
    def put(self, key, entry):
        self.key, self.entry = key, json.loads(json.dumps(entry))


async def case(record):
    ip = loopback_address()
    store = await Store().start(ip)
    fleet = {}

    async def start(domain):
        ident = f"i-{domain}-{len(fleet)}"
        worker = Worker(store, ident, "llm-pool", MODEL, LOAD_S * LOAD_FACTOR, WARM_S, FORM_S, fleet,
                        lambda worker, order: None, record)
        worker.domain = f"lima-a-d{domain}"
        return await worker.start(ip)

    for domain in range(DOMAINS):
        for _ in range(WORKERS_PER_DOMAIN):
            await start(domain)
    pool = dict(service("llm-pool"), engine={
        "slots": 17, "kvCapacity": 1860000, "stride": 6,
        "models": [{"name": MODEL, "size": GROUP_SIZE, "share": 1.0, "pace": 1.0,
                    "loadS": LOAD_S, "warmS": WARM_S}],
        "step_ms": 7.8, "per_seq_ms": 0.1, "context_per_k": 0.003, "read_per_s": 45900.0,
        "pairs_per_m": 0.3, "chunk": 2048, "report_lag_ms": 200.0, "loadsPerS": 5.5,
        "loads_at_once": 8, "delays": [], "usual": {"prompt": 1115, "answer": 152}, "keeps": 1,
        "far_x": 3.0, "formMs": FORM_S * 1000})
    routes = [route("reply-draft", "/draft/", "streaming", "llm-pool", 6000, resumable=True,
                    maxAttempts=2, sticky=True, gapAimMs=200)]
    store.put("op/config", configuration(routes, [pool]))
    entry = await Entry(store, "front-lima-a-1", record, bounds=BOUNDS_GROWN).start()
    try:
        await entry.wait_ready()
        await asyncio.sleep(12)
        if sum(bool(w.group and w.group["state"] == "open") for w in fleet.values()) != 2 * DOMAINS:
            raise CannotRun("the groups did not form")
        for number in range(ROUNDS):
            if TROUBLE:
                Worker.losing = True
                asyncio.get_running_loop().call_later(LOST_FOR_S, setattr, Worker, "losing", False)
                record(f"round {number + 1}: the store loses answers for {LOST_FOR_S} s")
            await asyncio.sleep(LOST_BEFORE_S)
            for _ in range(ADDED):
                record("a worker is added to each domain")
                for domain in range(DOMAINS):
                    await start(domain)
                await asyncio.sleep(ADDED_GAP_S)
            await asyncio.sleep(ROUND_S - LOST_BEFORE_S - ADDED * ADDED_GAP_S)
            broken = [t for w in fleet.values() for t in w.joined_elsewhere]
            if broken:
                record(f"TWO: {broken[0]}")
                return BROKEN
        return HELD
    finally:
        await entry.clean()


run_case(FOLDER, case)
