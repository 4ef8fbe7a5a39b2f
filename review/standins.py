"""Stand-ins for the cases of this folder: the platform's store, backend servers, the
supervisor of entry hosts, and clients. Standard library only; loopback addresses only."""

import asyncio
import base64
import collections
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ENTRY = os.path.join(ROOT, "target", "release", "geranium-entry")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

BROKEN, HELD, NOT_RUN = 1, 0, 2

# historyS of the sites: the store drops older changes.
HISTORY_S = 20.0


# Bounds of grown/claros-lima-grown.toml where they differ from those of the small site.
BOUNDS_GROWN = {"stableMs": 4000, "ackMs": 6000, "catchUpS": 6, "drainMs": 3000,
                "configApplyMs": 3000, "maxSkewMs": 6000, "retrySlack": 244, "recoveryS": 15,
                "passMs": 200}


class CannotRun(Exception):
    """The case could not run; this says nothing about the rule."""


def loopback_address():
    """Returns an address of the loopback network that this run has for itself."""
    while True:
        ip = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((ip, 9464))
                return ip
            except OSError:
                continue


def free_ports(ip, count):
    """Returns ports below the ephemeral range that are free for TCP and UDP."""
    ports = []
    while len(ports) < count:
        port = random.randint(10_000, 30_000)
        try:
            with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
                tcp.bind((ip, port))
                udp.bind((ip, port))
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return sorted(ports)


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.began:8.3f} s  {text}"
        print(line, file=self.file, flush=True)


async def read_message(reader):
    """Reads one HTTP/1.1 message with a length; returns its first line, headers and body,
    or None if the channel was closed before it began."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as e:
        if e.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await read_chunks(reader)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body


def response(status, headers, body=b""):
    """Returns the bytes of a response with a length."""
    reason = {200: "OK", 404: "Not Found", 412: "Precondition Failed", 410: "Gone"}
    lines = [f"HTTP/1.1 {status} {reason.get(status, 'Status')}"]
    lines += [f"{k}: {v}" for k, v in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.rev = 1
        self.items = {}
        self.history = []
        self.times = collections.deque()
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.oldest = 0
        self.era = 1
        self.away = False
        self.copy = None
        self.writers = set()
        # The largest revision from which a watch went on, by era.
        self.read_up_to = {}

    async def start(self, ip):
        self.ip = ip
        self.server = await asyncio.start_server(self._serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.expiry = asyncio.create_task(self._expire())
        return self

    def put(self, key, value, lease=0):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.rev += 1
        created = self.items[key]["createRev"] if key in self.items else self.rev
        self.items[key] = {
            "key": key, "value": base64.b64encode(value).decode(), "revision": self.rev,
            "createRev": created, "lease": lease,
        }
        self._remember(dict(self.items[key]))

    def delete(self, key):
        if self.items.pop(key, None):
            self.rev += 1
            self._remember({"key": key, "revision": self.rev, "deleted": True})

    def _remember(self, event):
        """Adds an event to the history, and drops what is older than `historyS`."""
        now = time.monotonic()
        self.history.append(event)
        self.times.append(now)
        while now - self.times[0] > HISTORY_S:
            self.times.popleft()
            self.oldest = self.history.pop(0)["revision"]
        self._notify()

    def take_copy(self):
        """Takes the copy from which the store comes back after a drill."""
        items = {k: dict(i) for k, i in self.items.items()}
        leases = {n: list(l) for n, l in self.leases.items()}
        self.copy = (self.rev, items, leases)

    async def drill(self, away_s):
        """The store is away for a moment and comes back from its copy."""
        self.away = True
        for writer in list(self.writers):
            writer.transport.abort()
        self._notify()
        await asyncio.sleep(away_s)
        self.rev, self.items, self.leases = self.copy
        # A watch from before the copy gets 410.
        self.history = []
        self.times.clear()
        self.oldest = self.rev
        now = time.monotonic()
        for lease in self.leases.values():
            lease[1] = now + lease[0]
        self.era += 1
        self.away = False

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [n for n, l in self.leases.items() if l[1] <= now]:
                self._end(lease)

    def _end(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.delete(key)

    async def _serve(self, reader, writer):
        if self.away:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                status, answer = await self._answer(*message)
                body = json.dumps(answer).encode()
                headers = {"Content-Type": "application/json", "Store-Era": self.era}
                writer.write(response(status, headers, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, line, headers, body):
        method, target, _ = line.split(" ", 2)
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        path = url.path
        if path == "/-/kv-range":
            prefix, after = unquote(query.get("prefix", "")), unquote(query.get("after", ""))
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.items[k] for k in keys[:500]]
            return 200, {"items": page, "morePages": len(keys) > 500, "currentRev": self.rev}
        if path == "/-/kv-key":
            item = self.items.get(unquote(query.get("key", "")))
            return (200, dict(item, currentRev=self.rev)) if item else (404, {})
        if path == "/-/kv-watch":
            return await self._watch(query)
        if path == "/-/kv-txn":
            return self._transact(json.loads(body))
        if path == "/-/kv-lease":
            ttl = json.loads(body)["ttlMs"]
            self.next_lease += 1
            self.leases[self.next_lease] = [ttl / 1000, time.monotonic() + ttl / 1000]
            return 200, {"lease": self.next_lease, "ttlMs": ttl}
        number = int(path.rsplit("/", 1)[1]) if path.rsplit("/", 1)[1].isdigit() else 0
        if path.startswith("/-/kv-keep/"):
            if number not in self.leases:
                return 404, {}
            self.leases[number][1] = time.monotonic() + self.leases[number][0]
            return 200, {"ttlMs": int(self.leases[number][0] * 1000)}
        if path.startswith("/-/kv-lease-end/"):
            self._end(number)
            return 200, {}
        return 404, {}

    async def _watch(self, query):
        prefix, after = unquote(query.get("prefix", "")), int(query["after"])
        self.read_up_to[self.era] = max(after, self.read_up_to.get(self.era, 0))
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changed = self.changed
            if after > self.rev or after < self.oldest:
                return 410, {}
            events = [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.rev}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transact(self, call):
        for row in call.get("precondition", []):
            if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                keys = [r["key"] for r in call["precondition"]]
                return 412, {"items": [self.items[k] for k in keys if k in self.items]}
        if any(w.get("lease") and w["lease"] not in self.leases for w in call.get("writes", [])):
            return 404, {}
        for write in call.get("writes", []):
            self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
        for key in call.get("remove", []):
            self.delete(key)
        return 200, {"revision": self.rev}


class Server:
    """A backend server. `run(headers, body, writer)` works on a request; it returns the
    bytes of a response, or None if it has written the response itself."""

    HEARTBEAT_S = 1.2

    def __init__(self, store, ident, service, run, record, zone="lima-a"):
        self.store, self.id, self.service, self.run, self.record = store, ident, service, run, record
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.runs = []

    async def start(self, ip):
        self.server = await asyncio.start_server(self._serve, ip, 0, limit=1 << 23)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.beat = asyncio.create_task(self._beat())
        return self

    async def _beat(self):
        while True:
            self.seq += 1
            self.store.put(f"servers/{self.id}", {
                "service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": 64, "state": "ready", "coldLeftMs": 0,
                "seq": self.seq, "born": self.born,
            })
            await asyncio.sleep(self.HEARTBEAT_S)

    async def _serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                if headers.get("expect-instance", self.id) != self.id:
                    writer.write(response(421, {"Instance-Id": self.id, "Not-Executed": "1"}))
                    continue
                ident = headers.get("request-id", "-")
                self.runs.append(ident)
                self.record(f"server {self.id} runs {ident}: {line}, {len(body)} bytes")
                answer = await self.run(headers, body, writer)
                if answer is not None:
                    writer.write(answer)
                await writer.drain()
                self.record(f"server {self.id} has answered {ident}")
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def origin_headers(headers, server_id):
    """Returns the headers that each answer of a backend server bears."""
    return {"Request-Id": headers["request-id"], "Origin-Stamp": f"stamp.{server_id}"}


def configuration(routes, services):
    """Returns a configuration; the limits are those of the examples of the pages."""
    return {
        "version": 7, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }


def route(name, prefix, kind, service, timeout_ms, **more):
    return dict({
        "name": name, "host": "mod.example", "prefix": prefix, "kind": kind,
        "timeoutMs": timeout_ms, "targetLatencyMs": 300, "priority": 1, "service": service,
        "maxAttempts": 1, "public": False,
    }, **more)


def service(name):
    return {"name": name, "healthPath": "/health", "maxConns": 308, "protocol": "h1",
            "tls": False, "coldStartS": 0.0, "coldPerS": 0.0}


class Entry:
    """The supervisor of one entry host: starts, signals, restarts and ends its process."""

    def __init__(self, store, name, record, memory_mb=260, grace_s=8, bounds=None):
        self.record, self.name, self.grace_s, self.memory_mb = record, name, grace_s, memory_mb
        self.ip = loopback_address()
        front, ready, control, first, last = free_ports(self.ip, 5)
        self.front, self.ready_port = (self.ip, front), ready
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.settings = {
            "nodeName": name, "role": "entry", "machineClass": "front", "serves": ["front"],
            "ip": self.ip, "zone": "lima-a", "region": "pe-lima", "zones": {"lima-a": "pe-lima"},
            "listen": {"front": f"{self.ip}:{front}", "readyAddr": f"{self.ip}:{ready}",
                       "control": f"{self.ip}:{control}"},
            "internalPorts": [first, last], "seeds": [], "firstStart": True,
            "faultCounted": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": memory_mb, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine",
                          "stream", "tenants", "places", "platform", "gangs"],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": {
                "seedLagS": 3, "addrReuseS": 2, "stableMs": 3000, "ackMs": 4000, "catchUpS": 4,
                "drainMs": 2000, "graceS": grace_s, "lossSlackMs": 200, "configApplyMs": 2000,
                "rollbackSlackMs": 250, "maxSkewMs": 5000, "revokeFailClosed": False,
                "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
                "retrySlack": 107, "coldOverage": 1.5, "coldSlack": 5, "evacuateMs": 5000,
                "recoveryS": 12, "passMs": 120, "againS": 0, "stallMs": 6000,
                "requireFencing": False, "ceilingWindowS": 5, "ceilingOverage": 1.1},
            "provider": {"address": store.address, "form": "kv", "writesPerS": 400,
                         "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576,
                         "ttlMinMs": 1000},
        }
        self.settings["bounds"].update(bounds or {})
        self.process = None

    async def start(self):
        if not os.access(ENTRY, os.X_OK):
            raise CannotRun("the program is not built")
        path = os.path.join(self.dir, "node.json")
        with open(path, "w") as f:
            json.dump(self.settings, f)
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["GERANIUMCOURSE_NODE_FILE"] = path
        self.log = open(os.path.join(self.dir, "log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            ENTRY, cwd=ROOT, env=env, stdout=self.log, stderr=self.log)
        self.record(f"platform starts {self.name}")
        return self

    async def wait_ready(self, timeout=20):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if await self.is_ready():
                self.record(f"{self.name} is ready")
                return self
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready in time")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
        except OSError:
            return False
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1)
            return bool(message) and " 200" in message[0]
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    def memory(self):
        """Returns the resident memory of the process in bytes."""
        try:
            with open(f"/proc/{self.process.pid}/status") as f:
                line = next((l for l in f if l.startswith("VmRSS:")), None)
            return int(line.split()[1]) * 1024 if line else 0
        except OSError:
            return 0

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.record(f"platform sends signal {signal.Signals(number).name} to {self.name}")
            self.process.send_signal(number)

    async def stop(self):
        """Ends the process, if it still runs."""
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def clean(self):
        await self.stop()
        self.log.close()
        shutil.rmtree(self.dir, ignore_errors=True)


def request(method, path, ident, deadline_ms, body=b"", **headers):
    """Returns the bytes of a client's request."""
    lines = [f"{method} {path} HTTP/1.1", "Host: mod.example", f"Request-Id: {ident}",
             f"Deadline-Ms: {deadline_ms}"]
    lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def run_case(folder, case):
    """Runs a case and exits with its result."""
    record = Record(folder)
    record(f"TROUBLE={'1' if TROUBLE else '0'}")

    async def limited():
        return await asyncio.wait_for(case(record), 110)

    try:
        result = asyncio.run(limited())
    except Exception as e:  # An error of the case says nothing about the rule.
        record(f"could not run: {type(e).__name__} {e}")
        sys.exit(NOT_RUN)
    record("the rule is broken" if result == BROKEN else "the rule holds")
    sys.exit(result)
