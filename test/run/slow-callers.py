"""Reads large answers slowly, beside small requests.

Usage: slow-callers.py PORT CALLERS SECONDS LARGE-PATH BYTES SMALL-PATH

Prints, one a line: callers that got a whole answer, answers that were not
whole, refusals without an outcome of not-run, small requests that failed.
"""
import asyncio, socket, sys, time

PORT, CALLERS, SECONDS = map(int, sys.argv[1:4])
LARGE, BYTES, SMALL = sys.argv[4], int(sys.argv[5]), sys.argv[6]
PIECE = 16 * 1024  # read every PAUSE_S: 540 KB in about 3 s
PAUSE_S = 0.1
RETRY_S = 1
counts = {"whole": 0, "not whole": 0, "bad refusals": 0, "small failed": 0}
bodies = set()


async def ask(path, limit, pause_s):
    s = socket.socket()
    # With the segments of the loopback device, the kernel's send buffer would
    # take a whole answer, and the daemon would hold nothing.
    s.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
    s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PIECE)
    s.setblocking(False)
    await asyncio.get_running_loop().sock_connect(s, ("127.0.0.1", PORT))
    reader, writer = await asyncio.open_connection(sock=s, limit=limit)
    writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nTest-Request: same\r\n"
                 f"Test-Answer-Bytes: {BYTES if path == LARGE else 10}\r\n"
                 "Monsoonpin-Deadline-Ms: 20000\r\n"
                 "Connection: close\r\n\r\n".encode())
    data = b""
    while piece := await reader.read(PIECE):
        data += piece
        await asyncio.sleep(pause_s)
    writer.close()
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode().lower().split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
    whole = len(body) == int(fields.get("content-length", "-1"))
    return lines[0].split(" ")[1] if " " in lines[0] else "", fields, body, whole


async def read_slowly(end):
    while time.monotonic() < end:
        status, fields, body, whole = await ask(LARGE, PIECE, PAUSE_S)
        if status == "200":
            counts["whole" if whole and len(body) > BYTES else "not whole"] += 1
            bodies.add(body)
            return
        if status != "503" or fields.get("monsoonpin-outcome") != "not-run":
            counts["bad refusals"] += 1
        await asyncio.sleep(RETRY_S)


async def ask_small(end):
    while time.monotonic() < end:
        status, _, _, whole = await ask(SMALL, PIECE, 0)
        counts["small failed"] += status != "200" or not whole
        await asyncio.sleep(0.05)


async def main():
    end = time.monotonic() + SECONDS
    await asyncio.gather(ask_small(end),
                         *(read_slowly(end) for _ in range(CALLERS)))

asyncio.run(main())
for name, count in counts.items():
    print(f"{name}: {count}")
print(f"different bodies: {len(bodies)}")
