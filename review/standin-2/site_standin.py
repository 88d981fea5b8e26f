"""Stand-ins for the review's scripts: the platform's store, runners and consumers on loopback, and the entries as
real processes. They follow PROTOCOL.md and DEPLOY.md. All run in one event loop, except the entries."""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 503: "Service Unavailable"}
SILENT = object()  # a call that gets no answer; its connection delivers nothing further


PORTS_GIVEN = set()


def free_ports(count):
    """Ports that no socket uses, below those that the system gives to outgoing connections. Scripts that run at the same
    time choose from different ones."""
    first = 10000 + os.getpid() % 200 * 100
    ports = []
    while len(ports) < count:
        port = random.randrange(first, first + 100)
        if port in PORTS_GIVEN:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        PORTS_GIVEN.add(port)
        ports.append(port)
    return ports


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body

    def json(self):
        return json.loads(self.body)


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers.setdefault(name.strip().lower(), value.strip())
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


class Server:
    """HTTP/1.1 server. `handler` returns (status, object) or SILENT."""

    def __init__(self, port, handler):
        self.port, self.handler = port, handler
        self.life = 0  # connections of an earlier life of the machine are reset when they are used

    async def start(self):
        await asyncio.start_server(self.serve, HOST, self.port, backlog=512, limit=8 << 20)

    async def serve(self, reader, writer):
        life = self.life
        try:
            while True:
                line, headers, body = await read_message(reader)
                if life != self.life:
                    writer.transport.abort()
                    return
                method, target, _ = line.split(" ", 2)
                answer = await self.handler(Request(method, target, headers, body))
                if life != self.life or answer is SILENT:
                    # Nothing is sent on this connection any more. Bytes that arrive in a later life reset it.
                    while await reader.read(65536):
                        if life != self.life:
                            writer.transport.abort()
                            return
                    writer.close()
                    return
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(f"HTTP/1.1 {status} {REASONS.get(status, 'X')}\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            writer.close()


class Store:
    """The platform's metadata store, form `table`."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 1
        self.changed = asyncio.Event()
        self.part_free_at = {}
        self.began = time.monotonic()
        self.lose_answer = lambda request: False  # a transaction that is done and not answered
        self.writes = 0
        self.lost = 0

    def now_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    def write(self, name, value):
        """value: base64 text, or None for a removed row."""
        self.rows[name] = (value, self.version)

    def bump(self):
        self.version += 1

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        self.bump()
        self.write((table, "", key), None if value is None else base64.b64encode(json.dumps(value).encode()).decode())
        self.wake()

    def describe(self, name):
        value, version = self.rows[name]
        row = {"table": name[0], "part": name[1], "key": name[2], "ver": version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = value
        return row

    async def handle(self, request):
        url = urlsplit(request.target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/v1/rows-tx":
            return await self.commit(request)
        await asyncio.sleep(0.004)
        if url.path == "/v1/rows-get":
            return self.read(query)
        if url.path == "/v1/rows-feed":
            return await self.feed(query)
        return 404, {}

    async def commit(self, request):
        body = request.json()
        names = [(r["table"], r["part"], r["key"]) for k in ("expectedRev", "upserts", "remove") for r in body.get(k, [])]
        part = names[0][1]
        loop_now = time.monotonic()
        free_at = max(loop_now, self.part_free_at.get(part, 0)) + 0.005
        self.part_free_at[part] = free_at
        await asyncio.sleep(free_at - loop_now)
        if len(names) > 100 or any(n[0] in ("op", "servers") for n in names):
            return 400, {}
        for row in body.get("expectedRev", []):
            value, version = self.rows.get((row["table"], row["part"], row["key"]), (None, 0))
            if (0 if value is None else version) != row["ver"]:
                current = [self.describe((r["table"], r["part"], r["key"])) for r in body["expectedRev"]
                           if self.rows.get((r["table"], r["part"], r["key"]), (None, 0))[0] is not None]
                return 412, {"rows": current, "ver": self.version, "nowMs": self.now_ms()}
        self.bump()
        for row in body.get("upserts", []):
            self.write((row["table"], row["part"], row["key"]), row["value"])
        for row in body.get("remove", []):
            self.write((row["table"], row["part"], row["key"]), None)
        self.wake()
        self.writes += 1
        if self.lose_answer(request):
            self.lost += 1
            return SILENT
        return 200, {"ver": self.version, "nowMs": self.now_ms()}

    def read(self, query):
        names = sorted(n for n, (value, _) in self.rows.items()
                       if value is not None and n[0] == query["table"] and n[1] == query.get("part", "") and
                       n[2] >= query.get("from", "") and ("to" not in query or n[2] < query["to"]))
        limit = min(500, int(query.get("limit", 500)))
        return 200, {"rows": [self.describe(n) for n in names[:limit]], "hasMore": len(names) > limit,
                     "ver": self.version, "nowMs": self.now_ms()}

    async def feed(self, query):
        after = int(query["after"])
        end = time.monotonic() + min(30000, int(query.get("waitMs", 0))) / 1000
        while True:
            names = [n for n, (_, version) in self.rows.items() if n[0] == query["table"] and version > after]
            if names or time.monotonic() >= end:
                names.sort(key=lambda n: self.rows[n][1])
                return 200, {"rows": [self.describe(n) for n in names], "ver": self.version, "nowMs": self.now_ms()}
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, end - time.monotonic()))
            except asyncio.TimeoutError:
                pass


class Runner:
    """One runner. `spec` of a task says what it does: "work=MS", "fail=MS" (fails after MS) or "last" (runs on)."""

    def __init__(self, site, number, zone, labels, capacity):
        self.site, self.record = site, site.record
        self.id = f"i-{number:08x}"
        self.zone, self.labels, self.capacity = zone, labels, dict(capacity)
        self.port = free_ports(1)[0]
        self.server = Server(self.port, self.handle)
        self.is_up = False
        self.reset()

    def reset(self):
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence = 0
        self.lease = 0
        self.runs = {}
        self.barred = {}  # task: highest run that was stopped or has ended here
        self.ends = []
        self.end_count = 0
        self.ended = asyncio.Event()
        self.sequence = 0

    def clock(self):
        return int((time.monotonic() - self.began) * 1000) + 5

    async def start(self):
        await self.server.start()
        self.is_up = True
        asyncio.ensure_future(self.run())

    def publish(self, state="ready"):
        self.sequence += 1
        self.site.store.put("servers", self.id, {
            "service": self.site.service, "address": f"{HOST}:{self.port}", "zone": self.zone, "version": "v1", "slots": 8,
            "state": state, "coldRemainingMs": 0, "capacity": self.capacity, "labels": self.labels,
            "clockMs": self.clock(), "sequence": self.sequence, "born": self.born})

    def lose_power(self):
        """From now on it answers nothing; connections stay open without a reset."""
        self.record(f"runner {self.id}: loses power; ended with it: {sorted(t for t in self.runs)}")
        self.is_up = False
        self.server.life += 1
        self.runs = {}
        asyncio.get_running_loop().call_later(4.5, self.expire, self.born)

    def expire(self, born):
        """Removes the entry after three reports are missing, unless the runner has started again."""
        if not self.is_up and self.born == born:
            self.site.store.put("servers", self.id, None)

    def return_as(self, labels=None, capacity=None):
        """Starts again under its id and address, and holds and knows nothing of before."""
        self.server.life += 1
        self.reset()
        self.labels = labels or self.labels
        self.capacity = dict(capacity or self.capacity)
        self.is_up = True
        self.record(f"runner {self.id}: starts again, labels {self.labels}, capacity {self.capacity}")
        self.publish()

    async def run(self):
        next_beat = 0
        while True:
            now = time.monotonic()
            if self.is_up:
                if self.runs and self.clock() > self.lease:
                    for task in list(self.runs):
                        self.end(task, "lapsed")
                for task, entry in list(self.runs.items()):
                    if entry["stop_at"] and now >= entry["stop_at"]:
                        self.end(task, "stopped")
                    elif entry["ends_at"] and now >= entry["ends_at"]:
                        self.end(task, entry["how"])
                if now >= next_beat:
                    next_beat = now + 1.5
                    self.publish()
            await asyncio.sleep(0.01)

    def end(self, task, how):
        entry = self.runs.pop(task)
        self.barred[task] = max(self.barred.get(task, 0), entry["run"])
        self.end_count += 1
        self.ends.append([self.end_count, task, entry["run"], how, ""])
        self.record(f"runner {self.id}: run {entry['run']} of {task} ended {how}")
        self.site.on_end(self, task, entry["run"], how)
        self.ended.set()
        self.ended = asyncio.Event()

    def percent(self, entry):
        if not entry["ends_at"]:
            return 100
        span = entry["ends_at"] - entry["began"]
        return max(0, min(99, int(100 * (time.monotonic() - entry["began"]) / span)))

    async def handle(self, request):
        life = self.server.life
        if not self.is_up:
            await asyncio.sleep(3600)
        if request.headers.get("jaymast-expect-instance", self.id) != self.id:
            return 421, {}
        body = request.json()
        token = body.get("fencingToken", 0)
        if token < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = token
        if request.target == "/v1/run-start":
            return self.run_start(body)
        if request.target == "/v1/run-stop":
            task, run = body["task"], body["run"]
            entry = self.runs.get(task)
            self.record(f"runner {self.id}: told to stop run {run} of {task}")
            self.barred[task] = max(self.barred.get(task, 0), run)
            if entry and entry["run"] == run and not entry["stop_at"]:
                entry["stop_at"] = time.monotonic() + 0.05
            return 200, {"clockMs": self.clock()}
        if request.target == "/v1/hold":
            self.extend(body.get("untilMs", 0))
            self.ends = [e for e in self.ends if e[0] > body.get("lastSeen", 0)]
            if not self.ends and body.get("waitMs"):
                try:
                    await asyncio.wait_for(self.ended.wait(), body["waitMs"] / 1000)
                except asyncio.TimeoutError:
                    pass
            if life != self.server.life:
                return SILENT
            running = [[t, e["run"], "", self.percent(e), 0] for t, e in self.runs.items()]
            return 200, {"clockMs": self.clock(), "born": self.born, "running": running, "ended": self.ends[:500]}
        return 404, {}

    def extend(self, until):
        self.lease = max(self.lease, min(until, self.clock() + 10000))

    def run_start(self, body):
        task, run = body["task"], body["run"]
        entry = self.runs.get(task)
        if entry and entry["run"] == run:
            return 200, {"clockMs": self.clock()}
        if (entry and entry["run"] > run) or self.barred.get(task, 0) >= run:
            self.extend(body["untilMs"])
            return 409, {"clockMs": self.clock(), "reason": "old"}
        if body["untilMs"] <= self.clock():
            return 409, {"clockMs": self.clock(), "reason": "late"}
        self.extend(body["untilMs"])
        how, _, ms = body["spec"].partition("=")
        span = int(ms) / 1000 if ms else 0
        now = time.monotonic()
        self.runs[task] = {"run": run, "began": now, "ends_at": now + span if how != "last" else 0,
                           "how": "failed" if how == "fail" else "done", "stop_at": 0}
        self.record(f"runner {self.id}: starts run {run} of {task} ({body['spec']}), labels {self.labels}")
        self.site.on_start(self, task, run)
        return 200, {"clockMs": self.clock()}


class Entry:
    """One process of the deploy file."""

    def __init__(self, site, number, zone):
        self.site, self.zone = site, zone
        self.name = f"frontend-{zone}-{number}"
        self.front, self.ready, self.control, self.peer, self.store_port = free_ports(5)
        self.process = None
        self.store_server = Server(self.store_port, site.store.handle)

    def settings(self):
        bounds = {"contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
                  "configApplyMs": 2000, "evacuateMs": 5000, "holdMaxMs": 10000, "stopMs": 400, "cancel_ms": 3000,
                  "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120}
        lines = [f"node={self.name}", "role=entry", "machineClass=frontend", "serves=frontend", f"ip={HOST}",
                 f"zone={self.zone}", "region=fi-south", f"listen.front={HOST}:{self.front}",
                 f"listen.ready={HOST}:{self.ready}", f"listen.control={HOST}:{self.control}",
                 f"internalPortRange={self.peer},{self.peer}", "bootstrap=true", "limits.cpuShare=0.25", "limits.cores=1",
                 "limits.memoryMb=260", "limits.fileDescriptors=4100", "limits.linkMbps=1000.0", "orders=invocation",
                 f"advice={HOST}:{self.control}", f"platform.address={HOST}:{self.store_port}", "platform.form=table",
                 "platform.writesPerS=800", "platform.readsPerS=2000", "platform.txMs=5.0", "platform.partWritesS=200",
                 "platform.rowBytes=65536", "platform.across=false"]
        return "\n".join(lines + [f"bounds.{k}={v}" for k, v in bounds.items()]) + "\n"

    async def start(self):
        await self.store_server.start()
        self.launch()

    def launch(self):
        path = os.path.join(self.site.folder, self.name + ".conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        log = open(os.path.join(self.site.folder, self.name + ".log"), "ab")
        environment = {"JAYMAST_BOOT": path, "PATH": os.environ.get("PATH", ""), "HOME": self.site.folder}
        self.process = subprocess.Popen([os.path.join(ROOT, "target/jaymast-platform-entry")], cwd=ROOT, stdout=log,
                                        stderr=log, env=environment)
        self.site.record(f"entry {self.name}: started")

    def signal(self, number):
        self.site.record(f"entry {self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def gauge(self, name):
        status, text = await self.site.call(self.ready, "GET", "/metrics", quiet=True)
        for line in text.splitlines():
            if line.startswith(name + " "):
                return float(line.split()[1])
        return 0.0


class Site:
    """`service` and one queue `q` at the prefix /jobs/ of the host site.example, without a policy."""

    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.service = "svc"
        self.store = Store(self.record)
        self.entries, self.runners = [], []
        self.starts = []  # (time, runner, labels, task, run)
        self.ends = []    # (time, runner, task, run, how)
        self.routes = [{"name": "q", "host": "site.example", "prefix": "/jobs/", "kind": "non_idempotent",
                        "timeoutMs": 3000, "targetDurationMs": 3000, "priority": 1, "service": self.service,
                        "maxAttempts": 4, "stretch": 4.0, "public": False}]

    def on_start(self, runner, task, run):
        self.starts.append((self.record.now(), runner.id, list(runner.labels), task, run))

    def on_end(self, runner, task, run, how):
        self.ends.append((self.record.now(), runner.id, task, run, how))

    def configure(self, version):
        self.store.put("op", "config", {
            "version": version, "routes": self.routes, "services": [{"name": self.service, "admissionCheck": False}],
            "limits": {}, "tenants": [{"name": "t1", "apiKeys": ["key-1"], "weight": 1.0,
                                       "cap": {"cpu": 0, "memMb": 0, "gpus": 0}}]})

    def add_runner(self, zone, labels, capacity):
        runner = Runner(self, len(self.runners) + 1, zone, labels, capacity)
        self.runners.append(runner)
        return runner

    async def begin(self, entries):
        self.configure(3)
        for number in range(entries):
            self.entries.append(Entry(self, 1, ("tampere", "lahti", "hameenlinna")[number % 3]))
        for runner in self.runners:
            await runner.start()
        for entry in self.entries:
            await entry.start()
        for _ in range(100):
            await asyncio.sleep(0.1)
            states = [await self.call(e.ready, "GET", "/v1/readiness", quiet=True) for e in self.entries]
            if all(s[0] == 200 for s in states):
                break
        else:
            raise RuntimeError("the entries do not become ready")
        await asyncio.sleep(3.0)

    async def leader(self):
        for entry in self.entries:
            if entry.process.poll() is None and await entry.gauge("jaymast_leader") == 1:
                return entry
        return None

    async def call(self, port, method, path, body=None, timeout=3.0, quiet=False, connection=None):
        """@return status and body; status 0 if there was no answer, -1 if the consumer left before it"""
        text = b"" if body is None else json.dumps(body).encode()
        head = (f"{method} {path} HTTP/1.1\r\nHost: site.example\r\nAuthorization: Token key-1\r\n"
                f"Jaymast-Deadline-Ms: 3000\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n"
                "Connection: close\r\n\r\n").encode()
        node = next((e.name for e in self.entries if e.front == port), str(port))
        if not quiet:
            self.record(f"consumer -> {node}: {method} {path} {text.decode()[:200]}")
        writer = None
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(HOST, port)
                writer.write(head + text)
                line, _, answer = await read_message(reader)
                result = int(line.split()[1]), answer.decode()
        except asyncio.TimeoutError:
            result = -1, ""
        except (OSError, asyncio.IncompleteReadError):
            result = 0, ""
        finally:
            if writer is not None:
                writer.close()
        if not quiet:
            said = {0: "no answer, connection ended", -1: "consumer leaves, no answer yet"}.get(result[0], str(result[0]))
            self.record(f"consumer <- {node}: {method} {path}: {said} {result[1][:100] if result[0] > 0 else ''}")
        return result

    def end(self):
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                entry.process.kill()
                entry.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def new_id():
    return f"{random.getrandbits(64):016x}"


def play(case, folder):
    """Runs the case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    async def run():
        site = Site(folder)
        try:
            async with asyncio.timeout(115):
                broken = await case(site, os.environ.get("TROUBLE", "1") != "0")
            site.record(f"verdict: {'broken: ' + broken if broken else 'the rule held'}")
            print(broken or "the rule held")
            status = 1 if broken else 0
        except Exception as error:  # pylint: disable=broad-except
            site.record(f"verdict: the case could not run: {error!r}")
            print(f"could not run: {error!r}")
            status = 2
        site.end()
        sys.stdout.flush()
        os._exit(status)  # without the reports of calls that are still open
    if not os.path.exists(os.path.join(ROOT, "target/jaymast-platform-entry")):
        print("target/jaymast-platform-entry is not built")
        sys.exit(2)
    asyncio.run(run())
