"""Starts and ends the controllers by the deploy file, and keeps the record of a run."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for s in sockets:
        s.bind(("127.0.0.1", 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
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
