"""A small deployment on loopback addresses: real controllers, started with the command of the
deploy file, and the stand-ins around them."""
import asyncio
import ctypes
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

from neighbours import Cloud, StateService
from wire import decode, encode, exchange
from workers import Jobs, Worker

PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None)
ROOT = pathlib.Path(__file__).resolve().parents[2]

FOUNDRY = {"sku": "foundry-32", "cores": 32.0, "cards": 0.0, "memoryGb": 128.0, "localGb": 60.0,
           "pullGbPerS": 1.0, "hourly": 1.84, "lowPrice": 0.76, "readyS": 50.0,
           "yards": ["trent", "soar"]}

# Times and limits of the Midlands deployment (BRIEF), 3 controllers.
SETTINGS = {
    "workers": {"report_s": 1.5, "lease_s": 12.0, "gang_wait_s": 50.0, "gang_peer_s": 8.0,
                "cancel_s": 37.0},
    "state": {"rps": 100.0, "write_rps": 25.0, "value_kb": 16.0, "txn_ops": 12},
    "cloud": {"rps": 2.0, "list_lag_s": 10.0},
}


def free_addresses(count):
    """Free loopback addresses below the ports that outgoing connections get."""
    addresses = []
    while len(addresses) < count:
        address = "127.0.0.1:%d" % random.randrange(10000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", int(address.split(":")[1])))
            except OSError:
                continue
        if address not in addresses:
            addresses.append(address)
    return addresses


def end_with_parent():
    """A controller ends with the test, also if the test is killed."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class CannotRun(Exception):
    pass


class Proxy:
    """Passes connections on to one address, until it is told to refuse them."""

    def __init__(self, address, to):
        self.address, self.to, self.writers, self.server = address, to, set(), None

    async def start(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.connection, host, int(port), backlog=256)

    async def connection(self, reader, writer):
        host, port = self.to.split(":")
        try:
            to_reader, to_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        self.writers |= {writer, to_writer}

        async def copy(source, sink):
            try:
                while data := await source.read(65536):
                    sink.write(data)
                    await sink.drain()
            except OSError:
                pass
            finally:
                sink.close()

        await asyncio.gather(copy(reader, to_writer), copy(to_reader, writer))
        self.writers -= {writer, to_writer}

    def refuse(self):
        """Connections are reset, and new ones refused."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


class Cluster:
    def __init__(self, case_folder, settings=None, next_limits=None, zones=("trent", "soar"),
                 types=(FOUNDRY,), capacity=None, teams=None, boot_s=2.0, machines=64,
                 controllers=3, ram_mb=56.0, cores=0.12):
        self.began = time.monotonic()
        self.record_file = open(case_folder / "record.txt", "w", buffering=1)
        self.settings = settings or SETTINGS
        self.next_limits, self.zones, self.types = next_limits, zones, list(types)
        self.teams = teams or [{"name": "finder-ops", "cpus": 56.0, "cpus_max": 250.0,
                                "gpus": 8.0, "gpus_max": 30.0}]
        self.boot_s, self.ram_mb, self.cores = boot_s, ram_mb, cores
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="rushtrestle-review-"))
        self.names = ["trestle-%d" % i for i in range(controllers)]
        addresses = free_addresses(2 + 3 * len(self.names) + machines)
        self.state_at, self.cloud_at = addresses[:2]
        after = iter(addresses[2:])
        self.serve_on = {name: next(after) for name in self.names}
        self.peer_at = {name: next(after) for name in self.names}
        # Each controller reaches the state service through a proxy of its own.
        self.to_state = {name: Proxy(next(after), self.state_at) for name in self.names}
        self.worker_addresses = list(after)
        self.processes = {}         # name -> Popen
        self.ended = {}             # name -> status of a process that ended by itself
        self.jobs = Jobs(self.record, self.settings["workers"]["cancel_s"],
                         {t["name"]: {"cores": t["cpus_max"], "cards": t["gpus_max"]}
                          for t in self.teams})
        self.workers = {}
        self.state = StateService(self.state_at, self.settings["state"])
        if capacity is None:
            capacity = {(t["sku"], z, spot): 20
                        for t in self.types for z in t["yards"] for spot in (False, True)}
        self.cloud = Cloud(self.cloud_at, self.settings["cloud"], self.types, capacity, self.boot)
        self.cloud.gone = self.machine_gone

    def record(self, text):
        self.record_file.write("%8.3f %s\n" % (time.monotonic() - self.began, text))

    # ---- processes

    def write_settings(self, name):
        area = self.zones[self.names.index(name) % len(self.zones)]
        lines = ['node = "%s"' % name, 'area = "%s"' % area,
                 'serve_on = "%s"' % self.serve_on[name],
                 'peer_listen = "%s"' % self.peer_at[name]]
        for i, peer in enumerate(self.names):
            if peer != name:
                lines += ["[[peers]]", 'node = "%s"' % peer,
                          'area = "%s"' % self.zones[i % len(self.zones)],
                          'peer_addr = "%s"' % self.peer_at[peer]]
        lines += ["[external]", 'cloud = "%s"' % self.cloud_at, 'state = "%s"' % self.to_state[name].address,
                  "[deployment]", "count = %d" % len(self.names),
                  "zones = [%s]" % ", ".join('"%s"' % z for z in self.zones),
                  "clock_error_ms = 1000.0"]
        for team in self.teams:
            lines += ["[[deployment.teams]]"] + [
                "%s = %s" % (k, '"%s"' % v if isinstance(v, str) else v) for k, v in team.items()]
        for table in ("workers", "state", "cloud"):
            lines += ["[deployment.%s]" % table] + [
                "%s = %s" % item for item in self.settings[table].items()]
        if self.next_limits:
            lines += ["[deployment.state.next]"] + [
                "%s = %s" % item for item in self.next_limits.items()]
        lines += ["[deployment.resources]", "cores = %s" % self.cores, "ram_mb = %s" % self.ram_mb,
                  "fd_limit = 800"]
        path = self.folder / (name + ".toml")
        path.write_text("\n".join(lines) + "\n")
        return path

    async def start_controller(self, name):
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        command = shlex.split(deploy["run"]) + [str(self.write_settings(name))]
        log = open(self.folder / (name + ".log"), "a")
        self.processes[name] = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, preexec_fn=end_with_parent, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            env=dict(os.environ, LOG_LEVEL=os.environ.get("REVIEW_LOG", "error")))
        log.close()
        self.record("%s started" % name)
        asyncio.create_task(self.watch_process(name, self.processes[name]))

    async def watch_process(self, name, process):
        status = await process.wait()
        if getattr(process, "ended_by_test", False):
            return
        self.ended[name] = status
        self.record("%s ended by itself with status %d" % (name, status))

    async def kill_controller(self, name):
        process = self.processes[name]
        process.ended_by_test = True
        process.send_signal(signal.SIGKILL)
        await process.wait()
        self.record("%s killed" % name)

    def pause(self, name):
        self.processes[name].send_signal(signal.SIGSTOP)
        self.record("%s stopped (SIGSTOP)" % name)

    def memory_mb(self, name):
        """Resident memory of a controller, in MB."""
        for line in open("/proc/%d/status" % self.processes[name].pid):
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def go_on(self, name):
        self.processes[name].send_signal(signal.SIGCONT)
        self.record("%s goes on (SIGCONT)" % name)

    async def start(self):
        if not (ROOT / "target" / "rushtrestle").exists():
            raise CannotRun("target/rushtrestle is not built")
        await self.state.start()
        await self.cloud.start()
        for proxy in self.to_state.values():
            await proxy.start()
        for name in self.names:
            await self.start_controller(name)
        await self.until(lambda: self.led_by_homes(), 40, "all shards are led by their homes")

    def led_by_homes(self):
        holders = [self.state.keys.get("part/%d" % i) for i in range(len(self.names))]
        return all(h and h[0].get("node") == n for h, n in zip(holders, self.names))

    def leader_of_team(self, team):
        """The controller that holds the shard of the team."""
        shard = sorted(t["name"] for t in self.teams).index(team) % len(self.names)
        holder = self.state.keys.get("part/%d" % shard)
        return holder[0]["node"] if holder else None

    async def stop(self):
        for name, process in self.processes.items():
            if process.returncode is None:
                process.ended_by_test = True
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
                await process.wait()
        for worker in list(self.workers.values()):
            if worker.alive:
                worker.stop()
        if os.environ.get("REVIEW_KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # ---- machines

    async def boot(self, machine):
        await asyncio.sleep(self.boot_s * random.uniform(0.6, 1.5))
        if machine["id"] not in self.cloud.machines:
            return
        type_ = next(t for t in self.types if t["sku"] == machine["breed"])
        worker = Worker(machine, type_, self.serve_on, self.jobs, self.settings["workers"],
                        self.record)
        self.workers[machine["id"]] = worker
        while True:
            try:
                await worker.start(self.worker_addresses.pop())
                break
            except OSError:
                continue  # another program has taken the port meanwhile
        self.record("%s is up (%s, %s)" % (worker.name, machine["breed"], machine["yard"]))

    def machine_gone(self, name):
        self.record("%s is deleted" % name)
        worker = self.workers.pop(name, None)
        if worker:
            worker.stop()

    async def machine_dies(self, worker):
        """The cloud lists it as running for 30 s more, and has no other one in its place."""
        worker.die()
        machine = worker.machine
        self.cloud.capacity[machine["breed"], machine["yard"], machine["loaners"]] -= 1
        await asyncio.sleep(30)
        machine["status"] = "failed"

    def machine_of(self, job, task=0):
        for machine in self.jobs.on.get((job, task), ()):
            return self.workers[machine]
        return None

    # ---- users

    def job(self, name, **fields):
        spec = {"id": name, "berth": "ironbridge", "crew": self.teams[0]["name"], "sort": "array",
                "rank": "normal", "chores": 1, "cores": 2.0, "cards": 0.0, "memoryGb": 4.0,
                "bundle": "img-1", "imageGb": 0.5, "breeds": None, "yard": None, "oneZone": False,
                "scatter": False, "loaners": False, "guessS": 50.0, "snapshotS": 0.0,
                "stowS": 0.0, "dueS": None}
        spec.update(fields)
        return spec

    async def ask(self, method, target, value=None, node=None, timeout=5.0, raw=None):
        node = node or random.choice([n for n in self.names
                                      if self.processes[n].returncode is None] or self.names)
        body = raw if raw is not None else (encode(value) if value is not None else b"")
        status, headers, answer = await exchange(self.serve_on[node], method, target, body,
                                                 timeout)
        try:
            answer = decode(answer) if answer else None
        except (ValueError, IndexError, KeyError):
            pass
        self.record("user -> %s: %s %s%s: %d %s" % (
            node, method, target, "" if raw is None else " (%d bytes)" % len(raw), status, answer))
        return status, answer

    async def repeat(self, method, target, value, good, limit_s=60.0):
        """Asks until an answer is good, as users do: a second or more between the requests."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            status, answer = await self.ask(method, target, value)
            if good(status, answer):
                return answer
            await asyncio.sleep(1.1)
        raise CannotRun("%s %s was never answered as needed" % (method, target))

    async def submit(self, spec, run_s=None):
        self.jobs.specs[spec["id"]] = spec
        if run_s is not None:
            self.jobs.run_s[spec["id"]] = run_s
        return await self.repeat("POST", "/v1/jobs", spec, lambda s, a: s in (200, 201))

    async def cancel(self, job):
        answer = await self.repeat("POST", "/v1/jobs/%s/abort" % job, None,
                                   lambda s, a: s == 200 and a["status"] in ("withdrawn", "done"))
        if answer["status"] == "withdrawn":
            self.jobs.cancelled_at[job] = time.monotonic()

    async def until(self, condition, limit_s, what):
        until = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > until:
                raise CannotRun("not reached in %g s: %s" % (limit_s, what))
            await asyncio.sleep(0.05)
        self.record("reached: %s" % what)


def main(file, play, limit_s=115, **options):
    """Runs a case: exits with 1 if a rule was broken, 0 if none was, 2 if it couldn't run.
    `play(cluster, trouble)` returns None or the text of the broken rule."""
    folder = pathlib.Path(file).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        cluster = Cluster(folder, **(options(trouble) if callable(options) else options))
        cluster.record("trouble: %s" % ("yes" if trouble else "no"))
        try:
            this = asyncio.current_task()
            for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
                asyncio.get_running_loop().add_signal_handler(number, this.cancel)
            async with asyncio.timeout(limit_s):
                await cluster.start()
                broken = await play(cluster, trouble)
        except (Exception, asyncio.CancelledError) as error:
            # Whatever isn't a result of the case.
            cluster.record("could not run: %r" % error)
            print("could not run: %r" % error)
            return 2
        finally:
            await cluster.stop()
        if broken:
            cluster.record("BROKEN: " + broken)
            print("broken: " + broken)
            return 1
        cluster.record("held")
        print("held")
        return 0

    sys.exit(asyncio.run(run()))
