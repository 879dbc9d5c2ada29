"""A controller ends; a repeat of a command that it had sent, and that was carried out, follows."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
import cluster  # noqa: E402
from wire import decode, exchange  # noqa: E402

JOB = "job-000412"


def ran(worker):
    """The direct command that started the job's task: its body as it was received."""
    for _, body, status in worker.commands:
        orders = decode(body).get("orders") or []
        if status == 200 and any(o["verb"] == "run" and o["chore"] == JOB + "/0" for o in orders):
            return body
    raise cluster.CannotRun("no command that started the task was seen")


async def play(c, trouble):
    # A replica that stays keeps one machine rented.
    await c.submit(c.job("job-000100", sort="daemon", rank="prod", guessS=0.0))
    await c.until(lambda: c.machine_of("job-000100"), 30, "the replica runs")
    await asyncio.sleep(10)
    # The job runs and is cancelled. Its task is stopped, and the worker is told to forget it.
    await c.submit(c.job(JOB, guessS=240.0), run_s=240.0)
    await c.until(lambda: c.machine_of(JOB), 20, "the job runs")
    worker = c.machine_of(JOB)
    await asyncio.sleep(2)
    repeat = ran(worker)
    await c.cancel(JOB)
    await c.until(lambda: not c.machine_of(JOB) and all(k[0] != JOB for k in worker.tasks), 37,
                  "the cancelled task is gone and forgotten")
    await asyncio.sleep(c.jobs.cancelled_at[JOB] + c.jobs.cancel_s + 2 - time.monotonic())
    leader = c.leader_of_team(c.teams[0]["name"])
    if trouble:
        await c.kill_controller(leader)
        await asyncio.sleep(0.5)
        c.record("a repeat of the request that started the task reaches %s" % worker.name)
        status, _, _ = await exchange(worker.address, "POST", "/commands", repeat)
        c.record("%s answered the repeat with %d" % (worker.name, status))
        await asyncio.sleep(3.5)
        await c.start_controller(leader)
    await asyncio.sleep(15)
    c.jobs.check_cancelled()
    status, answer = await c.ask("GET", "/v1/jobs/" + JOB)
    return "; ".join("%s: %s" % b for b in c.jobs.broken)


cluster.main(__file__, play)
