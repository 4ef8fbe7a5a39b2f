"""A backend server in trouble sends bytes that are no answer, without end, in the body of a stream."""

import asyncio
import os
import random
import re
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import *

REQUESTS = 100
AT_ONCE = 10
# One of two servers spoils one of its first 50 answers.
SPOILED_ANSWER = 20
EVENTS = 34
GOOD_EVENTS = 10
GAP_S = 0.01
DEADLINE_MS = 8_000
# Clients leave a stream after such a pause between events.
CLIENT_GAP_S = 2.4
# Read from each channel at most, so that the case stays small.
MOST_READ = 20_000_000
EVENT = re.compile(rb"id: (\d+)\ndata: t{60}\n\n")


def event(n):
    return b"id: %d\ndata: %s\n\n" % (n, b"t" * 60)


def no_answer(seed):
    """Returns printable bytes that are no answer, with line breaks now and then."""
    pick = random.Random(seed)
    letters = [chr(c) for c in range(33, 127)]
    lines = ["".join(pick.choices(letters, k=pick.choice([0, 20, 40, 70]))) for _ in range(400)]
    return "\n".join(lines).encode()


async def case(record):
    ip = loopback_address()
    store = await Store().start(ip)
    answers = {"i-1": 0, "i-2": 0}

    def worker(ident, in_trouble):
        async def run(headers, body, writer):
            head = dict(origin_headers(headers, ident), **{"Content-Type": "text/event-stream"})
            lines = ["HTTP/1.1 200 OK"] + [f"{k}: {v}" for k, v in head.items()]
            # The answer has neither a length nor chunks and ends with its channel.
            writer.write(("\r\n".join(lines) + "\r\nConnection: close\r\n\r\n").encode())
            first = int(headers.get("last-event-id", 0)) + 1
            answers[ident] += 1
            spoiled = in_trouble and answers[ident] == SPOILED_ANSWER
            for n in range(first, EVENTS + 1):
                if spoiled and n > GOOD_EVENTS:
                    record(f"server {ident} sends bytes that are no answer after event {n - 1} of {headers['request-id']}")
                    await send_without_end(writer)
                    break
                writer.write(event(n))
                await writer.drain()
                await asyncio.sleep(GAP_S)
            writer.close()

        return run

    async def send_without_end(writer):
        rubbish, sent = no_answer(1), 0
        try:
            while True:
                writer.write(rubbish)
                await writer.drain()
                sent += len(rubbish)
                await asyncio.sleep(0.005)
        except OSError:
            record(f"the caller closed after {sent} bytes")

    servers = [await Server(store, "i-1", "llm-pool", worker("i-1", TROUBLE), record).start(ip),
               await Server(store, "i-2", "llm-pool", worker("i-2", False), record).start(ip)]
    routes = [route("thread-summary", "/summary/", "streaming", "llm-pool", DEADLINE_MS, resumable=True,
                    maxAttempts=2, gapAimMs=300)]
    store.put("op/config", configuration(routes, [service("llm-pool")]))
    entry = await Entry(store, "front-lima-a-1", record).start()
    try:
        await entry.wait_ready()
        await asyncio.sleep(1)
        slots = asyncio.Semaphore(AT_ONCE)
        outcomes = await asyncio.gather(*(client(entry, n, slots, record) for n in range(REQUESTS)))
        record(f"answers: {answers}; with bytes that are no answer: {outcomes.count(False)}")
        return HELD if all(outcomes) else BROKEN
    finally:
        await entry.clean()


async def client(entry, n, slots, record):
    """Sends one request; returns whether its answer holds nothing but events of a server."""
    async with slots:
        reader, writer = await asyncio.open_connection(*entry.front, limit=1 << 24)
        ident = f"summary-{n}"
        writer.write(request("POST", f"/summary/{n}", ident, DEADLINE_MS, b"comments", Token_Counts="1460,170"))
        body, ended, status = b"", "complete", "nothing"
        last_event = time.monotonic()
        try:
            status = (await reader.readuntil(b"\r\n\r\n")).decode().split()[1]
            while True:
                left = last_event + CLIENT_GAP_S - time.monotonic()
                size = int((await asyncio.wait_for(reader.readuntil(b"\r\n"), max(0, left))).strip(), 16)
                piece = (await reader.readexactly(size + 2))[:-2]
                body += piece
                if EVENT.search(piece):
                    last_event = time.monotonic()
                if size == 0:
                    break
                if len(body) > MOST_READ or time.monotonic() - last_event > CLIENT_GAP_S:
                    raise asyncio.TimeoutError
        except asyncio.TimeoutError:
            ended = "left by the client"
        except (OSError, asyncio.IncompleteReadError):
            ended = "cut"
        writer.close()
        rest = EVENT.sub(b"", body)
        ids = [int(m) for m in EVENT.findall(body)]
        record(f"client got {status} for {ident}: events {ids[:1]}..{ids[-1:]}, {len(ids)} in all, and "
               f"{len(rest)} bytes that are no event {rest[:40]!r}; the answer is {ended}")
        return not rest


run_case(os.path.dirname(os.path.abspath(__file__)), case)
