"""A stand-in of the state service, as the protocol's page describes it."""

import asyncio
import json
import random
import time

from http2 import NO_ANSWER, Server


class Bucket:
    """Allows `rate` per second, and bursts of `seconds` worth."""

    def __init__(self, rate, seconds):
        self.rate, self.most = rate, rate * seconds
        self.tokens, self.at = self.most, time.monotonic()

    def take(self, count):
        now = time.monotonic()
        self.tokens = min(self.most, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


class StateService:
    def __init__(self, rps=150.0, write_rps=60.0, value_kb=8.0, txn_ops=16, seed=1):
        self.requests, self.writes = Bucket(rps, 1.0), Bucket(write_rps, 1.0)
        self.value_bytes, self.txn_ops = int(value_kb * 1024), txn_ops
        self.keys, self.ledger, self.log = {}, 1, []
        self.leases, self.next_lease = {}, 0
        self.down = False
        self.refused = set()          # controllers that are refused alone
        self.late = None              # (share, least, most): no answer, carried out late
        self.lost = 0.0               # share of transactions whose answers alone are lost
        self.latency = (0.001, 0.004)
        self.random = random.Random(seed)
        self.changed = asyncio.Event()
        self.servers = []
        self.addresses = []
        self.terms = {}               # stamp of the leader's key -> host

    async def start(self, controllers=3):
        for i in range(controllers):
            server = Server(lambda *request, i=i: self.handle(i, *request))
            self.addresses.append(await server.start())
            self.servers.append(server)
        self.ticker = asyncio.create_task(self._tick())

    async def _tick(self):
        while True:
            await asyncio.sleep(0.02)
            self._expire()

    def set_down(self, down):
        self.down = down
        if not down:
            now = time.monotonic()
            for lease in self.leases.values():
                lease[1] = now + lease[0]
        self._notify()

    def refuse(self, controller, refused):
        (self.refused.add if refused else self.refused.discard)(controller)
        self._notify()

    def leader(self):
        found = self.keys.get("leader")
        return found[0]["host"] if found else None

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self):
        if self.down:
            return
        now = time.monotonic()
        for lease in [n for n, (_, ends) in self.leases.items() if ends < now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return
        gone = [key for key, (_, _, held) in self.keys.items() if held == lease]
        if gone:
            self.ledger += 1
            for key in gone:
                del self.keys[key]
                self.log.append((self.ledger, key, None))
            self._notify()

    async def handle(self, controller, method, path, query, body):
        await asyncio.sleep(self.random.uniform(*self.latency))
        if path == "/watch":
            return await self._watch(controller, query)
        if self.down or controller in self.refused:
            return 503, {"error": "trouble"}
        self._expire()
        if not self.requests.take(1):
            return 429, {"error": "too many requests"}
        if path == "/kv":
            return self._list(query)
        if path.startswith("/kv/"):
            key = path[4:]
            if key not in self.keys:
                return 404, {"ledger": self.ledger}
            value, stamp, held = self.keys[key]
            answer = {"path": key, "v": value, "stamp": stamp}
            if held:
                answer["tenancy"] = held
            return 200, answer
        if path == "/multi":
            transaction = json.loads(body)
            if self.late and self.random.random() < self.late[0]:
                delay = self.random.uniform(*self.late[1:])
                asyncio.get_running_loop().call_later(delay, self._multi, transaction, len(body))
                return NO_ANSWER
            answer = self._multi(transaction, len(body))
            if self.lost and self.random.random() < self.lost:
                return NO_ANSWER
            return answer
        if path == "/holds" and method == "POST":
            life = json.loads(body)["life_ms"] / 1000.0
            self.next_lease += 1
            self.leases[self.next_lease] = [life, time.monotonic() + life]
            return 200, {"tenancy": self.next_lease}
        if path.startswith("/holds/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                self._end_lease(lease)
            else:
                self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
            return 200, {}
        return 400, {"error": "malformed"}

    def _multi(self, transaction, size):
        if self.down:
            return 503, {"error": "trouble"}
        self._expire()
        writes, guards = transaction.get("writes", []), transaction.get("guards", [])
        if size > 65536 or len(writes) > self.txn_ops or len(guards) > 4 * self.txn_ops or any(
                len(json.dumps(w.get("v"), separators=(",", ":"))) > self.value_bytes for w in writes if "put" in w):
            return 400, {"error": "too large"}
        if writes and not self.writes.take(len(writes)):
            return 429, {"error": "too many changes"}
        for write in writes:
            if write.get("tenancy") and write["tenancy"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [g["path"] for g in guards if self.keys.get(g["path"], (0, 0, 0))[1] != g["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        if writes:
            self.ledger += 1
            for write in writes:
                if "put" in write:
                    self.keys[write["put"]] = (write["v"], self.ledger, write.get("tenancy"))
                    self.log.append((self.ledger, write["put"], write["v"]))
                    if write["put"] == "leader":
                        self.terms[self.ledger] = write["v"]["host"]
                elif self.keys.pop(write["drop"], None) is not None:
                    self.log.append((self.ledger, write["drop"], None))
            del self.log[:-10000]
            self._notify()
        return 200, {"ledger": self.ledger}

    def _list(self, query):
        prefix, since = query.get("starts", ""), query.get("since", "")
        limit = min(int(query.get("limit", 1000)), 1000)
        names = sorted(k for k in self.keys if k.startswith(prefix) and k > since)
        pairs, size = [], 0
        for name in names[:limit]:
            pair = {"path": name, "v": self.keys[name][0], "stamp": self.keys[name][1]}
            size += len(json.dumps(pair)) + 1
            if size > 500 * 1024:
                break
            pairs.append(pair)
        return 200, {"pairs": pairs, "has_next": len(pairs) < len(names), "ledger": self.ledger}

    async def _watch(self, controller, query):
        if self.down or controller in self.refused:
            return 503, {"error": "trouble"}
        if not self.requests.take(1):
            return 429, {"error": "too many requests"}
        prefix, since = query.get("starts", ""), int(query["since"])
        ends = time.monotonic() + min(int(query.get("hold_ms", 0)), 60000) / 1000.0
        if self.log and len(self.log) >= 10000 and self.log[0][0] > since + 1:
            return 410, {"error": "too old"}
        while True:
            waits = self.down or controller in self.refused
            if not waits:
                found = [{"put": k, "v": v, "stamp": s} if v is not None else {"drop": k, "stamp": s}
                         for s, k, v in self.log if s > since and k.startswith(prefix)]
                left = ends - time.monotonic()
                if found or left <= 0:
                    return 200, {"ledger": self.ledger, "log": found}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), 0.5 if waits else min(left, 0.5))
            except asyncio.TimeoutError:
                pass
