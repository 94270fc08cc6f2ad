"""A small deployment on loopback: controllers as processes with the commands of the deploy
file, stand-ins of the state service, the cloud, its workers and users, and a check of what
these see against the rules of the protocol's page."""

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from cloud import Cloud
from http2 import Proxy, request
from state import StateService

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))

ZONES = ["north-shed", "office-loft", "council-depot"]
BYRE = {"label": "byre-sixteen", "cpus": 16.0, "accelerators": 0.0, "memory_gb": 128.0, "local_gb": 70.0,
        "fetch_gb_per_s": 2.0, "hourly": 0.84, "spot_price": 0.31, "startup_s": 25.0, "yards": ZONES}

FINAL = ("done", "cancelled")


def free_address(index):
    """An address on a loopback IP of its own, so that no connection of another program takes
    the port of a controller that is down."""
    pid = os.getpid()
    host = "127.%d.%d.%d" % (100 + index, pid // 250 % 250, 1 + pid % 250)
    with socket.socket() as found:
        found.bind((host, 0))
        return "%s:%d" % (host, found.getsockname()[1])


class Node:
    """A controller: its addresses, its settings file and its process."""

    def __init__(self, world, index):
        self.world, self.index, self.name = world, index, "croft-%d" % index
        self.zone = ZONES[index]
        self.api, self.back = free_address(index), free_address(index)
        self.process, self.stopped = None, False

    def start(self):
        if self.process is not None:
            return
        run = shlex.split(self.world.deploy["run"]) + [self.settings]
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(run, cwd=ROOT, stderr=log, stdout=log, stdin=subprocess.DEVNULL,
                                        env=dict(os.environ, LOG_LEVEL=self.world.log_level))
        log.close()
        self.world.note("platform", "%s starts" % self.name)

    def kill(self):
        if self.process is not None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self.process, self.stopped = None, False
            self.world.note("platform", "%s is killed" % self.name)

    def pause(self, stopped):
        if self.process is not None and self.stopped != stopped:
            self.process.send_signal(signal.SIGSTOP if stopped else signal.SIGCONT)
            self.stopped = stopped
            self.world.note("platform", "%s %s" % (self.name, "stands still" if stopped else "goes on"))

    def ended_by_itself(self):
        return self.process is not None and self.process.poll() is not None


class World:
    def __init__(self, record, seed=1, teams=None, report_s=3.0, lease_s=34.0, cancel_s=54.0, types=None,
                 capacity=None, cloud_rps=3.0, list_lag_s=12.0, boot=(1.0, 2.0), log_level="info",
                 keep=None, state=None):
        self.began = time.monotonic()
        self.record = open(record, "w", buffering=1) if record else None
        self.random = random.Random(seed)
        self.teams = teams or [("sale-clerks-%02d" % i, 56.0, 200.0) for i in range(3)]
        self.workers = {"report_s": report_s, "lease_s": lease_s, "cancel_s": cancel_s}
        self.log_level, self.keep = log_level, keep
        self.folder = tempfile.mkdtemp(prefix="bitternfold-review-")
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        self.nodes = [Node(self, i) for i in range(3)]
        self.state_limits = {"rps": 150.0, "write_rps": 60.0, "value_kb": 8.0, "txn_ops": 16, **(state or {})}
        self.state = StateService(seed=seed, **self.state_limits)
        types = types or [BYRE]
        if capacity is None:
            capacity = {(t["label"], z, s): 6 for t in types for z in t["yards"] for s in (True, False)}
        self.cloud_rps, self.list_lag_s = cloud_rps, list_lag_s
        self.cloud = Cloud(self, types, capacity, cloud_rps, list_lag_s, boot, seed)
        self.links = {}
        # What users and workers have seen.
        self.jobs, self.accepted, self.told, self.cancel_asked, self.unreachable = {}, {}, {}, {}, {}
        self.live = {}                # lot -> {machine name: Machine}
        self.done_lots, self.starts, self.broken = set(), [], []
        self.left_at, self.done_at = {}, {}
        # Disruptions of messages.
        self.cut_from_workers = set() # indices of controllers that workers can't reach
        self.late_commands, self.lost_answers, self.late_reports = 0.0, 0.0, 0.0
        self.failing = set()          # machines on which every task fails

    # Record

    def now(self):
        return time.monotonic() - self.began

    def note(self, who, what):
        if self.record and not self.record.closed:
            self.record.write("%8.3f %-9s %s\n" % (self.now(), who, what))

    def breaks(self, rule, what):
        self.broken.append((rule, self.now(), what))
        self.note("BROKEN", "%s: %s" % (rule, what))

    # Start and end

    async def start(self):
        await self.state.start(len(self.nodes))
        await self.cloud.start()
        for a in self.nodes:
            for b in self.nodes:
                if a is not b:
                    self.links[a.index, b.index] = proxy = Proxy(b.back)
                    await proxy.start()
        for node in self.nodes:
            node.settings = os.path.join(self.folder, node.name + ".toml")
            with open(node.settings, "w") as file:
                file.write(self.settings(node))
            node.start()

    def settings(self, node):
        text = 'host_name = "%s"\nzone = "%s"\napi_addr = "%s"\nback = "%s"\n\n' % (
            node.name, node.zone, node.api, node.back)
        for other in self.nodes:
            if other is not node:
                text += '[[seeds]]\nhost_name = "%s"\nzone = "%s"\nendpoint = "%s"\n\n' % (
                    other.name, other.zone, self.links[node.index, other.index].address)
        text += '[services]\ncloud = "%s"\nstate = "%s"\n\n' % (
            self.cloud.address, self.state.addresses[node.index])
        text += '[cluster]\ninitial_size = 3\nzones = %s\nclock_error_ms = 25.0\n\n' % json.dumps(ZONES)
        for name, cpus, cpus_max in self.teams:
            text += '[[cluster.teams]]\nname = "%s"\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n\n' % (
                name, cpus, cpus_max)
        text += "[cluster.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 35.0\ngang_peer_s = 5.0\ncancel_s = %.1f\n\n" % (
            self.workers["report_s"], self.workers["lease_s"], self.workers["cancel_s"])
        s = self.state_limits
        text += "[cluster.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n\n" % (
            s["rps"], s["write_rps"], s["value_kb"], s["txn_ops"])
        text += "[cluster.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n\n" % (self.cloud_rps, self.list_lag_s)
        text += "[cluster.machine_limits]\ncore_share = 0.16\nmemory_mb = 200.0\nfd_limit = 4000\n"
        return text

    def end(self):
        for node in self.nodes:
            node.kill()
        for machine in list(self.cloud.machines.values()):
            machine.end("the test ends")
        if self.keep:
            shutil.copytree(self.folder, self.keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        if self.record:
            self.record.close()

    async def wait_for(self, condition, timeout_s, what):
        ends = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > ends:
                raise CannotRun(what)
            await asyncio.sleep(0.02)

    def leader(self):
        found = [n for n in self.nodes if n.name == self.state.leader()]
        return found[0] if found else None

    def set_links(self, node, mode):
        for pair, proxy in self.links.items():
            if node.index in pair:
                proxy.set_mode(mode)

    # What workers ask and tell

    def reaches(self, machine, node):
        return node.index not in self.cut_from_workers

    async def passes_commands(self, machine, batch):
        return True

    def command_delay(self, machine):
        return self.random.uniform(2, 16) if self.random.random() < self.late_commands else 0.0

    def loses_command_answer(self, machine):
        return self.random.random() < self.lost_answers

    def copy_report(self, node, report):
        if self.random.random() < self.late_reports:
            async def late():
                await asyncio.sleep(self.random.uniform(2, 1.3 * self.workers["lease_s"]))
                other = self.random.choice(self.nodes)
                await request(other.api, "POST", "/v1/report", report, 4.0)
            asyncio.create_task(late())

    def run_time(self, lot):
        return self.jobs[lot.split("/")[0]]["run_s"]

    def fails(self, lot, machine):
        return self.jobs[lot.split("/")[0]].get("mistake", False) or machine.name in self.failing

    def task_started(self, machine, task):
        lot, at = task.lot, self.now()
        job = self.jobs[lot.split("/")[0]]
        self.note("worker", "%s starts %s try %d" % (machine.name, lot, task.attempt))
        elsewhere = [m for m in self.live.get(lot, {}) if m != machine.name]
        if elsewhere:
            self.breaks("ran_twice", "%s starts on %s while it is on %s" % (lot, machine.name, elsewhere))
        others = [m for l, on in self.live.items() for m in on.values()
                  if l.split("/")[0] == job["name_id"] and l != lot]
        if (job["rigs"] and machine.rig not in job["rigs"]) or (job["yard"] and machine.yard != job["yard"]) or (
                machine.loaners and not job["loaners"]):
            self.breaks("wrong_place", "%s on %s (%s, %s, spot %s)" % (
                lot, machine.name, machine.rig, machine.yard, machine.loaners))
        if job["one_zone"] and any(m.yard != machine.yard for m in others):
            self.breaks("wrong_place", "%s in %s, others in %s" % (lot, machine.yard, [m.yard for m in others]))
        if job["spread"] and sum(m.yard == machine.yard for m in others) + 1 > (job["lots"] + 1) // 2:
            self.breaks("wrong_place", "%s in %s, %d others there" % (lot, machine.yard, len(others)))
        for needed in job.get("awaits") or []:
            if not self.is_done(needed):
                self.breaks("too_early", "%s starts before %s is done" % (lot, needed))
        since = self.cancelled_since(job["name_id"])
        if since is not None and at > since + self.workers["cancel_s"]:
            self.breaks("ran_cancelled", "%s starts %.1f s after its cancellation" % (lot, at - since))
        self.live.setdefault(lot, {})[machine.name] = machine
        self.starts.append((at, lot, machine.name))
        limit = {t[0]: t[2] for t in self.teams}.get(job["desk"], 0)
        used = sum(self.jobs[l.split("/")[0]]["cpus"] * len(on) for l, on in self.live.items()
                   if self.jobs[l.split("/")[0]]["desk"] == job["desk"])
        if limit and used > limit + 1e-6:
            self.breaks("quota", "%s uses %.1f of %.1f CPUs with %s" % (job["desk"], used, limit, lot))

    def _left(self, machine, task):
        since = self.cancelled_since(task.lot.split("/")[0])
        if since is not None and self.now() > since + self.workers["cancel_s"] + 0.1:
            self.breaks("ran_cancelled", "%s is on %s %.1f s after its cancellation" % (
                task.lot, machine.name, self.now() - since))
        self.live.get(task.lot, {}).pop(machine.name, None)
        self.left_at[task.lot] = self.now()

    def task_left(self, machine, task, why):
        self.note("worker", "%s: %s try %d leaves, %s" % (machine.name, task.lot, task.attempt, why))
        self._left(machine, task)

    def task_done(self, machine, task):
        self.note("worker", "%s: %s try %d is done" % (machine.name, task.lot, task.attempt))
        self._left(machine, task)
        self.done_lots.add(task.lot)
        self.done_at.setdefault(task.lot, self.now())

    def is_done(self, job):
        return job in self.jobs and all("%s/%d" % (job, i) in self.done_lots for i in range(self.jobs[job]["lots"]))

    def with_needed(self, job):
        found, rest = set(), [job]
        while rest:
            name = rest.pop()
            if name not in found:
                found.add(name)
                rest += self.jobs.get(name, {}).get("awaits") or []
        return found

    def cancelled_since(self, job):
        times = [self.told[n][1] for n in self.with_needed(job) if self.told.get(n, ("", 0))[0] == "cancelled"]
        return min(times) if times else None

    # Users

    def job(self, number, lots=1, cpus=4.0, run_s=10.0, **fields):
        job = {"name_id": "job-%06d" % number, "lot_class": "lot-photo-resize", "desk": self.teams[0][0],
               "sort": "batch", "urgency": "standard", "lots": lots, "cpus": cpus, "accelerators": 0.0,
               "memory_gb": 4.0, "kit": "img-01", "size_gb": 0.2, "rigs": None, "yard": None, "one_zone": False,
               "spread": False, "loaners": True, "expected_s": run_s, "tally_s": 0.0, "stow_s": 0.0, "due_s": None}
        job.update(fields)
        if job["sort"] == "daemon":
            job["expected_s"], job["run_s"] = 0.0, 1e9
        job.setdefault("run_s", run_s)
        return job

    def _body(self, job):
        return {k: v for k, v in job.items() if k not in ("run_s", "mistake")}

    def balanced(self):
        """A controller that the load balancer would choose."""
        up = [n for n in self.nodes if n.process is not None and not n.stopped]
        return self.random.choice(up or self.nodes)

    async def submit(self, job, node=None, for_s=60.0):
        """Submits a job as users do, with repeats; returns the last status."""
        self.jobs[job["name_id"]] = job
        ends = self.now() + for_s
        while True:
            at = node or self.balanced()
            sent = self.now()
            status, answer = await request(at.api, "POST", "/v2/runs", self._body(job), 5.0)
            self.note("user", "submits %s at %s: %d %s" % (job["name_id"], at.name, status, answer))
            if status in (200, 201):
                self.accepted.setdefault(job["name_id"], self.now())
                if status == 200:   # 201 says `queued` by its form
                    self.see(job["name_id"], answer["standing"], sent, at)
                return status
            if status in (400, 422):
                if job["name_id"] in self.accepted and sent > self.accepted[job["name_id"]]:
                    self.breaks("forgotten", "%s submitted again is answered %d" % (job["name_id"], status))
                return status
            if self.now() > ends:
                return status
            await asyncio.sleep(1.0)

    async def poll(self, name, node=None):
        at = node or self.balanced()
        sent = self.now()
        status, answer = await request(at.api, "GET", "/v2/runs/" + name, None, 2.0)
        self.note("user", "asks for %s at %s: %d %s" % (name, at.name, status, answer))
        if status == 404 and name in self.accepted and sent > self.accepted[name]:
            self.breaks("forgotten", "%s is answered 404 by %s" % (name, at.name))
        if status == 200:
            if name not in self.jobs:
                self.breaks("invented", "%s is answered %s" % (name, answer))
            else:
                self.see(name, answer["standing"], sent, at)
            return answer["standing"]
        return None

    async def cancel(self, name, node=None, for_s=60.0):
        self.cancel_asked.setdefault(name, self.now())
        ends = self.now() + for_s
        while True:
            at = node or self.balanced()
            sent = self.now()
            status, answer = await request(at.api, "POST", "/v2/runs/%s/cancel" % name, None, 5.0)
            self.note("user", "cancels %s at %s: %d %s" % (name, at.name, status, answer))
            if status == 404 and name in self.accepted and sent > self.accepted[name]:
                self.breaks("forgotten", "the cancellation of %s is answered 404 by %s" % (name, at.name))
            if status == 200:
                self.see(name, answer["standing"], sent, at)
                return answer["standing"]
            if self.now() > ends:
                return None
            await asyncio.sleep(1.0)

    def see(self, name, standing, sent, node):
        """Judges what a user was told; the request was sent at `sent`."""
        before = self.told.get(name)
        if before and before[0] in FINAL and standing != before[0] and sent > before[1]:
            self.breaks("went_back", "%s is called %s by %s, %s since %.3f" % (
                name, standing, node.name, before[0], before[1]))
        if standing == "done" and not self.is_done(name):
            self.breaks("not_done", "%s is called done by %s" % (name, node.name))
        if standing == "cancelled" and not any(n in self.cancel_asked for n in self.with_needed(name)):
            self.breaks("went_back", "%s is called cancelled by %s, which nobody asked" % (name, node.name))
        since = self.cancelled_since(name)
        if standing not in FINAL and since is not None and sent > since + self.workers["cancel_s"]:
            self.breaks("orphaned", "%s is called %s by %s, %.1f s after a cancellation" % (
                name, standing, node.name, sent - since))
        if standing in FINAL and not (before and before[0] in FINAL):
            self.told[name] = (standing, self.now())


class CannotRun(Exception):
    """The case can't be judged: something that it needs did not come about."""


def run_case(play, folder, limit_s=116.0):
    """Runs `play(record, troubled)` and exits with 1 if it returns a broken rule, 0 if it
    returns none, 2 if the case couldn't run."""
    troubled = os.environ.get("TROUBLE", "1") != "0"

    async def timed():
        # Ends its processes also when it is told to end itself.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await asyncio.wait_for(play(os.path.join(folder, "record.txt"), troubled), limit_s)

    try:
        broken = asyncio.run(timed())
    except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as error:
        print("could not run: %s" % (error or type(error).__name__))
        sys.exit(2)
    for line in broken:
        print(line)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
