"""Stand-in for the workers, as PROTOCOL and the page on gangs describe them, and the rules that
can be seen from outside."""
import asyncio
import random
import time

from wire import decode, encode, exchange, serve


class Jobs:
    """What the users submitted: workers fetch descriptions here. Also watches the rules."""

    def __init__(self, record, cancel_s, quotas):
        self.record, self.cancel_s, self.quotas = record, cancel_s, quotas
        self.specs = {}
        self.run_s = {}             # job -> seconds of a task
        self.completed = set()      # (job, task)
        self.cancelled_at = {}      # job -> time at which its user was told
        self.on = {}                # (job, task) -> {machine}
        self.broken = []            # (rule, text)
        self.starts = 0
        self.used = {}              # team -> {"cores", "cards"}
        self.gathering = {}         # (job, attempt) -> {task: worker task}

    def broke(self, rule, text):
        if not any(b == (rule, text) for b in self.broken):
            self.broken.append((rule, text))
            self.record("BROKEN %s: %s" % (rule, text))

    def use(self, job, times):
        spec = self.specs[job]
        used = self.used.setdefault(spec["crew"], {"cores": 0.0, "cards": 0.0})
        for amount in used:
            used[amount] += times * spec.get(amount, 0.0)
            limit = self.quotas[spec["crew"]][amount]
            if times > 0 and limit and used[amount] > limit + 1e-6:
                self.broke("quota", "%s uses %g %s" % (spec["crew"], used[amount], amount))

    def put_on(self, job, task, machine):
        self.starts += 1
        on = self.on.setdefault((job, task), set())
        if on - {machine}:
            self.broke("ran_twice", "%s/%d starts on %s while it is on %s"
                       % (job, task, machine, ", ".join(sorted(on - {machine}))))
        on.add(machine)
        self.use(job, 1)
        self.check_cancelled()

    def take_off(self, job, task, machine):
        self.check_cancelled()
        on = self.on[job, task]
        on.discard(machine)
        if not on:
            del self.on[job, task]
        self.use(job, -1)

    def check_cancelled(self):
        now = time.monotonic()
        for job, told in self.cancelled_at.items():
            if now - told <= self.cancel_s:
                continue
            for task in range(self.specs[job]["chores"]):
                if (job, task) in self.on:
                    self.broke("ran_cancelled", "%s/%d is on %s more than %g s after its user was "
                               "told that it is cancelled" % (
                                   job, task, ", ".join(sorted(self.on[job, task])),
                                   self.cancel_s))


class Worker:
    def __init__(self, machine, type_, controllers, jobs, settings, record):
        self.machine, self.type, self.controllers, self.jobs = machine, type_, controllers, jobs
        self.settings, self.record = settings, record
        self.name = machine["id"]
        self.session, self.sequence, self.token = 1, 0, 0
        self.tasks = {}             # (job, task, attempt) -> dict
        self.images = set()
        self.alive, self.silent = True, False
        self.names = sorted(controllers)
        self.controller = random.choice(self.names)
        self.change = asyncio.Event()
        self.token_reported_at = 0.0
        self.commands = []          # (body, status) of each direct command
        self.server, self.loops = None, []

    async def start(self, address):
        self.server = await serve(self.handle, address)
        self.address = self.machine["addr"] = address
        self.lease_from = time.monotonic()
        self.machine["status"] = "running"
        self.loops = [asyncio.create_task(self.report_loop()),
                      asyncio.create_task(self.lease_loop())]

    def die(self):
        """The machine stops with all that is on it, and stays silent."""
        self.silent = True
        self.record("%s stops with all that is on it" % self.name)
        for loop in self.loops:
            loop.cancel()
        self.drop_all()

    def stop(self):
        self.alive = False
        for loop in self.loops:
            loop.cancel()
        if self.server:
            self.server.close()
        self.drop_all()

    # ---- reports and leases

    def report(self):
        self.sequence += 1
        chores = []
        for (job, task, attempt), state in self.tasks.items():
            chore = {"chore": "%s/%d" % (job, task), "try": attempt, "status": state["status"]}
            if state["status"] == "ended":
                chore["cause"] = state["cause"]
                if state.get("kept"):
                    chore["kept"] = True
            chores.append(chore)
        return {"rig": self.name, "addr": self.address, "breed": self.machine["breed"],
                "yard": self.machine["yard"], "loaners": self.machine["loaners"],
                "shift": self.session, "tally": self.sequence, "baton": self.token,
                "warningS": None, "chores": chores}

    async def report_loop(self):
        last = 0.0
        while True:
            self.change.clear()
            last = time.monotonic()
            session, to = self.session, self.controller
            status, _, body = await exchange(self.controllers[to], "POST", "/checkin",
                                             encode(self.report()), 4.0)
            pause = self.settings["report_s"] * random.uniform(0.75, 1.25)
            following = self.names[(self.names.index(to) + 1) % len(self.names)]
            if status == 200:
                self.on_answer(session, last, decode(body))
            elif status == 421 and decode(body).get("foreman") in set(self.names) - {to}:
                self.controller = decode(body)["foreman"]
                await asyncio.sleep(random.uniform(0, 0.5))
                continue
            else:
                self.controller = following
                await asyncio.sleep(1.0)
                continue
            try:
                await asyncio.wait_for(self.change.wait(), pause)
            except asyncio.TimeoutError:
                pass
            await asyncio.sleep(max(0.0, last + 0.5 - time.monotonic()))

    def on_answer(self, session, sent_at, answer):
        token = answer.get("baton")
        if session != self.session or token is None or token < self.token:
            return
        higher, self.token = token > self.token, token
        self.lease_from = sent_at
        self.execute(answer.get("orders") or [])
        if higher and time.monotonic() - self.token_reported_at > self.settings["lease_s"] / 2:
            self.token_reported_at = time.monotonic()
            self.change.set()

    async def lease_loop(self):
        while True:
            left = self.lease_from + self.settings["lease_s"] - time.monotonic()
            if left > 0:
                await asyncio.sleep(left + 0.001)
                continue
            self.record("%s: lease expired, session %d" % (self.name, self.session + 1))
            self.drop_all()
            self.session += 1
            self.lease_from = time.monotonic()
            self.change.set()

    def drop_all(self):
        for key, state in self.tasks.items():
            self.leave(key, state)
        self.tasks.clear()

    # ---- direct commands

    async def handle(self, method, target, body):
        if self.silent:
            return None
        if target == "/inspect":
            return 200, self.report()
        return self.carry_out(body)

    def carry_out(self, body):
        request = decode(body)
        if "baton" not in request or "shift" not in request:
            return 400, {}
        status = 200
        if request["baton"] < self.token or request["shift"] != self.session:
            status = 409
        else:
            self.token = request["baton"]
            self.execute(request.get("orders") or [])
        self.commands.append((time.monotonic(), body, status))
        return status, self.report()

    def execute(self, orders):
        for order in orders:
            job, _, task = order["chore"].rpartition("/")
            key = job, int(task), order["try"]
            self.record("%s: %s %s try %d" % (self.name, order["verb"], order["chore"],
                                              order["try"]))
            if order["verb"] == "run":
                self.run(key)
            elif order["verb"] == "kill":
                self.kill(key, order.get("leewayS", 0))
            elif key in self.tasks and self.tasks[key]["status"] == "ended":
                del self.tasks[key]
        if orders:
            self.change.set()

    # ---- tasks

    def run(self, key):
        if key in self.tasks:
            return
        spec = self.jobs.specs.get(key[0])
        state = self.tasks[key] = {"status": "pulling", "timer": None}
        live = [(k, s) for k, s in self.tasks.items() if s["status"] != "ended" and k != key]
        if spec is None or key[1] >= spec["chores"]:
            return self.end(key, "no_such")
        if any(k[:2] == key[:2] for k, _ in live):
            return self.end(key, "in_use")
        for amount, size in (("cores", "cores"), ("cards", "cards"), ("memoryGb", "memoryGb")):
            used = sum(self.jobs.specs[k[0]].get(amount, 0.0) for k, _ in live)
            if used + spec.get(amount, 0.0) > self.type.get(size, 0.0) + 1e-9:
                return self.end(key, "full")
        fetch = 0.0 if spec["bundle"] in self.images else spec["imageGb"] / self.type["pullGbPerS"]
        state["timer"] = asyncio.create_task(self.after(fetch, self.fetched, key))

    async def after(self, seconds, then, key):
        await asyncio.sleep(seconds)
        then(key)

    def fetched(self, key):
        job, task, attempt = key
        spec, state = self.jobs.specs[job], self.tasks[key]
        self.images.add(spec["bundle"])
        state["placed"] = True
        state["timer"] = None
        self.record("%s: %s/%d try %d starts" % (self.name, job, task, attempt))
        self.jobs.put_on(job, task, self.name)
        if (job, task) in self.jobs.completed:
            return self.end(key, "done")
        if spec["sort"] == "group":
            return self.gather(key)
        self.begin(key)

    def gather(self, key):
        job, task, attempt = key
        state = self.tasks[key]
        state["status"] = "gathering"
        state["timer"] = asyncio.create_task(
            self.after(self.settings["gang_wait_s"], lambda k: self.end(k, "incomplete"), key))
        waiting = self.jobs.gathering.setdefault((job, attempt), {})
        waiting[task] = self
        if len(waiting) == self.jobs.specs[job]["chores"]:
            for member, worker in waiting.items():
                worker.tasks[job, member, attempt]["timer"].cancel()
                worker.begin((job, member, attempt))
        self.change.set()

    def begin(self, key):
        state = self.tasks[key]
        state["status"] = "running"
        run_s = self.jobs.run_s.get(key[0])
        if run_s is not None and self.jobs.specs[key[0]]["sort"] != "daemon":
            state["timer"] = asyncio.create_task(self.after(run_s, self.complete, key))
        self.change.set()

    def complete(self, key):
        self.jobs.completed.add(key[:2])
        self.tasks[key]["timer"] = None
        self.end(key, "done")

    def kill(self, key, leeway):
        state = self.tasks.get(key)
        if state is None or state["status"] == "ended":
            return
        spec = self.jobs.specs[key[0]]
        saves = state["status"] == "running" and spec["snapshotS"] > 0 and leeway >= spec["stowS"]
        if state["status"] == "saving" and leeway > 0:
            return
        if state["timer"]:
            state["timer"].cancel()
            state["timer"] = None
        if not saves:
            return self.end(key, "stopped")
        state["status"] = "saving"
        state["kept"] = True
        state["timer"] = asyncio.create_task(
            self.after(spec["stowS"], lambda k: self.end(k, "stopped"), key))

    def leave(self, key, state):
        if state.get("timer"):
            state["timer"].cancel()
        self.jobs.gathering.get((key[0], key[2]), {}).pop(key[1], None)
        if state.get("placed"):
            state["placed"] = False
            self.record("%s: %s/%d try %d is off" % (self.name, *key))
            self.jobs.take_off(key[0], key[1], self.name)

    def end(self, key, cause):
        state = self.tasks[key]
        self.leave(key, state)
        state.update(status="ended", cause=cause)
        self.change.set()
