"""A stand-in of the state service, by PROTOCOL, "Controller nodes -> state service"."""

import asyncio
import json
import time
from bisect import bisect_right

from httpio import Server


class Bucket:
    """Allows `rate` units a second, with bursts worth `seconds`."""

    def __init__(self, rate, seconds):
        self.rate, self.most = rate, rate * seconds
        self.units, self.at = self.most, time.monotonic()

    def take(self, units):
        now = time.monotonic()
        self.units = min(self.most, self.units + (now - self.at) * self.rate)
        self.at = now
        if self.units < units:
            return False
        self.units -= units
        return True


class StateService:
    def __init__(self, rps, write_rps, value_kb, txn_ops):
        self.requests, self.changes = Bucket(rps, 1.0), Bucket(write_rps, 1.0)
        self.value_bytes, self.txn_ops = int(value_kb * 1024), txn_ops
        self.revision = 1
        self.keys = {}  # key -> (value, version, lease or None)
        self.leases = {}  # id -> (seconds, expires at)
        self.last_lease = 0
        self.log = []  # (revision, key, value or None), the last 10,000
        self.changed = asyncio.Condition()
        # Called with each transaction before it is judged. It may wait, and returns False
        # if the sender is to get no answer.
        self.on_transaction = None
        # Called with (method, path) of each request; returns a status, or None to serve it.
        self.refuse = None

    async def start(self):
        self.server = Server(self.handle)
        port = await self.server.start()
        asyncio.create_task(self.expire_leases())
        return f"127.0.0.1:{port}"

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [i for i, (_, end) in self.leases.items() if end < now]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        gone = [key for key, (_, _, held) in self.keys.items() if held == lease]
        if gone:
            self.revision += 1
            for key in gone:
                del self.keys[key]
                self.log.append((self.revision, key, None))
            await self.notify()

    async def notify(self):
        del self.log[:-10000]
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, method, path, query, body):
        status = self.refuse and self.refuse(method, path)
        if status:
            return status, {"error": "trouble"}
        if not self.requests.take(1):
            return 429, {"error": "too many requests"}
        await asyncio.sleep(0.002)
        if path == "/kv":
            return self.list(query)
        if path.startswith("/kv/"):
            key = path[len("/kv/"):]
            if key not in self.keys:
                return 404, {"ledger": self.revision}
            value, version, lease = self.keys[key]
            item = {"path": key, "v": value, "stamp": version}
            return 200, item if lease is None else {**item, "tenancy": lease}
        if path == "/multi":
            return await self.transact(json.loads(body))
        if path == "/holds":
            self.last_lease += 1
            seconds = json.loads(body)["life_ms"] / 1000
            self.leases[self.last_lease] = (seconds, time.monotonic() + seconds)
            return 200, {"tenancy": self.last_lease}
        if path.startswith("/holds/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return 404, {}
            if method == "DELETE":
                await self.end_lease(lease)
            else:
                seconds = self.leases[lease][0]
                self.leases[lease] = (seconds, time.monotonic() + seconds)
            return 200, {}
        if path == "/watch":
            return await self.watch(query)
        return 400, {}

    def list(self, query):
        prefix, since = query["starts"], query.get("since", "")
        limit, size, pairs, more = min(int(query.get("limit", 1000)), 1000), 0, [], False
        for key in sorted(k for k in self.keys if k.startswith(prefix) and k > since):
            value, version, _ = self.keys[key]
            size += len(key) + len(json.dumps(value)) + 40
            if len(pairs) == limit or (pairs and size > 512 * 1024):
                more = True
                break
            pairs.append({"path": key, "v": value, "stamp": version})
        return 200, {"pairs": pairs, "has_next": more, "ledger": self.revision}

    async def transact(self, transaction):
        if self.on_transaction and not await self.on_transaction(transaction):
            return None
        return await self.apply(transaction)

    async def apply(self, transaction):
        writes, guards = transaction.get("writes") or [], transaction.get("guards") or []
        if writes and not self.changes.take(len(writes)):
            return 429, {"error": "too many changes"}
        too_large = any(
            "put" in w and len(json.dumps(w["v"], separators=(",", ":"))) > self.value_bytes for w in writes
        )
        if too_large or len(writes) > self.txn_ops or len(guards) > 4 * self.txn_ops:
            return 400, {"error": "too large"}
        if any(w.get("tenancy") is not None and w["tenancy"] not in self.leases for w in writes):
            return 400, {"error": "no such lease"}
        failed = [g["path"] for g in guards if self.version(g["path"]) != g["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.revision}
        if writes:
            self.revision += 1
            for write in writes:
                if "put" in write:
                    self.keys[write["put"]] = (write["v"], self.revision, write.get("tenancy"))
                    self.log.append((self.revision, write["put"], write["v"]))
                else:
                    self.keys.pop(write["drop"], None)
                    self.log.append((self.revision, write["drop"], None))
            await self.notify()
        return 200, {"ledger": self.revision}

    def version(self, key):
        return self.keys[key][1] if key in self.keys else 0

    async def watch(self, query):
        prefix, since = query["starts"], int(query["since"])
        end = time.monotonic() + min(int(query.get("hold_ms", 0)), 60000) / 1000
        while True:
            if len(self.log) >= 10000 and since < self.log[0][0] - 1:
                return 410, {}
            first = bisect_right(self.log, since, key=lambda entry: entry[0])
            events = [
                {"drop": key, "stamp": at} if value is None else {"put": key, "v": value, "stamp": at}
                for at, key, value in self.log[first:]
                if key.startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"ledger": self.revision, "log": events}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    def leader(self):
        return self.keys["leader"][0]["host"] if "leader" in self.keys else None
