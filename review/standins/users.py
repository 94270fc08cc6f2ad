"""Users, who go through the load balancer: each new connection to a healthy node."""

import asyncio
import itertools
import time

from httpio import request_once


class Users:
    def __init__(self, cloud, deployment, record):
        self.cloud, self.deployment, self.record = cloud, deployment, record
        self.turn = itertools.count()
        self.answers = {}  # job -> [(sent, answered, status, standing)]

    def next_node(self):
        """A running node; the load balancer turns to another where one refuses."""
        nodes = self.deployment.api
        up = [a for a, p in zip(nodes, self.deployment.processes) if p and p.poll() is None]
        return (up or nodes)[next(self.turn) % len(up or nodes)]

    async def ask(self, what, method, path, body, timeout, node=None):
        node = node or self.next_node()
        sent = self.record.now()
        try:
            status, answer, headers = await request_once(node, method, path, body, timeout)
        except (OSError, asyncio.TimeoutError):
            status, answer, headers = 0, None, {}
        host = self.deployment.hosts[self.deployment.api.index(node)]
        self.record.note(what, host=host, path=path, sent=round(sent, 3), status=status, answer=answer)
        return status, answer, headers

    async def until_answered(self, what, path, body, done, timeout=5.0, total=60.0):
        """Repeats a request after 1 s or `Retry-After`, for up to 60 s in all."""
        end = time.monotonic() + total
        while True:
            status, answer, headers = await self.ask(what, "POST", path, body, timeout)
            if status in done:
                return status, answer
            pause = max(1.0, min(30.0, float(headers.get("retry-after", 1))))
            if time.monotonic() + pause > end:
                return status, answer
            await asyncio.sleep(pause)

    async def submit(self, job):
        description, run_s = job
        self.cloud.jobs[description["name_id"]] = {**description, "run_s": run_s}
        return await self.until_answered("submit", "/v2/runs", description, (200, 201, 400, 422))

    async def cancel(self, name):
        return await self.until_answered("cancel", f"/v2/runs/{name}/cancel", None, (200,))

    async def poll(self, name, node=None):
        sent = self.record.now()
        status, answer, _ = await self.ask("poll", "GET", f"/v2/runs/{name}", None, 2.0, node)
        standing = (answer or {}).get("standing") if status == 200 else None
        self.answers.setdefault(name, []).append((sent, self.record.now(), status, standing))
        return status, answer

    async def poll_forever(self, name, every=5.0):
        while True:
            _, answer = await self.poll(name)
            if answer and answer.get("standing") in ("done", "cancelled"):
                return
            await asyncio.sleep(every)
