"""A small deployment of monsoonpin on loopback addresses.

Starts target/mpind with the template of the deploy file, the project's
stand-in of the platform's store, and upstreams and clients written here. The
upstreams and clients do what PROTOCOL.md allows them. Each machine has a
loopback address of its own; ports are the same on all machines.

Everything that is sent, answered and run goes to record.txt.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
MPIND = os.path.join(ROOT, "target", "mpind")
KVSTORE = os.path.join(ROOT, "target", "mpin-kvstore")
HEARTBEAT_S = 0.87
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run; this says nothing about the rule."""


def now():
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def free_port(address):
    with socket.socket() as s:
        s.bind((address, 0))
        return s.getsockname()[1]


def parse_time(text):
    m = re.fullmatch(r"([0-9.]+)(ms|s)", text)
    return float(m[1]) / (1000 if m[2] == "ms" else 1)


class Record:
    """record.txt: one line for each thing that was sent, answered or run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = now()

    def __call__(self, what, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{now() - self.start:9.3f} {what} {text}\n")
        self.file.flush()

    def at(self):
        return now() - self.start


async def read_head(reader):
    """Returns (first line, headers in lower case) or None at the end."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_end=False):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return body
            body += part[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_end else b""


async def call(ip, port, method, path, headers=(), body=b"", timeout=2.0,
               source="127.0.0.1"):
    """One request on a new connection; (status, headers, body) or None."""

    async def talk():
        reader, writer = await asyncio.open_connection(
            ip, port, local_addr=(source, 0))
        try:
            head = [f"{method} {path} HTTP/1.1"]
            head += [f"{k}: {v}" for k, v in headers]
            if body or method == "POST":
                head.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
            line, answer = await read_head(reader)
            data = await read_body(reader, answer, True)
            return int(line.split()[1]), answer, data
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(talk(), timeout)
    except (OSError, EOFError, asyncio.TimeoutError, ValueError,
            asyncio.IncompleteReadError):
        return None


class Fleet:
    def __init__(self, folder, services, config, heartbeat_s=HEARTBEAT_S):
        """services: the service of the upstream of each machine."""
        self.record = Record(folder)
        self.work = tempfile.mkdtemp(prefix="mpin-review-")
        self.services = services
        self.config = config
        # Number of the zone that each machine is in.
        self.places = list(range(len(services)))
        self.version = 11
        self.heartbeat_s = heartbeat_s
        net = random.randrange(1, 250)
        self.ips = [f"127.9.{net}.{i + 1}" for i in range(len(services))]
        base = random.randrange(10000, 29000)
        self.ports = dict(app=base, outbound=base + 1, ready=base + 2,
                          control=base + 3, peer=base + 4, admin=base + 5)
        self.store_port = free_port("127.0.0.1")
        self.daemons = {}
        self.store = None
        self.processes = []
        self.tasks = []
        self.upstreams = []

    # ---- processes ----

    def spawn(self, name, words):
        log = open(os.path.join(self.work, name + ".log"), "ab")
        p = subprocess.Popen(words, stdout=log, stderr=log, cwd=ROOT)
        self.processes.append(p)
        return p

    def settings(self, i):
        """Fills in deploy/mpind.toml as the platform does."""
        ip, port = self.ips[i], self.ports
        fields = {
            "nodeName": f"sidecar-{i}",
            "region": f"r{self.places[i] % 3}",
            "zone": f"z{self.places[i] % 6}", "service": self.services[i], "ip": ip,
            "listen.outbound": f"{ip}:{port['outbound']}",
            "listen.ready": f"{ip}:{port['ready']}",
            "listen.control": f"{ip}:{port['control']}",
            "portRange.0": port["peer"], "portRange.1": port["admin"],
            "platform.address": f"127.0.0.1:{self.store_port}",
            "heartbeat": f"{int(self.heartbeat_s * 1000)}ms",
            "bounds.holdMax": "10000ms", "bounds.drain": "2000ms",
            "bounds.budgetRatio": 0.2, "bounds.budgetSlack": 62,
            "bounds.budgetWindow": "10s", "bounds.grace": "6s",
            "limits.linkMbps": "1000.0",
        }
        with open(os.path.join(ROOT, "deploy", "mpind.toml")) as f:
            text = f.read()
        text = re.sub(r"\{\{([^}]+)\}\}", lambda m: str(fields[m[1]]), text)
        path = os.path.join(self.work, f"settings-{i}.toml")
        with open(path, "w") as f:
            f.write(text)
        return path

    def start_daemon(self, i):
        self.record("daemon_started", machine=i)
        self.daemons[i] = self.spawn(
            f"daemon-{i}", [MPIND, "--config", self.settings(i)])

    def kill_daemon(self, i, sig=signal.SIGKILL):
        self.record("daemon_signal", machine=i, signal=signal.Signals(sig).name)
        self.daemons[i].send_signal(sig)
        if sig == signal.SIGKILL:
            self.daemons[i].wait()

    def start_store(self):
        self.store = self.spawn("store", [KVSTORE, str(self.store_port)])

    async def control_store(self, path, body=b""):
        answer = await call("127.0.0.1", self.store_port, "POST", path,
                            body=body)
        if not answer or answer[0] != 200:
            raise CannotRun(f"store: {path}")

    async def put_config(self, config=None):
        if config:
            self.config = config
        self.version += 1
        self.config["version"] = f"{self.version:08x}"
        await self.control_store("/control/put?key=op/config",
                                 json.dumps(self.config).encode())
        self.record("config_acknowledged", version=self.config["version"])

    async def start(self, count=None):
        """Starts the store and the first count machines, by default all."""
        for path in (MPIND, KVSTORE):
            if not os.access(path, os.X_OK):
                raise CannotRun(f"{path} is not built")
        self.start_store()
        await self.wait("the store", self.store_answers, 10)
        for i in range(count or len(self.services)):
            self.start_daemon(i)
        await self.put_config()

    async def store_answers(self):
        return await call("127.0.0.1", self.store_port, "GET",
                          "/api/kv-key?key=x", timeout=0.5) is not None

    async def is_ready(self, i):
        answer = await call(self.ips[i], self.ports["ready"], "GET",
                            "/api/ready", timeout=0.5)
        return answer is not None and answer[0] == 200

    async def all_ready(self):
        for i in range(len(self.services)):
            if not await self.is_ready(i):
                return False
        return True

    async def wait(self, what, fn, seconds):
        end = now() + seconds
        while now() < end:
            if await fn():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"no {what} after {seconds} s")

    def spawn_task(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    def finish(self):
        for p in self.processes:
            if p.poll() is None:
                try:
                    p.send_signal(signal.SIGCONT)
                    p.kill()
                    p.wait()
                except ProcessLookupError:
                    pass
        if os.environ.get("KEEP"):
            print("logs:", self.work, file=sys.stderr)
        else:
            shutil.rmtree(self.work, ignore_errors=True)

    # ---- consumers ----

    async def request(self, i, host, path, key=None, method="GET", body=b"",
                      limit_ms=2000):
        """One consumer attempt on machine i; returns its status or None."""
        ident = f"{random.getrandbits(64):016x}"
        headers = [("Host", host), ("X-Attempt-Id", ident),
                   ("X-Deadline-Remaining", limit_ms)]
        if key is not None:
            headers.append(("X-Shard-Key", key))
        self.record("sent", id=ident, machine=i, method=method, path=path,
                    key=key)
        sent = self.record.at()
        answer = await call(self.ips[i], self.ports["outbound"], method, path,
                            headers, body, limit_ms / 1000)
        status = answer[0] if answer else None
        self.record("answered", id=ident, status=status,
                    seal=answer[1].get("x-server-seal") if answer else None)
        return Attempt(ident, sent, self.record.at(), key, status,
                       answer[1] if answer else {}, answer[2] if answer else b"")


class Attempt:
    def __init__(self, ident, sent, ended, key, status, headers, body):
        self.ident, self.sent, self.ended = ident, sent, ended
        self.key, self.status = key, status
        self.headers, self.body = headers, body


class Upstream:
    """An application beside the daemon of machine i."""

    def __init__(self, fleet, i, ident, work_s=0.02, sharded=False):
        self.fleet, self.i, self.ident = fleet, i, ident
        self.work_s, self.sharded = work_s, sharded
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.held = []  # (first, last, fence)
        self.hold_end = 0.0
        self.highest = [0] * 65536  # highest generation number seen, by key
        self.released = []  # (first, last, handover), not acknowledged
        self.refused_rows = self.answer_len = 0
        self.accepted_rows = 0
        self.connections = set()
        self.alive = True
        self.runs = []  # (time, id)
        self.early_ping = asyncio.Event()

    async def start(self):
        f = self.fleet
        self.server = await asyncio.start_server(
            self.serve, f.ips[self.i], f.ports["app"], reuse_address=True)
        self.pinger = f.spawn_task(self.ping_loop())
        f.upstreams.append(self)
        f.record("upstream_started", machine=self.i, id=self.ident)
        return self

    def end(self):
        """The process ends: connections close, nothing is sent any more."""
        self.alive = False
        self.server.close()
        self.pinger.cancel()
        for writer in list(self.connections):
            writer.transport.abort()
        self.fleet.record("upstream_ended", machine=self.i, id=self.ident)

    # ---- keys ----

    def holds(self):
        return self.held if now() < self.hold_end else []

    def keys(self):
        keys = set()
        for a, b, _ in self.holds():
            keys.update(range(a, b + 1))
        return keys

    def holds_key(self, key):
        return any(a <= key <= b for a, b, _ in self.holds())

    def take_rows(self, rows, time_s, sent):
        taken = []
        refused = 0
        for first, last, fence, _ in rows:
            if fence < max(self.highest[first:last + 1]):
                refused += 1
                continue
            taken.append((first, last, fence))
            self.highest[first:last + 1] = [fence] * (last + 1 - first)
        before = set(self.holds())
        kept = set()
        for a, b, _ in taken:
            kept.update(range(a, b + 1))
        gone = []
        for a, b, _ in before:
            lost = [k for k in range(a, b + 1) if k not in kept]
            for k in lost:
                if gone and gone[-1][1] == k - 1 and gone[-1][0] >= a:
                    gone[-1][1] = k
                else:
                    gone.append([k, k])
        self.released = [(a, b, f"{random.getrandbits(64):016x}")
                         for a, b in gone]
        self.held = taken
        self.hold_end = sent + time_s
        self.refused_rows, self.accepted_rows = refused, len(taken)
        self.fleet.record("holds", id=self.ident, rows=len(taken),
                          refused=refused,
                          keys=sum(b - a + 1 for a, b, _ in taken),
                          fences=f"{min((f for *_, f in taken), default=0)}-"
                                 f"{max((f for *_, f in taken), default=0)}")
        return bool(gone)

    # ---- pings ----

    def ping_body(self):
        f = self.fleet
        self.sequence += 1
        return json.dumps({
            "service": f.services[self.i],
            "address": f"{f.ips[self.i]}:{f.ports['app']}",
            "zone": f"z{f.places[self.i] % 6}", "version": "v1", "slots": 18,
            "state": self.state, "coldRemaining": "0ms",
            "sequence": self.sequence, "born": self.born,
            "holds": [list(r) for r in self.holds()] if self.sharded else [],
            "released": [list(r) for r in self.released],
        }).encode()

    async def ping(self):
        f = self.fleet
        sent = now()
        answer = await call(
            f.ips[self.i], f.ports["control"], "POST",
            f"/api/instances/{self.ident}/heartbeat",
            [("Content-Type", "application/json")], self.ping_body(), 1.0,
            source=f.ips[self.i])
        if not answer or answer[0] // 100 != 2 or len(answer[2]) > 4096:
            f.record("ping", id=self.ident, state=self.state, answered="no")
            return False
        f.record("ping", id=self.ident, state=self.state, answered=answer[0])
        self.released = []
        self.answer_len = len(answer[2])
        got = json.loads(answer[2] or b"{}")
        if "holds" in got and self.sharded:
            return self.take_rows(got["holds"], parse_time(got["hold_time"]),
                                  sent)
        return False

    async def ping_loop(self):
        while self.alive:
            again = await self.ping()
            try:
                await asyncio.wait_for(self.early_ping.wait(),
                                       0.05 if again else self.fleet.heartbeat_s)
                self.early_ping.clear()
            except asyncio.TimeoutError:
                pass

    async def deregister(self):
        f = self.fleet
        body = json.dumps({"service": f.services[self.i],
                           "born": self.born}).encode()
        answer = await call(f.ips[self.i], f.ports["control"], "POST",
                            f"/api/instances/{self.ident}/deregister",
                            [("Content-Type", "application/json")], body, 1.0,
                            source=f.ips[self.i])
        f.record("deregister", id=self.ident,
                 answered=answer[0] if answer else None)
        return answer is not None and answer[0] // 100 == 2

    # ---- requests ----

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while self.alive:
                line, headers = await read_head(reader)
                await self.handle(line, headers, reader, writer)
        except (OSError, EOFError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def answer(self, writer, status, headers, body=b""):
        head = [f"HTTP/1.1 {status} X"]
        head += [f"{k}: {v}" for k, v in headers]
        head.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)

    async def handle(self, line, headers, reader, writer):
        body = await read_body(reader, headers)
        method, path, _ = line.split(" ", 2)
        ident = headers.get("x-attempt-id", "-")
        expected = headers.get("x-expected-instance")
        key = headers.get("x-shard-key")
        refusal = [("X-Not-Executed", "1"), ("X-Attempt-Id", ident),
                   ("X-Instance-Id", self.ident)]
        if expected and expected != self.ident:
            self.fleet.record("rejected", id=ident, upstream=self.ident,
                              status=421, why="other instance")
            return self.answer(writer, 421, refusal)
        if self.sharded and (key is None or not self.holds_key(int(key))):
            self.fleet.record("rejected", id=ident, upstream=self.ident,
                              status=421, why="key not held", key=key)
            return self.answer(writer, 421, refusal)
        self.runs.append((self.fleet.record.at(), ident))
        self.fleet.record("run", id=ident, upstream=self.ident, method=method,
                          path=path, key=key, body=len(body))
        await self.run(method, path, ident, headers, body, writer)

    async def run(self, method, path, ident, headers, body, writer):
        await asyncio.sleep(self.work_s)
        self.answer(writer, 200, [("X-Attempt-Id", ident),
                                  ("X-Server-Seal", f"seal.{ident}")],
                    f"done {ident}\n".encode())


class OverlapWatch:
    """Looks every 20 ms whether two upstreams that are up hold the same keys.

    longest is the longest time for which two of them held one key together.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.longest = 0.0
        self.text = ""
        self.since = {}  # pair of ids -> (time, keys held by both since then)
        fleet.spawn_task(self.run())

    def look(self):
        held = [(u.ident, u.keys()) for u in self.fleet.upstreams if u.alive]
        for i, (x, keys_x) in enumerate(held):
            for y, keys_y in held[:i]:
                both = keys_x & keys_y
                start, common = self.since.get((x, y), (now(), both))
                common = common & both
                if not common:
                    if not both:
                        self.since.pop((x, y), None)
                        continue
                    start, common = now(), both
                self.since[x, y] = start, common
                if now() - start > self.longest:
                    self.longest = now() - start
                    self.text = (f"{x} and {y} hold {len(common)} keys, "
                                 f"{min(common)} among them")

    async def run(self):
        while True:
            self.look()
            await asyncio.sleep(0.02)


def make_config(services, routes):
    """services: name -> sharded; routes: rows of name, host, prefix, kind,
    service."""
    return {
        "version": "0000000c",
        "routes": {
            "columns": ["name", "host", "pathPrefix", "kind", "timeout",
                        "targetLatency", "priority", "service", "maxAttempts",
                        "weightedClusters"],
            "rows": [[n, h, p, k, "3000ms", "500ms", 1, s, 2, None]
                     for n, h, p, k, s in routes]},
        "services": {
            "columns": ["name", "sharded", "warm"],
            "rows": [[n, s or None, "2s" if s else None]
                     for n, s in services.items()]},
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeout": "5s", "idleTimeout": "20s"},
    }


def main(case):
    """Runs case(folder), a coroutine that returns the broken rule or None."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))

    def end(status, text):
        print(text, flush=True)
        # Tasks of clients and upstreams may still run.
        os._exit(status)

    async def run():
        signal.signal(signal.SIGTERM, lambda *a: sys.exit(2))
        try:
            broken = await asyncio.wait_for(case(folder), 115)
        except CannotRun as e:
            end(2, f"cannot run: {e}")
        except asyncio.TimeoutError:
            end(2, "cannot run: no end after 115 s")
        end(1 if broken else 0, f"broken: {broken}" if broken else "held")

    asyncio.run(run())
