"""Starts and ends the controllers by the deploy file, and keeps the record of a run."""

import asyncio
import atexit
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


def free_ports(count):
    """Ports that nobody listens on, below those that the system gives to connections: a
    controller's port must still be free when it is started again."""
    ports = []
    while len(ports) < count:
        port = random.randrange(20000, 32000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file, self.began = open(path, "w"), time.monotonic()
        self.events = []

    def now(self):
        return time.monotonic() - self.began

    def note(self, what, **fields):
        at = self.now()
        self.events.append((at, what, fields))
        self.file.write(f"{at:8.3f} {what} {json.dumps(fields)}\n")
        self.file.flush()


class Platform:
    """Ends its processes also when the test itself is ended."""

    def __init__(self, record, zones, settings, state, cloud, back_proxy=None):
        """`settings` is the [cluster] part of the settings file, as TOML text. `state` is an
        address, or a list with one for each controller."""
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        run = tomllib.loads((ROOT / "deploy/service.toml").read_text())["run"].split()
        self.command = [str(ROOT / run[0]), *run[1:]]
        self.hosts = [f"croft-{i}" for i in range(len(zones))]
        ports = free_ports(2 * len(zones))
        self.api = [f"127.0.0.1:{p}" for p in ports[: len(zones)]]
        self.back = [f"127.0.0.1:{p}" for p in ports[len(zones):]]
        self.processes = [None] * len(zones)
        atexit.register(self.stop_all)
        states = state if isinstance(state, list) else [state] * len(zones)
        for i, zone in enumerate(zones):
            lines = [
                f'host_name = "{self.hosts[i]}"', f'zone = "{zone}"',
                f'api_addr = "{self.api[i]}"', f'back = "{self.back[i]}"',
            ]
            for j, other in enumerate(zones):
                if j != i:
                    endpoint = back_proxy(i, j, self.back[j]) if back_proxy else self.back[j]
                    lines += ["[[seeds]]", f'host_name = "{self.hosts[j]}"', f'zone = "{other}"',
                              f'endpoint = "{endpoint}"']
            lines += ["[services]", f'cloud = "{cloud}"', f'state = "{states[i]}"', settings]
            self.config(i).write_text("\n".join(lines))

    def config(self, i):
        return Path(self.folder.name) / f"{self.hosts[i]}.toml"

    def controllers(self):
        return list(zip(self.hosts, self.api))

    def start(self, i):
        env = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "debug"))
        log = open(Path(self.folder.name) / f"{self.hosts[i]}.log", "ab")
        self.processes[i] = subprocess.Popen(
            [*self.command, str(self.config(i))], cwd=ROOT, env=env,
            stdin=subprocess.DEVNULL, stdout=log, stderr=log,
        )
        log.close()
        self.record.note("controller_started", host=self.hosts[i], pid=self.processes[i].pid)

    def kill(self, i):
        process = self.processes[i]
        if process and process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
            self.record.note("controller_killed", host=self.hosts[i])
        self.processes[i] = None

    def pause(self, i):
        self.processes[i].send_signal(signal.SIGSTOP)
        self.record.note("controller_stopped", host=self.hosts[i])

    def resume(self, i):
        self.processes[i].send_signal(signal.SIGCONT)
        self.record.note("controller_continued", host=self.hosts[i])

    def ended(self):
        """Controllers that ended by themselves, with their exit codes."""
        found = [(h, p.poll()) for h, p in zip(self.hosts, self.processes) if p and p.poll() is not None]
        return found

    def stop_all(self, keep_logs=None):
        for i in range(len(self.hosts)):
            self.kill(i)
        if keep_logs:
            for host in self.hosts:
                log = Path(self.folder.name) / f"{host}.log"
                if log.exists():
                    (Path(keep_logs) / f"{host}.log").write_bytes(log.read_bytes())
        self.folder.cleanup()


async def wait_for(condition, seconds, step=0.05):
    """Whether the condition held within so many seconds."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        await asyncio.sleep(step)
    return bool(condition())


def run_case(play, folder):
    """Runs `play(record)`, which returns an exit code and a reason, and exits with the code: 1
    the rule was broken, 0 it held, 2 the case couldn't run, also for want of time."""
    def stop(*_):
        print("ended before the case was decided")
        sys.exit(2)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGALRM, stop)
    signal.alarm(118)
    record = Record(folder / "record.txt")
    try:
        code, why = asyncio.run(play(record))
    except Exception as error:  # A fault of the test, not of the service.
        code, why = 2, f"{type(error).__name__}: {error}"
    record.note("result", exit=code, why=why)
    print(why)
    sys.exit(code)
