"""Many users come at once, with long prompts that stay within the limits of the configuration."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import *

BODY_BYTES = 4_000_000  # maxBodyBytes is 4,194,304
RATE_PER_S = 9.0
BURST = 1.7
BURST_BEGIN_S, BURST_S = 9.0, 3.0
LENGTH_S = 16.0
CHANNELS = 120
FIRST_EVENT_S, EVENTS, EVENT_GAP_S = 0.4, 34, 0.14
DEADLINE_MS = 8_000
MOST_LOST = 3


async def case(record):
    ip = loopback_address()
    store = await Store().start(ip)

    async def run(headers, body, writer):
        if headers.get("small"):
            return response(200, origin_headers(headers, "i-1"), b"ok\n\n")
        head = dict(origin_headers(headers, "i-1"), **{"Content-Type": "text/event-stream"})
        lines = ["HTTP/1.1 200 OK"] + [f"{k}: {v}" for k, v in head.items()]
        await asyncio.sleep(FIRST_EVENT_S)
        writer.write(("\r\n".join(lines) + "\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        for n in range(1, EVENTS + 1):
            event = f"id: {n}\ndata: {'t' * 60}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(b"0\r\n\r\n")
        return None

    server = await Server(store, "i-1", "llm-pool", run, record).start(ip)
    routes = [route("thread-summary", "/summary/", "streaming", "llm-pool", DEADLINE_MS, resumable=True)]
    store.put("op/config", configuration(routes, [service("llm-pool")]))
    entry = await Entry(store, "front-lima-a-1", record).start()
    state = {"peak": 0, "killed": None}
    try:
        await entry.wait_ready()
        watch = asyncio.create_task(watch_memory(entry, state, record))
        idle = asyncio.Queue()
        for n in range(CHANNELS):
            reader, writer = await asyncio.open_connection(*entry.front)
            writer.write(request("POST", "/summary/hello", f"hello-{n}", DEADLINE_MS, b"hi", Small="1"))
            await read_message(reader)
            idle.put_nowait((reader, writer))
        body = b"p" * BODY_BYTES
        began = time.monotonic()
        due, tasks = began, []
        while time.monotonic() - began < LENGTH_S and state["killed"] is None:
            at = time.monotonic() - began
            in_burst = TROUBLE and BURST_BEGIN_S <= at < BURST_BEGIN_S + BURST_S
            tasks.append(asyncio.create_task(client(idle, len(tasks), body, record)))
            due += 1 / (RATE_PER_S * (BURST if in_burst else 1.0))
            await asyncio.sleep(max(0, due - time.monotonic()))
        outcomes = await asyncio.gather(*tasks)
        watch.cancel()
        unanswered = [i for i, o in outcomes if o == "none" and i in server.runs]
        counts = {o: sum(1 for _, x in outcomes if x == o) for o in ("whole", "cut", "none", "unsent")}
        record(f"peak memory of {entry.name}: {state['peak'] / 1e6:.0f} MB of {entry.memory_mb}; answers: {counts}")
        record(f"run by a server and their kept channel closed without an answer: {len(unanswered)}")
        return BROKEN if len(unanswered) > MOST_LOST else HELD
    finally:
        await entry.clean()


async def watch_memory(entry, state, record):
    """Kills the process if it exceeds its memory, as the platform does."""
    while True:
        used = entry.memory()
        state["peak"] = max(state["peak"], used)
        if used > entry.memory_mb * (1 << 20):
            record(f"{entry.name} exceeds its memory: {used / 1e6:.0f} MB")
            state["killed"] = time.monotonic()
            entry.signal(signal.SIGKILL)
            return
        await asyncio.sleep(0.01)


async def client(idle, n, body, record):
    """Sends one request on a kept channel; returns its id and what became of it."""
    ident = f"summary-{n}"
    if idle.empty():
        record(f"no channel is free for {ident}")
        return ident, "unsent"
    reader, writer = idle.get_nowait()
    got = b""
    try:
        writer.write(request("POST", f"/summary/{n}", ident, DEADLINE_MS, body))
        record(f"client sends {ident}, {len(body)} bytes")
        got = await reader.readuntil(b"\r\n\r\n")
        status = got.split(b" ")[1].decode()
        if b"chunked" in got.lower():
            text = await read_chunks(reader)
            record(f"client got {status} and {text.count(b'id: ')} events of {ident}")
        else:
            record(f"client got {status} for {ident}")
        idle.put_nowait((reader, writer))
        return ident, "whole"
    except (OSError, asyncio.IncompleteReadError) as e:
        got = got or getattr(e, "partial", b"")
        writer.close()
        record(f"channel of {ident} ended {'within' if got else 'without'} an answer")
        return ident, "cut" if got else "none"


run_case(os.path.dirname(os.path.abspath(__file__)), case)
