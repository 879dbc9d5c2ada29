"""A user sends a submission whose body isn't CBOR and repeats it, as users do after a connection
failure."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
import cluster  # noqa: E402

# Plain text instead of CBOR: a line of 60,000 characters, below the 64 KiB of a request body.
BODY = b"_" * 60000


async def restart_ended(c):
    """The platform starts a process that has ended again, after about 4 s."""
    while True:
        await asyncio.sleep(0.1)
        for name in c.names:
            if c.processes[name].returncode is not None:
                await asyncio.sleep(4)
                await c.start_controller(name)


async def play(c, trouble):
    await c.submit(c.job("job-000100", sort="daemon", rank="prod", guessS=0.0))
    await c.until(lambda: c.machine_of("job-000100"), 30, "the replica runs")
    platform = asyncio.create_task(restart_ended(c))
    answered = None
    for _ in range(20 if trouble else 0):
        up = [n for n in c.names if c.processes[n].returncode is None]
        if up:
            status, _ = await c.ask("POST", "/v1/jobs", node=up[0], raw=BODY)
            if status == 400:
                answered = status
                break
        await asyncio.sleep(1.1)
    await asyncio.sleep(5)
    platform.cancel()
    c.record("processes that ended by themselves, with their last status: %s" % c.ended)
    c.record("the malformed submission was answered with %s" % answered)
    await c.ask("GET", "/v1/jobs/job-000100")
    broken = ["%s: %s" % b for b in c.jobs.broken]
    if c.ended:
        broken.append("controllers ended by themselves: " + ", ".join(
            "%s (status %d)" % item for item in sorted(c.ended.items())))
    return "; ".join(broken)


cluster.main(__file__, play)
