"""A stand-in of a model worker that takes orders, as PROTOCOL.md tells them."""

import asyncio
import json
import time

from standins import read_message, response

REPORT_LAG_S = 0.2
JOIN_AGAIN_S = 0.2


class Engine:
    """A worker. `late(order)` returns after how many seconds an order that gets no answer is
    carried out, or None for an order that is answered."""

    HEARTBEAT_S = 1.2
    domain = "lima-a-d1"

    def __init__(self, store, ident, service, model, load_s, warm_s, form_s, fleet, late, record):
        self.store, self.id, self.service, self.record = store, ident, service, record
        self.model_name, self.load_s, self.warm_s, self.form_s = model, load_s, warm_s, form_s
        self.fleet, self.late = fleet, late
        fleet[ident] = self
        self.born = int(time.time() * 1000)
        self.beats = 0
        self.seq = 0
        self.group = None
        self.members = []
        self.model = None
        self.last_model = None
        self.staged = []
        self.loading = None
        self.newest_epoch = 0
        self.states = []
        self.joined_elsewhere = []

    async def start(self, ip):
        self.server = await asyncio.start_server(self._serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.beat = asyncio.create_task(self._beat())
        self._changed()
        return self

    async def _beat(self):
        while True:
            await asyncio.sleep(self.HEARTBEAT_S)
            self._write_entry()

    def _changed(self):
        self.states.append((time.monotonic(), self._report()))
        self._write_entry()

    def _models(self):
        return [{"name": self.model, "version": 1, "adapters": []}] if self.model else []

    def _write_entry(self):
        self.beats += 1
        entry = {
            "service": self.service, "address": self.address, "zone": "lima-a", "version": "v1",
            "slots": 17, "state": "ready", "coldLeftMs": 0, "phase": "colocated",
            "models": self._models(), "domain": self.domain, "staged": list(self.staged),
            "born": self.born, "seq": self.beats,
        }
        if self.group:
            entry["group"] = dict(self.group)
        self.store.put(f"servers/{self.id}", entry)

    def _report(self):
        report = {
            "phase": "colocated", "models": self._models(), "domain": self.domain,
            "staged": list(self.staged), "born": self.born, "busy": False, "seq": self.seq,
            "queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 1860000, "handles": 0,
        }
        if self.group:
            report["group"] = dict(self.group)
        return report

    async def _serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                path = line.split(" ")[1]
                if path == "/-/report":
                    as_of = time.monotonic() - REPORT_LAG_S
                    report = [s for t, s in self.states if t <= as_of or s is self.states[0][1]][-1]
                    writer.write(response(200, {"Content-Type": "application/json"}, json.dumps(report).encode()))
                elif path == "/-/order":
                    if headers.get("expect-instance", self.id) != self.id:
                        writer.write(response(421, {"Instance-Id": self.id, "Not-Executed": "1"}))
                        continue
                    order = json.loads(body)
                    delay = self.late(self, order)
                    if delay is not None:
                        self.record(f"{self.id} leaves unanswered, and carries out {delay} s later: {self._text(order)}")
                        asyncio.create_task(self._later(order, delay))
                        continue
                    status = self._order(order)
                    self.record(f"{self.id} answers {status} to {self._text(order)}; its seq is {self.seq}")
                    writer.write(response(status, {}, b""))
                else:
                    writer.write(response(503, {"Request-Id": headers.get("request-id", "-"), "Not-Executed": "1"}))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _later(self, order, delay):
        await asyncio.sleep(delay)
        before = self.seq
        status = self._order(order)
        self.record(f"{self.id} carries out late, with {status} (seq {before} -> {self.seq}): {self._text(order)}")

    @staticmethod
    def _text(order):
        name = order.get("group") or order.get("model")
        return f"{order['op']} {name} with precondition {order.get('precondition')}"

    def _order(self, order):
        """Carries out an order; returns the status of the answer. `seq` increases only if the
        order begins something."""
        if "precondition" in order and order["precondition"] != self.seq:
            return 409
        return getattr(self, "_" + order["op"])(order)

    def _in(self, order):
        return self.group and self.group["name"] == order["group"] and self.group["epoch"] == order["epoch"]

    def _join(self, order):
        if self._in(order):
            return 200 if self.members == order["members"] else 412
        if order["epoch"] < self.newest_epoch:
            return 412
        self._check_one_group(order)
        self.newest_epoch = order["epoch"]
        self.seq += 1
        self.members = order["members"]
        self.group = {"name": order["group"], "epoch": order["epoch"],
                      "rank": order["members"].index(self.id), "state": "joining"}
        if self.last_model == order["model"]:
            takes = JOIN_AGAIN_S
        elif order["model"] in self.staged:
            takes = self.warm_s
        else:
            takes = self.load_s
        self._changed()
        asyncio.create_task(self._become(dict(self.group), "ready", takes, order["model"]))
        return 202

    def _check_one_group(self, order):
        """Notes whether this worker takes a join while the head of its group is open."""
        if not self.group:
            return
        head = self.fleet[self.members[0]]
        if head.group and head.group["name"] == self.group["name"] and head.group["state"] in ("open", "closing"):
            text = (f"{self.id} takes the join of {order['group']} while {head.id}, the head of its group "
                    f"{self.group['name']}, is {head.group['state']}")
            self.record(text)
            self.joined_elsewhere.append(text)

    async def _become(self, group, state, takes, model=None):
        await asyncio.sleep(takes)
        if not self.group or (self.group["name"], self.group["epoch"]) != (group["name"], group["epoch"]):
            return
        self.group["state"] = state
        if model:
            self.model = self.last_model = model
            if model not in self.staged:
                self.staged = [model]
        self._changed()

    def _open(self, order):
        if not self._in(order) or self.group["rank"] != 0 or self.group["state"] != "ready":
            return 409
        self.seq += 1
        self._changed()
        asyncio.create_task(self._become(dict(self.group), "open", self.form_s))
        return 202

    def _close(self, order):
        if not self._in(order) or self.group["state"] != "open":
            return 409
        self.seq += 1
        self.group["state"] = "ready"
        self._changed()
        return 200

    def _leave(self, order):
        if not self._in(order):
            return 200
        self.seq += 1
        self.group, self.members = None, []
        self._changed()
        return 200

    def _phase(self, order):
        if order["model"] in self.staged:
            return 200
        if self.loading == order["model"]:
            return 202
        self.seq += 1
        self.loading = order["model"]
        self._changed()
        asyncio.create_task(self._load(order["model"]))
        return 202

    async def _load(self, model):
        await asyncio.sleep(self.load_s)
        self.loading = None
        self.staged = [model]
        self._changed()
