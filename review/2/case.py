"""Configurations in quick succession fill the memory of all entry hosts (LOST, own ends)."""

import asyncio
import json
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import (  # noqa: E402
    BOUNDS_GROWN, BROKEN, HELD, TROUBLE, Entry, Server, Store, configuration, loopback_address,
    origin_headers, read_message, request, response, route, run_case, service)

# The smallest machine of the site.
MEMORY_MB = 160
ENTRY_HOSTS = 3
# As the operator's system writes: big_config adds up to 1,480 routes, config_storm changes the
# configuration each 0.33 s for 4 s.
BIG_CONFIGS = 3
ROUTES_PER_BIG_CONFIG = 1400
VALUE_BYTES = 1048576
STORMS = 15
STORM_S = 4.0
STORM_GAP_S = 0.33
STORM_PAUSE_S = 1.5
RESTART_DELAY_S = 0.5
WORK_S = 0.1
CHANNELS_PER_HOST = 20
CLIENT_PAUSE_S = 0.1
# LOST: more than three times.
ALLOWED_CUTS = 3


async def case(record):
    ip = loopback_address()
    store = await Store().start(ip)

    async def apply_sanction(headers, body, writer):
        await asyncio.sleep(WORK_S)
        return response(200, origin_headers(headers, "i-mod-1"), b"done")

    quiet = lambda text: None  # noqa: E731
    worker = await Server(store, "i-mod-1", "mod-app", apply_sanction, quiet).start(ip)
    routes = [route("sanction-apply", "/sanction/", "non_idempotent", "mod-app", 4000)]
    config = configuration(routes, [service("mod-app")])
    store.put("op/config", config)
    entries = [Entry(store, f"front-lima-a-{n}", record, memory_mb=MEMORY_MB, bounds=BOUNDS_GROWN)
               for n in range(ENTRY_HOSTS)]
    for entry in entries:
        await entry.start()
    cut = {n: [] for n in range(ENTRY_HOSTS)}
    answered, peaks, kills = [0], [0] * ENTRY_HOSTS, []

    async def supervise(index):
        """Kills a process over its limit, and starts it again, as the platform does."""
        entry = entries[index]
        while True:
            await asyncio.sleep(0.05)
            used = entry.memory()
            peaks[index] = max(peaks[index], used)
            if used > MEMORY_MB << 20:
                kills.append((time.monotonic(), index))
                record(f"{entry.name} uses {used >> 20} MB of {MEMORY_MB} MB; the platform kills it")
                entry.process.kill()
                await entry.process.wait()
                await asyncio.sleep(RESTART_DELAY_S)
                entry.settings["firstStart"] = False
                await entry.start()

    async def client(index, channel):
        """Sends one request after the other on a channel that it keeps open."""
        number = 0
        while True:
            try:
                reader, writer = await asyncio.open_connection(*entries[index].front)
            except OSError:
                await asyncio.sleep(0.2)
                continue
            try:
                on_channel = 0
                while True:
                    number += 1
                    ident = f"s-{index}-{channel}-{number}"
                    writer.write(request("POST", f"/sanction/{number}", ident, 4000, b"x" * 600))
                    message = await read_message(reader)
                    if message is None:
                        raise asyncio.IncompleteReadError(b"", None)
                    answered[0] += 1
                    on_channel += 1
                    await asyncio.sleep(CLIENT_PAUSE_S)
            except (OSError, asyncio.IncompleteReadError):
                if on_channel and ident in worker.runs:
                    cut[index].append(ident)
                    record(f"the channel of {ident} was closed without an answer; the worker had got it")
            finally:
                writer.close()

    async def write_config():
        config["version"] += 3
        config["routes"][0]["timeoutMs"] = 4000 - config["version"] % 2
        value = json.dumps(config).encode()
        assert len(value) <= VALUE_BYTES
        store.put("op/config", value)
        return len(value)

    try:
        for entry in entries:
            await entry.wait_ready()
        await asyncio.sleep(3.5)
        tasks = [asyncio.create_task(supervise(i)) for i in range(ENTRY_HOSTS)]
        tasks += [asyncio.create_task(client(i, c)) for i in range(ENTRY_HOSTS) for c in range(CHANNELS_PER_HOST)]
        for big in range(BIG_CONFIGS):
            for n in range(ROUTES_PER_BIG_CONFIG):
                name = f"idle-{big}-{n}"
                config["routes"].append(route(name, f"/{name}/", "idempotent", "mod-app", 4000))
            size = await write_config()
            record(f"the operator adds {ROUTES_PER_BIG_CONFIG} routes: version {config['version']}, {size} bytes")
            await asyncio.sleep(1)
        writes = 0
        for storm in range(STORMS):
            end = time.monotonic() + STORM_S
            while TROUBLE and time.monotonic() < end:
                await write_config()
                writes += 1
                await asyncio.sleep(STORM_GAP_S)
            await asyncio.sleep(max(end - time.monotonic(), 0) + STORM_PAUSE_S)
            used = [e.memory() >> 20 for e in entries]
            record(f"storm {storm + 1}: {writes} versions so far, {answered[0]} answers, MB in use: {used}")
            if len(kills) >= ENTRY_HOSTS:
                break
        for task in tasks:
            task.cancel()
        cuts = [len(c) for c in cut.values()]
        record(f"{len(kills)} kills for memory, peaks in MB: {[p >> 20 for p in peaks]}; requests that the "
               f"worker had got and that were cut, by machine: {cuts}")
        return BROKEN if max(cuts) > ALLOWED_CUTS else HELD
    finally:
        for entry in entries:
            await entry.clean()


run_case(FOLDER, case)
