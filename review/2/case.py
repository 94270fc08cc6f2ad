"""The leader ends while a pipeline of jobs waits: do users still get answers?"""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import strathmore  # noqa: E402
from cloud import Cloud  # noqa: E402
from deployment import Platform, run_case, wait_for  # noqa: E402
from state_service import StateService  # noqa: E402
from users import Users  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUND_S = 75.0  # more/hunt/LATER.md: "a job about which no question is answered for 75 s"
RESTART_S = 3.0  # BRIEF: "back about 3 s after an end"
STAGES = 31


def pipeline():
    """Stages of two jobs, each of which needs both jobs of the stage before, and a last job
    with the priority and the due time. The first of each two belongs to a team whose
    estimates are too high; the differences between the two grow from stage to stage."""
    before, jobs = [], []
    for stage in range(STAGES):
        names = []
        for k, (team, estimate, run_s) in enumerate((
            ("sale-clerks-00", 40.0 + 2**stage * 1e-7, 8.0), ("sale-clerks-01", 40.0, 40.0),
        )):
            job = strathmore.job(
                100 + 2 * stage + k, 1, run_s, expected_s=estimate, desk=team, urgency="best_effort",
                cpus=1.0, memory_gb=6.4, awaits=before,
            )
            jobs.append(job)
            names.append(job[0]["name_id"])
        before = names
    jobs.append(strathmore.job(900, 1, 8.0, lot_class="lot-sheet-publish", cpus=1.0, memory_gb=6.4,
                               awaits=before, due_s=3000.0))
    return jobs


async def play(record):
    state = StateService(**strathmore.STATE)
    cloud = Cloud(
        [strathmore.RIG], {("byre-sixteen", zone, True): 4 for zone in strathmore.ZONES},
        strathmore.WORKERS, strathmore.CLOUD_RPS, strathmore.LIST_LAG_S, record.note, strathmore.soon,
    )
    platform = Platform(record, strathmore.ZONES, strathmore.settings(), await state.start(), await cloud.start())
    cloud.controllers = platform.controllers()
    try:
        return await trial(record, state, cloud, platform)
    finally:
        platform.stop_all(os.environ.get("KEEP_LOGS"))


async def trial(record, state, cloud, platform):
    for zone in strathmore.ZONES[:2]:
        await cloud.bring_up(cloud.add("byre-sixteen", zone, False), 0)
    for i in range(3):
        platform.start(i)
    users = Users(cloud, platform, record)
    if not await wait_for(lambda: state.leader(), 10):
        return 2, "no leader was elected"
    # A job of the first team that runs for a fifth of its estimate.
    if (await users.submit(strathmore.job(1, 1, 3.0, expected_s=15.0)))[0] not in (200, 201):
        return 2, "the first job was not accepted"
    for _ in range(20):
        _, answer = await users.poll("job-000001")
        if answer and answer.get("standing") == "done":
            break
        await asyncio.sleep(0.5)
    else:
        return 2, "the first job was not done in time"
    jobs = pipeline()
    for job in jobs:
        if (await users.submit(job))[0] not in (200, 201):
            return 2, f"{job[0]['name_id']} was not accepted"
    names = [jobs[0][0]["name_id"], jobs[-1][0]["name_id"]]
    for name in names:
        if (await users.poll(name))[0] != 200:
            return 2, "the pipeline is not known before the trouble"
    if TROUBLE:
        leader = platform.hosts.index(state.leader())
        platform.kill(leader)
        await asyncio.sleep(RESTART_S)
        platform.start(leader)
    record.note("trouble_over", trouble=TROUBLE)
    over = record.now()

    def last_answer(name):
        times = [answered for _, answered, status, _ in users.answers[name] if status in (200, 404)]
        return max([over, *times])

    silent = []
    while not silent and record.now() < over + BOUND_S + 10:
        # Each user asks about every 5 s; here every node is asked, so that no choice of the
        # load balancer matters.
        asks = [users.poll(name, node) for name in [*names, "job-000001"] for node in platform.api]
        await asyncio.gather(*asks, asyncio.sleep(5.0))
        silent = [name for name in names if record.now() - last_answer(name) >= BOUND_S]
    since = {name: round(record.now() - last_answer(name), 1) for name in users.answers}
    record.note("seconds_without_answer", jobs=since, ended_by_themselves=platform.ended())
    if silent:
        return 1, f"no question about {silent} was answered by any controller for {BOUND_S} s"
    return 0, "questions about the pipeline were answered"


run_case(play, HERE)
