"""Stand-ins for the state service and the cloud, as PROTOCOL describes them."""
import asyncio
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

from wire import decode, encode, serve


class Bucket:
    def __init__(self, rate, seconds=1.0):
        self.rate, self.limit = rate, rate * seconds
        self.level, self.at = self.limit, time.monotonic()

    def take(self, count=1):
        now = time.monotonic()
        self.level = min(self.limit, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < count:
            return False
        self.level -= count
        return True


class StateService:
    def __init__(self, address, settings):
        self.address = address
        self.keys = {}          # key -> [value, stamp, lease]
        self.epoch = 1
        self.log = []           # (stamp, key, value or None)
        self.leases = {}        # id -> [ttl, until]
        self.next_lease = 1
        self.value_bytes = settings["value_kb"] * 1024
        self.txn_ops = settings["txn_ops"]
        self.requests = Bucket(settings["rps"])
        self.writes = Bucket(settings["write_rps"])
        self.changed = asyncio.Condition()

    async def start(self):
        self.server = await serve(self.handle, self.address)
        self.expiry = asyncio.create_task(self.expire())

    def lower_limits(self, value_kb, txn_ops, write_rps):
        self.value_bytes, self.txn_ops = value_kb * 1024, txn_ops
        self.writes = Bucket(write_rps)

    def put(self, key, value, lease):
        if value is None:
            self.keys.pop(key, None)
        else:
            self.keys[key] = [value, self.epoch, lease]
        self.log.append((self.epoch, key, value))
        del self.log[:-10000]

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [i for i, (_, until) in self.leases.items() if now > until]:
                del self.leases[lease]
                for key in [k for k, entry in self.keys.items() if entry[2] == lease]:
                    self.epoch += 1
                    self.put(key, None, 0)
                await self.notify()

    def txn(self, request):
        conditions, changes = request["if"], request["then"]
        if len(changes) > self.txn_ops or len(conditions) > 4 * self.txn_ops:
            return 400, {"error": "too many"}
        for change in changes:
            if "put" in change and len(json.dumps(change["v"], ensure_ascii=False)
                                       .encode()) > self.value_bytes:
                return 400, {"error": "value too large"}
        if changes and not self.writes.take(len(changes)):
            return 429, {"error": "rate"}
        for change in changes:
            if change.get("tenancy") and change["tenancy"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [c["k"] for c in conditions
                  if (self.keys[c["k"]][1] if c["k"] in self.keys else 0) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if changes:
            self.epoch += 1
        for change in changes:
            if "put" in change:
                self.put(change["put"], change["v"], change.get("tenancy") or 0)
            else:
                self.put(change["delete"], None, 0)
        return 200, {"epoch": self.epoch}

    async def handle(self, method, target, body):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
        if not self.requests.take():
            return 429, {"error": "rate"}
        await asyncio.sleep(0.002)
        if parts.path == "/txn":
            if len(body) > 65536:
                return 400, {"error": "too large"}
            answer = self.txn(decode(body))
            await self.notify()
            return answer
        if parts.path == "/leases":
            lease, ttl = self.next_lease, decode(body)["ttlMs"] / 1000
            self.next_lease += 1
            self.leases[lease] = [ttl, time.monotonic() + ttl]
            return 200, {"tenancy": lease}
        if parts.path.startswith("/leases/"):
            lease = int(parts.path.split("/")[2])
            if lease not in self.leases:
                return 404, {"error": "no such lease"}
            self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
            return 200, {}
        if parts.path == "/follow":
            return await self.follow(query)
        if parts.path == "/store":
            return 200, self.page(query)
        key = unquote(parts.path[len("/store/"):])
        if key not in self.keys:
            return 404, {"epoch": self.epoch}
        value, stamp, lease = self.keys[key]
        return 200, {"k": key, "v": value, "stamp": stamp, "tenancy": lease}

    def page(self, query):
        size = min(1000, int(query.get("page", 1000)))
        after, prefix = query.get("since", ""), query.get("starts", "")
        names = sorted(k for k in self.keys if k.startswith(prefix) and k > after)
        entries = [{"k": k, "v": self.keys[k][0], "stamp": self.keys[k][1]} for k in names[:size]]
        return {"entries": entries, "hasNext": len(names) > size, "epoch": self.epoch}

    async def follow(self, query):
        since, prefix = int(query.get("since", 0)), query.get("starts", "")
        until = time.monotonic() + min(60000, int(query.get("holdMs", 0))) / 1000
        if self.log and since < self.log[0][0] - 1 and len(self.log) >= 10000:
            return 410, {"error": "too old"}
        while True:
            changes = [c for c in self.log if c[0] > since and c[1].startswith(prefix)]
            left = until - time.monotonic()
            if changes or left <= 0:
                break
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        log = [{"delete": k, "stamp": s} if v is None else {"put": k, "v": v, "stamp": s}
               for s, k, v in changes]
        return 200, {"epoch": self.epoch, "log": log}


class Cloud:
    def __init__(self, address, settings, types, capacity, boot):
        """`capacity`: (type, zone, spot) -> machines; `boot(machine)` is awaited to boot one."""
        self.address, self.types, self.capacity, self.boot = address, types, dict(capacity), boot
        self.lag, self.calls = settings["list_lag_s"], Bucket(settings["rps"], 2.0)
        self.machines = {}      # id -> dict
        self.hires = {}         # request -> ids
        self.number = 0
        self.history = []       # (time, snapshot) for the list's lag
        self.gone = None        # called with a machine's id when it is deleted

    async def start(self):
        self.server = await serve(self.handle, self.address)

    def note(self):
        now = time.monotonic()
        self.history.append((now, [dict(m) for m in self.machines.values()]))
        while len(self.history) > 1 and self.history[1][0] < now - self.lag:
            del self.history[0]

    def rent(self, breed, yard, loaners):
        self.number += 1
        name = "n-%06d" % self.number
        machine = {"id": name, "addr": "", "breed": breed, "yard": yard, "loaners": loaners,
                   "status": "booting", "since": time.monotonic()}
        self.machines[name] = machine
        self.capacity[breed, yard, loaners] -= 1
        asyncio.create_task(self.boot(machine))
        return name

    async def handle(self, method, target, body):
        parts = urlsplit(target)
        if not self.calls.take():
            return 429, {"error": "rate"}
        await asyncio.sleep(0.02)
        if parts.path == "/flavors":
            return 200, {"breeds": self.types}
        if parts.path == "/rentals/delete":
            for name in decode(body)["rigs"]:
                machine = self.machines.pop(name, None)
                if machine:
                    self.capacity[machine["breed"], machine["yard"], machine["loaners"]] += 1
                    self.gone(name)
            self.note()
            return 200, {}
        if parts.path == "/rentals" and method == "POST":
            request = decode(body)
            if request["hire"] in self.hires:
                return 200, {"rigs": self.hires[request["hire"]]}
            kind = request["breed"], request["yard"], request["loaners"]
            count = min(50, request["count"], self.capacity.get(kind, 0))
            if count <= 0:
                return 503, {"error": "no capacity"}
            self.hires[request["hire"]] = [self.rent(*kind) for _ in range(count)]
            self.note()
            return 200, {"rigs": self.hires[request["hire"]]}
        query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
        self.note()
        at, snapshot = self.history[0]
        names = sorted((m for m in snapshot if m["id"] > query.get("since", "")),
                       key=lambda m: m["id"])
        size = min(500, int(query.get("page", 500)))
        rigs = [dict({k: v for k, v in m.items() if k != "since"},
                     ageS=max(0.0, at - m["since"])) for m in names[:size]]
        return 200, {"rigs": rigs, "hasNext": len(names) > size}
