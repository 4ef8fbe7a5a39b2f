"""A backend server fails part of its requests, after it has run them, with a 503 that does not say "not executed"."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import *

REQUESTS = 140
SERVERS = 7
# One of seven servers fails this part of its requests.
FAILED_SHARE = 0.4
WORK_S = 0.06
DEADLINE_MS = 4_000
PROMISES = (408, 421, 429, 503)


async def case(record):
    ip = loopback_address()
    store = await Store().start(ip)
    applied = []
    dice = random.Random(3)

    def worker(ident, in_trouble):
        async def run(headers, body, writer):
            await asyncio.sleep(WORK_S)
            applied.append((headers["request-id"], body.decode()))
            if in_trouble and dice.random() < FAILED_SHARE:
                record(f"server {ident} has applied {body.decode()} and answers {headers['request-id']} with 503")
                return response(503, origin_headers(headers, ident), b"failed")
            return response(200, origin_headers(headers, ident), b"applied")

        return run

    servers = [await Server(store, f"i-{n}", "mod-app", worker(f"i-{n}", TROUBLE and n == 1), record).start(ip)
               for n in range(1, SERVERS + 1)]
    routes = [route("sanction-apply", "/sanction/", "non_idempotent", "mod-app", 2000)]
    store.put("op/config", configuration(routes, [service("mod-app")]))
    entry = await Entry(store, "front-lima-a-1", record).start()
    try:
        await entry.wait_ready()
        await asyncio.sleep(1)
        broken = []
        for n in range(REQUESTS):
            await client(entry, n, broken, applied, record)
        bodies = [b for _, b in applied]
        twice = sorted({b for b in bodies if bodies.count(b) > 1})
        record(f"requests answered with a promise though they had run: {len(broken)}; applied more than once: {twice}")
        return BROKEN if broken else HELD
    finally:
        await entry.clean()


async def client(entry, n, broken, applied, record):
    """Sends a sanction, and sends it again after a promise that it has not run, as clients do."""
    for attempt in (1, 2):
        reader, writer = await asyncio.open_connection(*entry.front)
        ident = f"sanction-{n}-{attempt}"
        writer.write(request("POST", "/sanction/apply", ident, DEADLINE_MS, f"ban {n}".encode()))
        line, headers, body = await read_message(reader)
        writer.close()
        status = int(line.split()[1])
        has_run = any(i == ident for i, _ in applied)
        record(f"client got {status} for {ident}, signature {headers.get('origin-stamp')}; it has run: {has_run}")
        if status in PROMISES and has_run:
            broken.append(ident)
        if status not in PROMISES:
            return


run_case(os.path.dirname(os.path.abspath(__file__)), case)
