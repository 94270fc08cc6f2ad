"""A machine is taken, the leader ends, and one deletion is not answered: do the tasks run again?"""

import asyncio
import json
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import strathmore  # noqa: E402
from cloud import Cloud  # noqa: E402
from deployment import Platform, run_case, wait_for  # noqa: E402
from left_waiting import LeftWaiting, judge  # noqa: E402
from state_service import StateService  # noqa: E402
from users import Users  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RESTART_S = 3.0  # BRIEF: "back about 3 s after an end"
ORDINARY = 2  # machines that are up at the start
HOLD_S = 5.0  # PROTOCOL, "Delayed messages": "Rental and deletion requests can be executed late."
LIMIT_S = 117.0


async def play(record):
    state = StateService(**strathmore.STATE)
    cloud = Cloud(
        [strathmore.RIG],
        {("byre-sixteen", zone, True): 4 for zone in strathmore.ZONES},
        strathmore.WORKERS, strathmore.CLOUD_RPS, strathmore.LIST_LAG_S, record.note, strathmore.soon,
    )
    platform = Platform(record, strathmore.ZONES, strathmore.settings(), await state.start(), await cloud.start())
    cloud.controllers = platform.controllers()
    try:
        return await trial(record, state, cloud, platform)
    finally:
        platform.stop_all(os.environ.get("KEEP_LOGS"))


async def trial(record, state, cloud, platform):
    for i in range(ORDINARY):
        await cloud.bring_up(cloud.add("byre-sixteen", strathmore.ZONES[i], False), 0)
    lost, held = [], asyncio.Event()

    async def hold_release(method, path, query, body):
        """Holds back the first request to delete a lost machine: the sender gets no answer in
        time, and the request is carried out late."""
        if path == "/hosts/release" and not held.is_set() and set(lost) & set(json.loads(body)["racks"]):
            record.note("deletion_held", body=json.loads(body))
            await asyncio.sleep(HOLD_S)
            await cloud.handle(method, path, query, body)
            record.note("deletion_carried_out_late")
            held.set()
            return None
        return await cloud.handle(method, path, query, body)

    cloud.server.handler = hold_release
    for i in range(3):
        platform.start(i)
    users = Users(cloud, platform, record)
    if not await wait_for(lambda: state.leader(), 10):
        return 2, "no leader was elected"
    # Long tasks keep the ordinary machines in use. The first job fills what they leave, so
    # that the second gets cheap machines.
    long = strathmore.job(3, ORDINARY, 300.0, cpus=12.0, loaners=False)
    first, second = strathmore.job(1, ORDINARY, 8.0), strathmore.job(2, 12, 14.0)
    for name, job in (("job-000003", long), ("job-000001", first)):
        if (await users.submit(job))[0] not in (200, 201):
            return 2, f"{name} was not accepted"
        if not await wait_for(lambda: len(cloud.places_of(name)) == ORDINARY, 8):
            return 2, f"{name} did not start"
    if {n for p in cloud.places_of("job-000003").values() for n in p} != set(cloud.running):
        return 2, "the long tasks are not on one ordinary machine each"
    if (await users.submit(second))[0] not in (200, 201):
        return 2, "the second job was not accepted"
    polls = asyncio.create_task(users.poll_forever("job-000002"))

    def on_cheap():
        """The cheap machines with running tasks of the second job, and how many."""
        found = {}
        for name, worker in cloud.running.items():
            lots = [t for lot, t in worker.tasks.items() if lot.startswith("job-000002/") and t.state == "running"]
            if lots and worker.machine["loaners"]:
                found[name] = len(lots)
        return found

    if not await wait_for(lambda: sum(on_cheap().values()) == 12, 15):
        return 2, "the second job did not get all its cheap machines in time"
    if TROUBLE:
        # One cheap machine is taken with no notice, and the leader ends. Its successor's
        # request to delete the lost machine is held back.
        leader = platform.hosts.index(state.leader())
        platform.kill(leader)
        lost.append(max(on_cheap()))
        cloud.remove(lost[0], "taken")
        await asyncio.sleep(RESTART_S)
        platform.start(leader)
        try:
            await asyncio.wait_for(held.wait(), 20 + HOLD_S)
        except asyncio.TimeoutError:
            record.note("no_deletion_requested")
    record.note("trouble_over", trouble=TROUBLE)
    try:
        return await judge(LeftWaiting(cloud, "job-000002", 200.0), record, users, LIMIT_S)
    finally:
        polls.cancel()


run_case(play, HERE)
