"""Stand-in for an upstream of the platform (PROTOCOL.md), one process each.

It announces itself at the control address of its own machine, takes the keys
that the answers give it, runs requests whose key it holds and refuses others
with 421. It prints one line for each event, with the time in ms of
CLOCK_MONOTONIC, which all processes of the machine share:

    T born MS | T run ID KEY | T done ID | T refused ID STATUS
    T holds END FIRST-LAST/FENCE ... (END: when the hold runs out)
"""
import argparse
import asyncio
import json
import signal
import sys
import time


def now_ms():
    return time.monotonic() * 1000


def say(*words):
    print("%.1f" % now_ms(), *words, flush=True)


def parse_time(text):
    return float(text[:-2]) if text.endswith("ms") else float(text[:-1]) * 1000


class Upstream:
    def __init__(self, o):
        self.o = o
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.held = []          # (first, last, fence)
        self.hold_end = 0
        self.fences = {}        # (first, last) -> highest fence seen
        self.released = []
        self.working = {}       # request id -> key
        self.draining = False

    # ---- keys ----
    def holds_key(self, key):
        if now_ms() >= self.hold_end:
            return False
        return any(a <= key <= b for a, b, _ in self.held)

    def log_holds(self):
        say("holds", "%.1f" % self.hold_end,
            *["%d-%d/%d" % r for r in self.held])

    def take(self, rows, time_ms, sent):
        new = []
        for first, last, fence, _ in rows:
            seen = max([f for (a, b), f in self.fences.items()
                        if a <= last and first <= b] or [0])
            if fence < seen:
                say("row_refused", first, last, fence, seen)
                continue
            new.append((first, last, fence))
        for a, b, f in new:
            self.fences[(a, b)] = f
        old = self.held if now_ms() < self.hold_end else []
        self.released = [r for r in old
                         if not any(a <= r[0] and r[1] <= b for a, b, _ in new)]
        self.held = new
        self.hold_end = sent + time_ms
        self.log_holds()

    # ---- pings ----
    async def post(self, path, body):
        reader, writer = await asyncio.open_connection("127.0.0.1",
                                                       self.o.control)
        try:
            data = json.dumps(body).encode()
            writer.write(("POST %s HTTP/1.1\r\nHost: control\r\n"
                          "Content-Type: application/json\r\n"
                          "Content-Length: %d\r\nConnection: close\r\n\r\n"
                          % (path, len(data))).encode() + data)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split()[1])
            return status, await reader.read(4096 * 16)
        finally:
            writer.close()

    async def ping(self):
        self.sequence += 1
        held = self.held if now_ms() < self.hold_end else []
        body = {"service": self.o.service,
                "address": "127.0.0.1:%d" % self.o.port,
                "zone": self.o.zone, "version": "v1", "slots": self.o.slots,
                "state": "draining" if self.draining else "ready",
                "coldRemaining": "0ms", "sequence": self.sequence,
                "born": self.born}
        if self.o.sharded:
            body["holds"] = [list(r) for r in held]
            body["released"] = [[a, b, "%016x" % (self.born + f)]
                                for a, b, f in self.released]
        sent = now_ms()
        try:
            status, text = await asyncio.wait_for(
                self.post("/api/instances/%s/heartbeat" % self.o.id, body), 1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        if status != 200 or len(text) > 4096:
            return False
        self.released = []
        answer = json.loads(text or b"{}")
        if self.o.sharded and "holds" in answer:
            self.take(answer["holds"], parse_time(answer["hold_time"]), sent)
        return True

    async def announce(self):
        say("born", self.born)
        while True:
            begun = now_ms()
            ok = await self.ping()
            wait = 100 if self.released else self.o.heartbeat
            if not ok:
                wait = 200
            await asyncio.sleep(max(0, begun + wait - now_ms()) / 1000)

    # ---- requests ----
    async def serve(self, reader, writer):
        try:
            while await self.one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        h = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                h[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(h.get("content-length", 0)))
        rid = h.get("x-attempt-id", "-")
        key = h.get("x-shard-key")

        def answer(status, extra, text=b""):
            writer.write(("HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\n"
                          "X-Instance-Id: %s\r\n%sContent-Length: %d\r\n\r\n"
                          % (status, rid, self.o.id, extra, len(text))
                          ).encode() + text)

        refuse = None
        if h.get("x-expected-instance", self.o.id) != self.o.id:
            refuse = 421
        elif self.o.sharded and not self.holds_key(int(key or -1)):
            refuse = 421
        elif len(self.working) >= self.o.slots:
            refuse = 503
        if refuse:
            say("refused", rid, refuse)
            answer(refuse, "X-Not-Executed: 1\r\n")
            await writer.drain()
            return True
        say("run", rid, key or "-", lines[0].split()[1], len(body))
        self.working[rid] = key
        await asyncio.sleep(self.o.work / 1000)
        self.working.pop(rid, None)
        say("done", rid)
        answer(200, "X-Server-Seal: %s.%s\r\n" % (self.o.id, rid),
               b"answer to %s\n" % rid.encode())
        await writer.drain()
        return True


async def main():
    p = argparse.ArgumentParser()
    p.add_argument("--port", type=int, required=True)
    p.add_argument("--control", type=int, required=True)
    p.add_argument("--id", required=True)
    p.add_argument("--service", required=True)
    p.add_argument("--zone", default="z")
    p.add_argument("--sharded", action="store_true")
    p.add_argument("--slots", type=int, default=18)
    p.add_argument("--heartbeat", type=float, default=870)
    p.add_argument("--work", type=float, default=20)
    u = Upstream(p.parse_args())
    loop = asyncio.get_running_loop()

    def drain():
        u.draining = True

    loop.add_signal_handler(signal.SIGUSR1, drain)
    loop.add_signal_handler(signal.SIGTERM, sys.exit)
    server = await asyncio.start_server(u.serve, "127.0.0.1", u.o.port)
    async with server:
        await u.announce()

asyncio.run(main())
