"""The check of kit/more/hunt/LATER.md: "Once the troubles are over, no job is left waiting for
90 s while a machine that fits has room and its team is under its limit." """

import asyncio
import time

BOUND_S = 90.0


class LeftWaiting:
    """Watches one job. A task waits while it is neither done nor on a machine, not even
    fetching, and there is a machine with room for it and its team may use that much more."""

    def __init__(self, cloud, name, team_cpus):
        self.cloud, self.name, self.team_cpus = cloud, name, team_cpus
        self.job = cloud.jobs[name]
        self.since = {}
        self.room = []

    def lots_done(self):
        return {lot for lot in self.cloud.results if lot.startswith(self.name + "/")}

    def is_done(self):
        return len(self.lots_done()) == self.job["lots"]

    def look(self):
        """The tasks that have waited for the bound."""
        cloud, job, now = self.cloud, self.job, time.monotonic()
        places, done = cloud.places_of(self.name), self.lots_done()
        self.room = [n for n, w in cloud.running.items() if w.has_room(job)]
        in_use = sum(
            other["cpus"] * len(cloud.places_of(name))
            for name, other in cloud.jobs.items() if other["desk"] == job["desk"]
        )
        may_start = bool(self.room) and in_use + job["cpus"] <= self.team_cpus
        for index in range(job["lots"]):
            lot = f"{self.name}/{index}"
            if lot in done or lot in places or not may_start:
                self.since.pop(lot, None)
            else:
                self.since.setdefault(lot, now)
        return sorted(lot for lot, at in self.since.items() if now - at >= BOUND_S)


async def judge(watch, record, users, limit_s):
    """Exit code and reason. To be called when the troubles are over."""
    while record.now() < limit_s and not watch.is_done():
        await asyncio.sleep(0.25)
        waited = watch.look()
        if waited:
            record.note("left_waiting", lots=waited, room_on=watch.room)
            await users.poll(watch.name)
            return 1, f"{len(waited)} tasks of {watch.name} waited for {BOUND_S} s beside room on {watch.room}"
    if not watch.is_done():
        return 2, "the job went on, but neither ended nor waited for the bound"
    await asyncio.sleep(3.0)
    _, answer = await users.poll(watch.name)
    if not answer or answer.get("standing") != "done":
        return 2, f"all tasks have ended, but the job is {answer}"
    return 0, f"all tasks of {watch.name} ran to their end"
