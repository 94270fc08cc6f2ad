"""Stand-ins of the cloud and of the workers on its machines, as the protocol's page
describes them. What tasks do is told to the `world` (see world.py)."""

import asyncio
import json
import random
import time

from http2 import NO_ANSWER, Server, request
from state import Bucket


class Cloud:
    def __init__(self, world, types, capacity, rps=3.0, list_lag_s=12.0, boot=(1.0, 2.0), seed=1):
        self.world, self.types, self.capacity = world, types, dict(capacity)
        self.requests, self.lag = Bucket(rps, 2.0), list_lag_s
        self.boot, self.random = boot, random.Random(seed)
        self.machines, self.hires, self.next_name = {}, {}, 0
        self.down = False
        self.refused_releases = 0
        self.lost_releases = 0.0      # share of releases without an answer, carried out late
        self.snapshots = []
        self.server = Server(self.handle)

    async def start(self):
        self.address = await self.server.start()
        self.ticker = asyncio.create_task(self._tick())

    async def _tick(self):
        while True:
            now = time.monotonic()
            self.snapshots.append((now, [m.listed(now) for m in self.machines.values() if m.in_list()]))
            while self.snapshots and self.snapshots[0][0] < now - 3 * self.lag - 2:
                self.snapshots.pop(0)
            await asyncio.sleep(0.25)

    async def add(self, rig, yard, loaners, boot_s):
        self.next_name += 1
        machine = Machine(self, "i-%06d" % self.next_name, rig, yard, loaners)
        machine.address = await machine.server.start()
        self.machines[machine.name] = machine
        machine.begin(boot_s)
        return machine

    def remove(self, name):
        """The machine and everything on it are gone; it leaves the list."""
        machine = self.machines.pop(name, None)
        if machine:
            machine.end("gone")

    def take(self, name):
        """The cloud takes a spot machine back, without a notice."""
        self.world.note("cloud", "machine %s is taken back" % name)
        self.remove(name)

    def die(self, name):
        """The machine stops on its own; it is listed as running for 30 s more, then failed."""
        self.world.note("cloud", "machine %s stops" % name)
        self.machines[name].end("died")

    async def handle(self, method, path, query, body):
        await asyncio.sleep(self.random.uniform(0.02, 0.1))
        if self.down:
            self.world.note("cloud", "%s %s answered 503 trouble" % (method, path))
            self.refused_releases += path == "/hosts/release"
            return 503, {"error": "trouble"}
        if not self.requests.take(1):
            return 429, {"error": "too many requests"}
        if path == "/machine_types":
            return 200, {"rigs": self.types}
        if path == "/hosts/release":
            names = json.loads(body)["racks"]
            if self.lost_releases and self.random.random() < self.lost_releases:
                self.world.note("cloud", "release of %s gets no answer, carried out late" % names)
                for name in names:
                    asyncio.get_running_loop().call_later(self.random.uniform(2, 12), self.remove, name)
                return NO_ANSWER
            self.world.note("cloud", "release of %s" % names)
            for name in names:
                self.remove(name)
            return 200, {}
        if path == "/hosts" and method == "POST":
            return await self._hire(json.loads(body))
        if path == "/hosts":
            return self._list(query)
        return 400, {"error": "malformed"}

    async def _hire(self, hire):
        if hire["hire"] in self.hires:
            return 200, {"racks": self.hires[hire["hire"]]}
        offer = (hire["rig"], hire["yard"], hire["loaners"])
        used = sum(1 for m in self.machines.values() if (m.rig, m.yard, m.loaners) == offer and m.state != "failed")
        count = min(hire["count"], 50, self.capacity.get(offer, 0) - used)
        if count <= 0:
            return 503, {"error": "no capacity"}
        names = []
        for _ in range(count):
            machine = await self.add(*offer, boot_s=self.random.uniform(*self.boot))
            names.append(machine.name)
        self.hires[hire["hire"]] = names
        self.world.note("cloud", "%s rents %s" % (hire["hire"], names))
        return 200, {"racks": names}

    def _list(self, query):
        age = self.lag * self.random.uniform(1.0, 1.8)
        at = time.monotonic() - age
        past = [s for s in self.snapshots if s[0] <= at]
        racks = past[-1][1] if past else []
        since, limit = query.get("since", ""), min(int(query.get("limit", 500)), 500)
        after = [r for r in racks if r["name_id"] > since]
        return 200, {"racks": after[:limit], "has_next": len(after) > limit}


class Task:
    def __init__(self, lot, attempt, state, cause=None):
        self.lot, self.attempt, self.state, self.cause = lot, attempt, state, cause
        self.saved = None
        self.ends = None              # when what it does now is over

    def report(self):
        entry = {"lot": self.lot, "try": self.attempt, "standing": self.state}
        if self.cause:
            entry["cause"] = self.cause
        if self.saved:
            entry["saved"] = True
        return entry


class Machine:
    """A machine and its worker."""

    def __init__(self, cloud, name, rig, yard, loaners):
        self.cloud, self.world, self.name = cloud, cloud.world, name
        self.rig, self.yard, self.loaners = rig, yard, loaners
        self.type = next(t for t in cloud.types if t["label"] == rig)
        self.random = random.Random(name)
        self.created = time.monotonic()
        self.state, self.ended_at = "starting", None
        self.server = Server(self.handle)
        self.tenure, self.tick, self.gavel = 1, 0, 0
        self.lots, self.images, self.recall_at = {}, set(), None
        self.hanging, self.deaf, self.mute = False, False, False
        self.resumed = asyncio.Event()
        self.changed = asyncio.Event()
        self.node = self.random.randrange(len(self.world.nodes))

    def begin(self, boot_s):
        if boot_s > 0:
            asyncio.create_task(self._boot(boot_s))
        else:
            self._up()

    async def _boot(self, boot_s):
        await asyncio.sleep(boot_s)
        if self.ended_at is None:
            self._up()

    def _up(self):
        self.state, self.lease_from = "running", time.monotonic()
        self.loops = [asyncio.create_task(self._reports()), asyncio.create_task(self._run())]

    def in_list(self):
        return True

    def listed(self, now):
        state = self.state
        if self.ended_at is not None and now > self.ended_at + 30.0:
            state = self.state = "failed"
        return {"name_id": self.name, "endpoint": self.address, "rig": self.rig, "yard": self.yard,
                "loaners": self.loaners, "standing": state, "age_s": round(now - self.created, 1)}

    def end(self, why):
        if self.ended_at is None:
            self.ended_at = time.monotonic()
            self._forget(why)
            self.server.stop()
            for loop in getattr(self, "loops", []):
                loop.cancel()

    def is_up(self):
        return self.state == "running" and self.ended_at is None

    def cpus_free(self):
        live = [t for t in self.lots.values() if t.state != "ended"]
        return self.type["cpus"] - sum(self.world.jobs[t.lot.split("/")[0]]["cpus"] for t in live)

    def hang(self):
        self.world.note("worker", "%s hangs" % self.name)
        self.hanging, self.hung_at = True, time.monotonic()

    def resume(self):
        self.world.note("worker", "%s goes on" % self.name)
        stood = time.monotonic() - self.hung_at
        for task in self.lots.values():
            if task.ends is not None:
                task.ends += stood
        self.hanging = False
        self._check_lease()
        self.resumed.set()
        self.resumed = asyncio.Event()

    async def _wait_while_hanging(self):
        while self.hanging:
            await self.resumed.wait()

    # Tasks

    def _forget(self, why):
        for task in self.lots.values():
            if task.state in ("running", "flushing"):
                self.world.task_left(self, task, why)
        self.lots = {}

    def _check_lease(self):
        lease_s = self.world.workers["lease_s"]
        if time.monotonic() - self.lease_from > lease_s:
            self.world.note("worker", "%s: lease of session %d is over" % (self.name, self.tenure))
            self._forget("lease over")
            self.tenure, self.lease_from = self.tenure + 1, time.monotonic()
            self._change()

    def _change(self):
        self.changed.set()

    async def _run(self):
        while True:
            await asyncio.sleep(0.02)
            if self.hanging:
                # Its tasks are lost at the end of the lease, also if it never goes on.
                if time.monotonic() - self.lease_from > self.world.workers["lease_s"]:
                    self._forget("lease over while it hangs")
                continue
            self._check_lease()
            now = time.monotonic()
            for task in list(self.lots.values()):
                if task.ends is not None and now >= task.ends:
                    self._advance(task, now)

    def _advance(self, task, now):
        job = self.world.jobs[task.lot.split("/")[0]]
        if task.state == "fetching":
            self.images.add(job["kit"])
            if task.lot in self.world.done_lots:
                task.state, task.cause, task.ends = "ended", "done", None
                self.world.task_started(self, task)
                self.world.task_done(self, task)
            else:
                task.state = "running"
                task.ends = now + self.world.run_time(task.lot)
                self.world.task_started(self, task)
        elif task.state == "running":
            task.state, task.ends = "ended", None
            task.cause = "error" if self.world.fails(task.lot, self) else "done"
            if task.cause == "done":
                self.world.task_done(self, task)
            else:
                self.world.task_left(self, task, "error")
        elif task.state == "flushing":
            task.state, task.cause, task.saved, task.ends = "ended", "halted", True, None
            self.world.task_left(self, task, "halted, saved")
        self._change()

    def _execute(self, order):
        lot, attempt = order["lot"], order["try"]
        task = self.lots.get((lot, attempt))
        if order["order"] == "start":
            if task is None:
                self.lots[lot, attempt] = self._start(lot, attempt)
                self._change()
        elif order["order"] == "kill":
            if task is None or task.state == "ended":
                return
            job = self.world.jobs[lot.split("/")[0]]
            saves = job["tally_s"] > 0 and order["leeway_s"] >= job["stow_s"]
            if task.state == "running" and saves:
                task.state, task.ends = "flushing", time.monotonic() + job["stow_s"]
            elif task.state != "flushing" or order["leeway_s"] == 0:
                was, task.state, task.cause, task.ends = task.state, "ended", "halted", None
                if was != "fetching":
                    self.world.task_left(self, task, "halted")
            self._change()
        elif order["order"] == "reap" and task is not None and task.state == "ended":
            del self.lots[lot, attempt]
            self._change()

    def _start(self, lot, attempt):
        job = self.world.jobs.get(lot.split("/")[0])
        if job is None or int(lot.split("/")[1]) >= job["lots"]:
            return Task(lot, attempt, "ended", "no_such")
        live = [t for t in self.lots.values() if t.state != "ended"]
        if any(t.lot == lot for t in live):
            return Task(lot, attempt, "ended", "in_use")
        jobs = [self.world.jobs[t.lot.split("/")[0]] for t in live] + [job]
        for have, need in (("cpus", "cpus"), ("memory_gb", "memory_gb"), ("accelerators", "accelerators")):
            if sum(j[need] for j in jobs) > self.type.get(have, 0) + 1e-9:
                return Task(lot, attempt, "ended", "full")
        task = Task(lot, attempt, "fetching")
        fetch = 0.0 if job["kit"] in self.images else job["size_gb"] / self.type["fetch_gb_per_s"]
        task.ends = time.monotonic() + fetch
        self.world.note("worker", "%s takes start of %s try %d" % (self.name, lot, attempt))
        return task

    # Messages

    def _report(self):
        self.tick += 1
        recall = None if self.recall_at is None else max(0.0, self.recall_at - time.monotonic())
        return {"rack": self.name, "endpoint": self.address, "rig": self.rig, "yard": self.yard,
                "loaners": self.loaners, "tenure": self.tenure, "tick": self.tick, "gavel": self.gavel,
                "recall_s": recall, "lots": [t.report() for t in self.lots.values()]}

    async def handle(self, method, path, query, body):
        await self._wait_while_hanging()
        if not self.is_up():
            return NO_ANSWER
        if self.deaf:
            return NO_ANSWER
        if path == "/show":
            return 200, self._report()
        batch = json.loads(body)
        if "gavel" not in batch or "tenure" not in batch:
            return 400, {"error": "malformed"}
        if not await self.world.passes_commands(self, batch):
            return NO_ANSWER
        delay = self.world.command_delay(self)
        if delay:
            await asyncio.sleep(delay)
            await self._wait_while_hanging()
            if not self.is_up():
                return NO_ANSWER
        self._check_lease()
        if batch["gavel"] < self.gavel or batch["tenure"] != self.tenure:
            return 409, self._report()
        if batch["gavel"] > self.gavel:
            self.gavel = batch["gavel"]
            self._change()
        for order in batch["orders"]:
            self._execute(order)
        report = self._report()
        return NO_ANSWER if delay or self.world.loses_command_answer(self) else (200, report)

    async def _reports(self):
        pace = self.world.workers["report_s"]
        pause = 0.0
        while True:
            try:
                await asyncio.wait_for(self.changed.wait(), pause)
            except asyncio.TimeoutError:
                pass
            self.changed.clear()
            await self._wait_while_hanging()
            self._check_lease()
            sent = time.monotonic()
            pause = pace * self.random.uniform(0.75, 1.25)
            if not self.mute:
                wait = await self._send_report(sent)
                if wait is not None:
                    await asyncio.sleep(wait)
                    pause = 0.0
            # No more often than every half second.
            await asyncio.sleep(max(0.0, sent + 0.5 - time.monotonic()))

    async def _send_report(self, sent):
        """Sends a report; returns the pause before the next one if it has to go elsewhere."""
        nodes = self.world.nodes
        node, tenure, report = nodes[self.node], self.tenure, self._report()
        if not self.world.reaches(self, node):
            await asyncio.sleep(4.0)
            status, answer = 0, None
        else:
            self.world.copy_report(node, report)
            status, answer = await request(node.api, "POST", "/v1/report", report, 4.0)
        await self._wait_while_hanging()
        if time.monotonic() - sent > 4.0:
            status, answer = 0, None
        if status == 200 and not self.deaf:
            self._check_lease()
            if answer.get("gavel", -1) >= self.gavel and self.tenure == tenure:
                if answer["gavel"] > self.gavel:
                    self.gavel = answer["gavel"]
                self.lease_from = max(self.lease_from, sent)
                for order in answer.get("orders", []):
                    self._execute(order)
            return None
        if status == 421 and answer and not self.deaf:
            named = [i for i, n in enumerate(nodes) if n.name == answer.get("answer_to")]
            if named and named[0] != self.node:
                self.node = named[0]
                return self.random.uniform(0.0, 0.5)
        self.node = (self.node + 1) % len(nodes)
        return 1.0
