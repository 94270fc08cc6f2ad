"""Stand-ins of the cloud and of the workers on its machines, by PROTOCOL."""

import asyncio
import json
import random
import time

from httpio import Client, Server
from state_service import Bucket


class Task:
    def __init__(self, attempt, job):
        self.attempt, self.job = attempt, job
        self.state, self.cause, self.saved = "fetching", None, None
        self.timer = None


class Worker:
    """The worker of one machine."""

    def __init__(self, cloud, machine):
        self.cloud, self.machine = cloud, machine
        self.tenure, self.tick, self.gavel = 1, 0, 0
        self.tasks, self.images = {}, set()
        self.renewed = time.monotonic()
        self.changed = asyncio.Event()
        self.server = Server(self.handle)
        self.server.on_oversized = lambda path, length: cloud.note(
            "body_too_large", rack=machine["name_id"], path=path, bytes=length
        )
        self.awake = asyncio.Event()  # cleared while the machine hangs
        self.awake.set()
        self.recall_at = None  # when the cloud takes the machine away, if it gave notice

    async def start(self):
        port = await self.server.start()
        self.address = f"127.0.0.1:{port}"
        self.reporting = asyncio.create_task(self.report_forever())
        self.leasing = asyncio.create_task(self.watch_lease())

    def end(self, why):
        """The machine is gone, with all that is on it."""
        self.reporting.cancel()
        self.leasing.cancel()
        self.server.stop()
        self.drop_tasks(why)

    def drop_tasks(self, why):
        for lot, task in self.tasks.items():
            if task.timer:
                task.timer.cancel()
            if task.state == "running":
                self.cloud.note("task_gone", lot=lot, rack=self.machine["name_id"], why=why)
        self.tasks = {}

    # Reports

    def report(self):
        self.tick += 1
        lots = []
        for lot, task in self.tasks.items():
            entry = {"lot": lot, "try": task.attempt, "standing": task.state}
            if task.cause:
                entry["cause"] = task.cause
            if task.saved is not None:
                entry["saved"] = task.saved
            lots.append(entry)
        machine = self.machine
        recall_s = None if self.recall_at is None else max(0.0, self.recall_at - time.monotonic())
        return {
            "rack": machine["name_id"], "endpoint": self.address, "rig": machine["rig"],
            "yard": machine["yard"], "loaners": machine["loaners"], "tenure": self.tenure,
            "tick": self.tick, "gavel": self.gavel, "recall_s": recall_s, "lots": lots,
        }

    async def report_forever(self):
        hosts, timing = self.cloud.controllers, self.cloud.workers
        index = random.randrange(len(hosts))
        client = Client(hosts[index][1])
        while True:
            await self.awake.wait()
            self.changed.clear()
            sent, tenure = time.monotonic(), self.tenure
            pause = None
            try:
                status, body, _ = await client.request("POST", "/v1/report", self.report(), 4.0)
            except (OSError, asyncio.TimeoutError):
                status, body = 0, None
            if status == 200:
                self.take_response(body, sent, tenure)
            else:
                client.close()
                named = (body or {}).get("answer_to") if status == 421 else None
                names = [name for name, _ in hosts]
                if named in names and names.index(named) != index:
                    index, pause = names.index(named), random.uniform(0.0, 0.5)
                else:
                    index, pause = (index + 1) % len(hosts), 1.0
                client = Client(hosts[index][1])
            if pause is not None:
                await asyncio.sleep(pause)
                continue
            until = sent + timing["report_s"] * random.uniform(0.75, 1.25)
            await asyncio.sleep(0.5)
            left = until - time.monotonic()
            if left > 0:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    def take_response(self, body, sent, tenure):
        token = (body or {}).get("gavel")
        if token is None or token < self.gavel or tenure != self.tenure:
            return
        if time.monotonic() - sent > 4.0:
            return
        self.gavel = token
        self.renewed = max(self.renewed, sent)
        self.execute(body.get("orders") or [])

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.05)
            if time.monotonic() - self.renewed > self.cloud.workers["lease_s"]:
                self.cloud.note("lease_ended", rack=self.machine["name_id"], tenure=self.tenure)
                self.drop_tasks("lease")
                self.tenure += 1
                self.renewed = time.monotonic()
                self.changed.set()

    # Commands

    async def handle(self, method, path, _query, body):
        if path == "/show":
            return 200, self.report()
        if path != "/commands":
            return 404, {}
        batch = json.loads(body)
        if batch.get("gavel") is None or batch.get("tenure") is None:
            return 400, {}
        if batch["gavel"] < self.gavel or batch["tenure"] != self.tenure:
            return 409, self.report()
        self.gavel = batch["gavel"]
        self.execute(batch.get("orders") or [])
        return 200, self.report()

    def execute(self, orders):
        for order in orders:
            lot, attempt = order["lot"], order["try"]
            task = self.tasks.get(lot)
            if order["order"] == "start":
                self.begin(lot, attempt, task)
            elif task and task.attempt == attempt and order["order"] == "kill":
                self.kill(lot, task, order["leeway_s"])
            elif task and task.attempt == attempt and task.state == "ended":
                del self.tasks[lot]
            self.changed.set()

    def begin(self, lot, attempt, known):
        if known and known.attempt == attempt:
            return
        if known and known.state != "ended":
            return
        job = self.cloud.jobs.get(lot.split("/")[0])
        task = self.tasks[lot] = Task(attempt, job)
        if job is None:
            task.state, task.cause = "ended", "no_such"
            return
        if not self.has_room(job, lot):
            task.state, task.cause = "ended", "full"
            return
        task.timer = asyncio.create_task(self.run(lot, task))

    def has_room(self, job, but=None):
        rig = self.cloud.rigs[self.machine["rig"]]
        live = [t.job for lot, t in self.tasks.items() if t.state != "ended" and t.job and lot != but]
        return all(
            sum(other[what] for other in live) + job[what] <= rig[what] + 1e-6
            for what in ("cpus", "accelerators", "memory_gb")
        )

    async def run(self, lot, task):
        job, rack = task.job, self.machine["name_id"]
        if job["kit"] not in self.images:
            rate = self.cloud.rigs[self.machine["rig"]]["fetch_gb_per_s"]
            await asyncio.sleep(job["size_gb"] / rate * random.uniform(0.8, 1.2))
            self.images.add(job["kit"])
        task.state = "running"
        self.cloud.note("task_on", lot=lot, attempt=task.attempt, rack=rack)
        self.changed.set()
        if lot not in self.cloud.results:
            await asyncio.sleep(job["run_s"] * random.uniform(0.95, 1.05))
        task.state, task.cause = "ended", "done"
        self.cloud.results.add(lot)
        self.cloud.note("task_done", lot=lot, attempt=task.attempt, rack=rack)
        self.changed.set()

    def kill(self, lot, task, _leeway):
        # No task of these tests saves checkpoints, so each exits at once.
        if task.state == "ended":
            return
        task.timer.cancel()
        if task.state == "running":
            self.cloud.note("task_gone", lot=lot, rack=self.machine["name_id"], why="kill")
        task.state, task.cause = "ended", "halted"


class Cloud:
    """Machines, and what their tasks did. `jobs` holds what users uploaded: the description
    and, as `run_s`, how long a task really runs."""

    def __init__(self, rigs, capacity, workers, rps, list_lag_s, note, boot=None):
        self.rigs = {rig["label"]: rig for rig in rigs}
        self.capacity = dict(capacity)  # (rig, yard, loaners) -> machines to give
        self.workers, self.list_lag_s, self.note = workers, list_lag_s, note
        self.requests = Bucket(rps, 2.0)
        self.controllers = []  # (name, address)
        self.machines, self.running, self.hires = {}, {}, {}
        self.history = []  # (at, {name: entry}) after each change
        self.jobs, self.results = {}, set()
        self.boot = boot or (lambda rig: rig["startup_s"] * random.uniform(0.6, 1.5))
        self.last = 0

    async def start(self):
        self.server = Server(self.handle)
        return f"127.0.0.1:{await self.server.start()}"

    def changed(self):
        entries = {name: dict(machine) for name, machine in self.machines.items()}
        self.history.append((time.monotonic(), entries))

    def add(self, rig, yard, loaners):
        self.last += 1
        name = f"i-{self.last:06d}"
        self.machines[name] = {
            "name_id": name, "endpoint": "", "rig": rig, "yard": yard, "loaners": loaners,
            "standing": "starting", "since": time.monotonic(),
        }
        self.changed()
        return name

    async def bring_up(self, name, after):
        await asyncio.sleep(after)
        machine = self.machines.get(name)
        if machine is None:
            return
        worker = Worker(self, machine)
        await worker.start()
        machine["endpoint"], machine["standing"] = worker.address, "running"
        self.running[name] = worker
        self.note("machine_up", rack=name, yard=machine["yard"], loaners=machine["loaners"])
        self.changed()

    def remove(self, name, why):
        machine = self.machines.pop(name, None)
        if machine is None:
            return
        worker = self.running.pop(name, None)
        if worker:
            worker.end(why)
        key = (machine["rig"], machine["yard"], machine["loaners"])
        if why == "released":
            self.capacity[key] = self.capacity.get(key, 0) + 1
        self.note("machine_gone", rack=name, why=why)
        self.changed()

    def give_notice(self, name, seconds):
        worker = self.running[name]
        worker.recall_at = time.monotonic() + seconds
        worker.changed.set()
        self.note("spot_notice", rack=name, recall_s=seconds)

    async def handle(self, method, path, query, body):
        if not self.requests.take(1):
            return 429, {"error": "too many requests"}
        await asyncio.sleep(random.uniform(0.1, 0.25))
        if path == "/machine_types":
            return 200, {"rigs": list(self.rigs.values())}
        if path == "/hosts" and method == "POST":
            return self.rent(json.loads(body))
        if path == "/hosts/release":
            for name in json.loads(body)["racks"]:
                self.remove(name, "released")
            return 200, {}
        if path == "/hosts":
            return 200, self.list(query)
        return 400, {}

    def rent(self, order):
        if order["hire"] in self.hires:
            return 200, {"racks": self.hires[order["hire"]]}
        key = (order["rig"], order["yard"], order["loaners"])
        count = min(order["count"], 50, self.capacity.get(key, 0))
        if count <= 0:
            return 503, {"error": "no capacity"}
        self.capacity[key] -= count
        names = [self.add(*key) for _ in range(count)]
        for name in names:
            asyncio.create_task(self.bring_up(name, self.boot(self.rigs[order["rig"]])))
        self.hires[order["hire"]] = names
        self.note("rented", hire=order["hire"], loaners=order["loaners"], racks=names)
        return 200, {"racks": names}

    def list(self, query):
        """The list as it was `list_lag_s` ago."""
        then = time.monotonic() - self.list_lag_s
        entries = next((e for at, e in reversed(self.history) if at <= then), {})
        names = sorted(name for name in entries if name > query.get("since", ""))
        limit = min(int(query.get("limit", 500)), 500)
        racks = []
        for name in names[:limit]:
            entry = dict(entries[name])
            entry["age_s"] = max(0.0, then - entry.pop("since"))
            racks.append(entry)
        return {"racks": racks, "has_next": len(names) > limit}

    def places_of(self, job):
        """The machines on which tasks of a job are, by task; fetching ones count too."""
        places = {}
        for name, worker in self.running.items():
            for lot, task in worker.tasks.items():
                if lot.startswith(job + "/") and task.state != "ended":
                    places.setdefault(lot, []).append(name)
        return places
