"""A worker that has left comes back with the copy of the store (DRAIN)."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import (  # noqa: E402
    BROKEN, HELD, TROUBLE, CannotRun, Entry, Server, Store, configuration, loopback_address,
    origin_headers, read_message, request, response, route, run_case, service)

DRAIN_S = 2.0
WORK_S = 0.06
# The drill: the copy is some seconds old, the store is away for a moment.
COPY_BEFORE_LEAVING_S = 0.5
LEAVING_BEFORE_DRILL_S = 2.5
AWAY_S = 1.0
# What the operator and the workers wrote is written again within this time.
WRITTEN_AGAIN_S = 2.0
# The worker goes on serving for drainMs and a little longer after it has left, then it exits.
LINGERS_S = DRAIN_S + 5.0
END_S = 8.0
CLIENT_INTERVAL_S = 0.07
ENTRY_HOSTS = 3


class Worker(Server):
    """A worker that may leave without a report that it drains: its entry is removed."""

    left_at = None

    def __init__(self, *args):
        super().__init__(*args)
        self.channels = set()
        self.reached = []

    def leave(self):
        self.beat.cancel()
        self.left_at = time.monotonic()
        self.store.delete(f"servers/{self.id}")
        self.record(f"{self.id} has left: its entry is removed, and it goes on serving")
        self.exit_task = asyncio.create_task(self._exit())

    async def _exit(self):
        await asyncio.sleep(LINGERS_S)
        self.server.close()
        for writer in list(self.channels):
            writer.transport.abort()
        self.record(f"{self.id} exits, as planned")

    async def _serve(self, reader, writer):
        self.channels.add(writer)
        await super()._serve(reader, writer)
        self.channels.discard(writer)


async def case(record):
    ip = loopback_address()
    store = await Store().start(ip)
    workers = {}

    async def apply_sanction(ident, headers):
        worker = workers[ident]
        worker.reached.append((time.monotonic(), headers["request-id"]))
        await asyncio.sleep(WORK_S)
        more = {"Server-Leaving": "1"} if worker.left_at else {}
        return response(200, dict(origin_headers(headers, ident), **more), b"done")

    for ident in ("i-stays", "i-leaves"):
        run = lambda headers, body, writer, ident=ident: apply_sanction(ident, headers)  # noqa: E731
        workers[ident] = Worker(store, ident, "mod-app", run, record)
        await workers[ident].start(ip)
    routes = [route("sanction-apply", "/sanction/", "non_idempotent", "mod-app", 4000)]
    config = configuration(routes, [service("mod-app")])
    store.put("op/config", config)
    entries = [await Entry(store, f"front-lima-a-{n}", record).start() for n in range(ENTRY_HOSTS)]
    sent = {}
    answers = {}

    async def client(number):
        ident = f"sanction-{number:04d}"
        sent[ident] = time.monotonic()
        reader, writer = await asyncio.open_connection(*entries[number % ENTRY_HOSTS].front)
        try:
            writer.write(request("POST", f"/sanction/{number}", ident, 4000, b"x" * 600))
            message = await asyncio.wait_for(read_message(reader), 5)
            answers[ident] = message[0] if message else "closed without an answer"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as e:
            answers[ident] = type(e).__name__
        finally:
            writer.close()
        record(f"client gets for {ident}: {answers[ident]}")

    async def clients(tasks):
        number = 0
        while True:
            number += 1
            tasks.append(asyncio.create_task(client(number)))
            await asyncio.sleep(CLIENT_INTERVAL_S)

    try:
        for entry in entries:
            await entry.wait_ready()
        tasks = []
        traffic = asyncio.create_task(clients(tasks))
        await asyncio.sleep(2)
        leaver = workers["i-leaves"]
        if not leaver.reached:
            raise CannotRun("the worker that is to leave got nothing before")
        store.take_copy()
        record("the store takes a copy")
        await asyncio.sleep(COPY_BEFORE_LEAVING_S)
        leaver.leave()
        removal = store.rev
        await asyncio.sleep(LEAVING_BEFORE_DRILL_S)
        if store.read_up_to.get(1, 0) < removal:
            raise CannotRun("no entry host has read the removal")
        record("the removal has been read: a watch goes on after it, and nothing more goes to i-leaves")
        if TROUBLE:
            record("drill: the store is away")
            await store.drill(AWAY_S)
            record("drill: the store is back from the copy, in its next era")
            await asyncio.sleep(0.5)
            store.put("op/config", config)
            record("the operator writes the configuration again")
            await asyncio.sleep(WRITTEN_AGAIN_S - 0.5)
            store.delete("servers/i-leaves")
            record("the removal of i-leaves is written again")
        await asyncio.sleep(leaver.left_at + END_S - time.monotonic())
        traffic.cancel()
        await asyncio.gather(*tasks)
        bound = leaver.left_at + DRAIN_S
        late = [(at, i) for at, i in leaver.reached if at > bound and sent[i] > bound]
        for at, ident in late:
            record(f"{ident} reached i-leaves {at - leaver.left_at:.2f} s after it had left")
        lost = [i for _, i in late if "200" not in answers[i]]
        ok = sum("200" in a for a in answers.values())
        record(f"{len(sent)} requests sent, {ok} answered with 200; {len(late)} reached the worker later "
               f"than drainMs after it had left, {len(lost)} of these began to run and were lost: {lost}")
        return BROKEN if late else HELD
    finally:
        for entry in entries:
            await entry.clean()


run_case(FOLDER, case)
