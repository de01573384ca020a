"""
Stand-ins and helpers for the scripts of the second review.

Fleet starts mpin-kvstore and one mpind a machine, with the command of
deploy/system.toml and the settings of deploy/mpind.toml filled in as for a
small deployment (figures of the falaj-pumpout site). Each machine has a
loopback address of its own. Upstream is a stand-in of a server as PROTOCOL.md
describes it; request() is a stand-in of a consumer.

Every process that is started is ended by its id. Record writes record.txt.
"""

import asyncio
import base64
import json
import mmap
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
BIN = os.path.join(ROOT, "target")

HELD = 0
BROKEN = 1
CANNOT_RUN = 2

PORTS = {"app": 8301, "ready": 8302, "outbound": 8304, "control": 8306,
         "inbound": 8300}
HEARTBEAT_S = 1.5


class CannotRun(Exception):
    pass


def now():
    return time.monotonic()


class Record:
    """Lines of record.txt: seconds since the start, and what happened."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = now()

    def add(self, text, at=None):
        t = (now() if at is None else at) - self.start
        self.file.write("%8.3f %s\n" % (t, text))
        self.file.flush()


# ---- settings ----

def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, dict):
            value = value.get(part)
        elif isinstance(value, list) and part.isdigit():
            value = value[int(part)] if int(part) < len(value) else None
        else:
            return None
    return value


def fill_template(text, fields):
    """The placeholders of DEPLOY.md that deploy/mpind.toml uses."""
    def section(m):
        value = lookup(fields, m.group(1))
        if value is None or value is False:
            return ""
        return m.group(2).replace("{{.}}", str(value))

    def plain(m):
        value = lookup(fields, m.group(1))
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", plain, text)


def settings_of(name, ip, zone, region, service, store):
    return {
        "nodeName": name, "ip": ip, "zone": zone, "region": region,
        "service": service,
        "listen": {k: "%s:%d" % (ip, PORTS[k])
                   for k in ("inbound", "outbound", "ready", "control")},
        "portRange": [7620, 7635],
        "limits": {"linkMbps": 1000.0},
        "heartbeat": "1500ms",
        "bounds": {"drain": "2000ms", "grace": "6s", "budgetRatio": 0.2,
                   "budgetWindow": "10s", "budgetSlack": 60,
                   "holdMax": "10000ms"},
        "platform": {"address": store},
    }


def deploy_command(path):
    with open(os.path.join(ROOT, "deploy/system.toml")) as f:
        run = re.search(r'^run = "(.*)"', f.read(), re.M).group(1)
    words = run.split()
    words[0] = os.path.join(ROOT, words[0])
    return [path if w.startswith("/etc/") else w for w in words]


# ---- fleet ----

class Machine:
    def __init__(self, fleet, index, zone, region, service):
        self.fleet = fleet
        self.name = "sidecar-%s-%d" % (zone, index)
        self.ip = "%s.%d" % (fleet.net, index)
        self.zone = zone
        self.region = region
        self.service = service
        self.process = None
        self.settings = os.path.join(fleet.work, self.name + ".toml")

    def write_settings(self):
        with open(os.path.join(ROOT, "deploy/mpind.toml")) as f:
            text = f.read()
        fields = settings_of(self.name, self.ip, self.zone, self.region,
                             self.service, self.store_address())
        with open(self.settings, "w") as f:
            f.write(fill_template(text, fields))

    def store_address(self):
        return self.fleet.store_address

    def start(self):
        self.write_settings()
        log = open(os.path.join(self.fleet.work, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            deploy_command(self.settings), cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""),
                 "MONSOONPIN_SETTINGS": self.settings})
        log.close()
        self.fleet.record.add("start mpind of %s, pid %d" %
                              (self.name, self.process.pid))

    def send_signal(self, number):
        self.fleet.record.add("signal %s to mpind of %s" %
                              (signal.Signals(number).name, self.name))
        self.process.send_signal(number)

    def kill(self):
        self.send_signal(signal.SIGKILL)
        self.process.wait()

    def log_text(self):
        with open(os.path.join(self.fleet.work, self.name + ".log"),
                  errors="replace") as f:
            return f.read()


class Fleet:
    def __init__(self, record):
        self.record = record
        self.work = tempfile.mkdtemp(prefix="review-")
        self.net = "127.%d.%d" % (random.randint(50, 250),
                                  random.randint(1, 250))
        self.machines = []
        self.upstreams = []
        self.children = []
        self.store = None
        self.version = 12

    def start_store(self):
        with socket.socket() as s:
            s.bind(("127.0.0.1", 0))
            self.store_port = s.getsockname()[1]
        self.store_address = "127.0.0.1:%d" % self.store_port
        log = open(os.path.join(self.work, "store.log"), "ab")
        try:
            self.store = subprocess.Popen(
                [os.path.join(BIN, "mpin-kvstore"), str(self.store_port)],
                stdout=log, stderr=log)
        except OSError as e:
            raise CannotRun("mpin-kvstore: %s" % e)
        log.close()
        self.wait_port("127.0.0.1", self.store_port)

    def wait_port(self, ip, port, seconds=10):
        end = now() + seconds
        while now() < end:
            try:
                socket.create_connection((ip, port), 0.5).close()
                return
            except OSError:
                time.sleep(0.05)
        raise CannotRun("nothing listens on %s:%d" % (ip, port))

    def control_store(self, path, body=b""):
        q = urllib.request.Request("http://%s/control/%s" %
                                   (self.store_address, path), data=body,
                                   method="POST")
        urllib.request.urlopen(q, timeout=3).read()

    def put_config(self, config):
        """Writes the configuration as the operator does, one version on."""
        config = dict(config, version="%08x" % self.version)
        self.version += 1
        self.control_store("put?key=op/config", json.dumps(config).encode())
        self.record.add("operator wrote version %s" % config["version"])

    def add(self, zone, region, service):
        m = Machine(self, len(self.machines) + 1, zone, region, service)
        self.machines.append(m)
        return m

    def finish(self):
        for m in self.machines:
            if m.process and m.process.poll() is None:
                m.process.send_signal(signal.SIGCONT)
                m.process.kill()
                m.process.wait()
        for pid in self.children:
            os.kill(pid, signal.SIGKILL)
            os.waitpid(pid, 0)
        if self.store and self.store.poll() is None:
            self.store.kill()
            self.store.wait()
        if os.environ.get("KEEP"):
            print("logs:", self.work)
        else:
            shutil.rmtree(self.work, ignore_errors=True)


def config_of(routes, services):
    """routes: (name, prefix, kind, timeout, target, service, attempts)"""
    return {
        "routes": {
            "columns": ["name", "host", "pathPrefix", "kind", "timeout",
                        "targetLatency", "priority", "service", "maxAttempts",
                        "weightedClusters"],
            "rows": [[n, "a.example", p, k, t, g, 1, s, a, None]
                     for n, p, k, t, g, s, a in routes]},
        "services": {
            "columns": ["name", "healthPath", "maxConnections", "protocol",
                        "sharded", "warm"],
            "rows": [[n, "/health", 120, "http1", keyed,
                      "5s" if keyed else None] for n, keyed in services]},
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeout": "10s", "idleTimeout": "30s"},
    }


# ---- HTTP ----

async def read_message(reader):
    """Returns (first line, headers, body), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if not size:
                    break
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return lines[0], headers, body


async def call(ip, port, method, path, headers, body=b"", timeout=1.0):
    """One request on a connection of its own: (status, headers, body)."""
    async def run():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            head = "%s %s HTTP/1.1\r\n" % (method, path)
            for name, value in headers.items():
                head += "%s: %s\r\n" % (name, value)
            if body or method in ("POST", "PUT"):
                head += "Content-Length: %d\r\n" % len(body)
            writer.write(head.encode() + b"\r\n" + body)
            await writer.drain()
            answer = await read_message(reader)
            if not answer:
                return 0, {}, b""
            return int(answer[0].split()[1]), answer[1], answer[2]
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError):
        return 0, {}, b""


attempts = 0


def new_attempt():
    global attempts
    attempts += 1
    return "%08x%08x" % (os.getpid(), attempts)


async def request(record, machine, method, path, key=None, time_limit_ms=1200,
                  body=b"", attempt=None):
    """A consumer's attempt at its own machine: (attempt, status)."""
    attempt = attempt or new_attempt()
    headers = {"Host": "a.example", "X-Attempt-Id": attempt,
               "X-Deadline-Remaining": str(time_limit_ms)}
    if key is not None:
        headers["X-Shard-Key"] = str(key)
    record.add("sent %s %s %s key=%s at %s" % (attempt, method, path, key,
                                               machine.name))
    status, _, _ = await call(machine.ip, PORTS["outbound"], method, path,
                              headers, body, time_limit_ms / 1000)
    record.add("answered %s %s" % (attempt, status or "none"))
    return attempt, status


# ---- upstream ----

def runs_of(numbers):
    """(first, last) of each run of neighbouring numbers."""
    runs = []
    for n in sorted(numbers):
        if runs and runs[-1][1] == n - 1:
            runs[-1][1] = n
        else:
            runs.append([n, n])
    return [tuple(r) for r in runs]


class Upstream:
    """A server beside a machine: runs requests, sends heartbeats."""

    def __init__(self, fleet, machine, slots=13, work_s=0.05):
        self.fleet = fleet
        self.record = fleet.record
        self.machine = machine
        self.slots = slots
        self.work_s = work_s
        self.life = 0
        self.up = False
        self.server = None
        self.tasks = set()
        self.runs = []  # (time, attempt, key)
        fleet.upstreams.append(self)

    async def start(self):
        self.life += 1
        self.id = "i-%s-%d" % (self.machine.ip.replace(".", ""), self.life)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.held = []      # (first, last, fence)
        self.released = []  # (first, last, handover)
        self.hold_end = 0
        self.fences = {}    # shard of 16 keys -> highest fence seen
        self.running = 0
        self.state = "ready"
        self.up = True
        await self.start_server()
        self.beat_task = asyncio.ensure_future(self.beats())
        self.record.add("upstream %s starts, born %d" % (self.id, self.born))

    async def start_server(self):
        self.server = await asyncio.start_server(
            self.serve, self.machine.ip, PORTS["app"])

    def fails(self, writer):
        return False

    def crash(self):
        self.record.add("upstream %s crashes" % self.id)
        self.up = False
        self.held = []
        self.hold_end = 0
        self.beat_task.cancel()
        self.server.close()
        for t in list(self.tasks):
            t.cancel()

    def holds(self, key):
        if now() >= self.hold_end:
            return False
        return any(a <= key <= b for a, b, _ in self.held)

    def held_shards(self):
        """Shards of 16 keys that it holds now, if it is up."""
        if not self.up or now() >= self.hold_end:
            return set()
        return {s for a, b, _ in self.held
                for s in range(a // 16, b // 16 + 1)}

    # -- heartbeats --

    def beat(self):
        self.sequence += 1
        held = self.held if now() < self.hold_end else []
        return {"service": self.machine.service,
                "address": "%s:%d" % (self.machine.ip, PORTS["app"]),
                "zone": self.machine.zone, "version": "v1",
                "slots": self.slots, "state": self.state,
                "coldRemaining": "0ms", "sequence": self.sequence,
                "born": self.born, "holds": [list(r) for r in held],
                "released": [list(r) for r in self.released]}

    def take_holds(self, answer, sent):
        rows = answer.get("holds")
        if rows is None:
            return False
        taken = []
        for first, last, fence, _ in rows:
            shards = range(first // 16, last // 16 + 1)
            if any(self.fences.get(s, 0) > fence for s in shards):
                continue
            for s in shards:
                self.fences[s] = fence
            taken.append((first, last, fence))
        before = self.held_shards()
        kept = {s for a, b, _ in taken for s in range(a // 16, b // 16 + 1)}
        self.released = [(a * 16, b * 16 + 15, "%016x" % a)
                         for a, b in runs_of(before - kept)]
        text = answer["hold_time"]
        seconds = float(text[:-2]) / 1000 if text.endswith("ms") \
            else float(text[:-1])
        self.hold_end = sent + seconds
        if taken != self.held:
            self.held = taken
            self.record.add("upstream %s holds %d of 4096 shards in %d rows, "
                            "until %.3f" % (self.id, len(kept), len(taken),
                                            self.hold_end -
                                            self.record.start))
        return bool(self.released)

    async def beats(self):
        while True:
            sent = now()
            status, _, body = await call(
                self.machine.ip, PORTS["control"], "POST",
                "/api/instances/%s/heartbeat" % self.id,
                {"Host": self.machine.ip, "Content-Type": "application/json"},
                json.dumps(self.beat()).encode(), 1.0)
            soon = False
            if 200 <= status < 300 and len(body) <= 4096:
                try:
                    soon = self.take_holds(json.loads(body or b"{}"), sent)
                except ValueError:
                    pass
            await asyncio.sleep(0.05 if soon else
                                max(0.1, HEARTBEAT_S - (now() - sent)))

    # -- requests --

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                message = await read_message(reader)
                if not message or self.fails(writer):
                    break
                writer.write(await self.answer(*message))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    def reply(self, status, headers, attempt, body=b"", run=True):
        text = "HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\n" \
            % (status, attempt, self.id)
        text += "X-Server-Load: %d,0,%d\r\n" % (self.running, self.slots)
        for name, value in headers.items():
            text += "%s: %s\r\n" % (name, value)
        return text.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body

    async def answer(self, line, headers, body):
        attempt = headers.get("x-attempt-id", "-")
        expected = headers.get("x-expected-instance")
        key = headers.get("x-shard-key")
        refused = {"X-Not-Executed": "1"}
        if expected and expected != self.id:
            return self.reply(421, refused, attempt)
        if key is not None and not self.holds(int(key)):
            return self.reply(421, refused, attempt)
        if self.running >= self.slots * 5:
            return self.reply(503, refused, attempt)
        self.running += 1
        self.runs.append((now(), attempt, key))
        self.record.add("run %s key=%s by %s" % (attempt, key, self.id))
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        if key is not None and not self.holds(int(key)):
            return self.reply(500, {"X-Server-Seal": self.id}, attempt)
        return self.reply(200, {"X-Server-Seal": self.id + "." + attempt},
                          attempt, b"done " + attempt.encode())


RESET = struct.pack("ii", 1, 0)  # SO_LINGER: close() resets


class GreyUpstream(Upstream):
    """
    An upstream that can fail a share of its requests by resetting their
    connections: a new one as it is accepted, a kept one when the next request
    has come. A process of its own accepts the connections and hands over those
    that it keeps.
    """

    async def start_server(self):
        self.share = mmap.mmap(-1, 8)
        self.set_grey(0)
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.machine.ip, PORTS["app"]))
        listener.listen(128)
        self.handover, child = socket.socketpair(socket.AF_UNIX,
                                                 socket.SOCK_DGRAM)
        self.acceptor = os.fork()
        if not self.acceptor:
            self.accept_forever(listener, child)
        self.fleet.children.append(self.acceptor)
        listener.close()
        child.close()
        self.handover.setblocking(False)
        asyncio.get_running_loop().add_reader(self.handover, self.take_over)

    def accept_forever(self, listener, parent):
        try:
            while True:
                c, _ = listener.accept()
                if random.random() < struct.unpack("d", self.share[:8])[0]:
                    c.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    c.close()
                    parent.send(b"r")
                else:
                    socket.send_fds(parent, [b"k"], [c.fileno()])
                    c.close()
        finally:
            os._exit(0)

    def take_over(self):
        data, fds, _, _ = socket.recv_fds(self.handover, 1, 1)
        if not fds:
            self.resets += 1
            self.record.add("upstream %s resets a new connection" % self.id)
            return
        asyncio.ensure_future(self.serve_socket(socket.socket(fileno=fds[0])))

    async def serve_socket(self, c):
        c.setblocking(False)
        await self.serve(*await asyncio.open_connection(sock=c))

    def set_grey(self, share):
        self.resets = 0
        self.grey = share
        self.share[:8] = struct.pack("d", share)

    def fails(self, writer):
        if random.random() >= self.grey:
            return False
        c = writer.get_extra_info("socket")
        c.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.transport.abort()
        return True


class OwnerCheck:
    """OWNER: two upstreams that are up hold the same keys for over 0.5 s."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.since = {}
        self.longest = {}
        self.task = asyncio.ensure_future(self.watch())

    async def watch(self):
        while True:
            self.look()
            await asyncio.sleep(0.02)

    def look(self):
        t = now()
        held = [(u, u.held_shards()) for u in self.fleet.upstreams]
        for i, (u, a) in enumerate(held):
            for v, b in held[i + 1:]:
                pair = (u.id, v.id)
                both = a & b
                since = self.since.get(pair, {})
                self.since[pair] = {s: since.get(s, t) for s in both}
                for s, begin in self.since[pair].items():
                    if t - begin > self.longest.get(pair, (0,))[0]:
                        self.longest[pair] = (t - begin, s, len(both))

    def report(self):
        """Returns the longest time that two upstreams held the same keys."""
        worst = 0
        for (u, v), (span, shard, count) in sorted(self.longest.items()):
            self.fleet.record.add(
                "%s and %s both held keys %d to %d (one of %d shards) for "
                "%.3f s" % (u, v, shard * 16, shard * 16 + 15, count, span))
            worst = max(worst, span)
        return worst


# ---- runs ----

async def until(seconds, what, check):
    end = now() + seconds
    while now() < end:
        result = check()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return
        await asyncio.sleep(0.1)
    raise CannotRun("waited too long: " + what)


def run_script(folder, main):
    """main(fleet, trouble) returns HELD or BROKEN. Exits with the result."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet = Fleet(record)
    result = CANNOT_RUN

    async def bounded():
        return await asyncio.wait_for(main(fleet, trouble), 110)

    try:
        fleet.start_store()
        result = asyncio.run(bounded())
    except CannotRun as e:
        record.add("cannot run: %s" % e)
    except asyncio.TimeoutError:
        record.add("cannot run: it took too long")
    except Exception as e:  # a fault of the script breaks no rule
        record.add("cannot run: %r" % e)
    finally:
        fleet.finish()
    record.add({HELD: "the rule held", BROKEN: "the rule was broken",
                CANNOT_RUN: "the case could not run"}[result])
    raise SystemExit(result)
