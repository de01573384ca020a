"""Checks what the target stand-ins held, from their logs.

Usage: held-keys.py LOG...

Prints the number of keys that two servers held at a time, of keys that a server
got with a fence that was not higher than the one of another server before, and
of ranges that servers refused for a low fence. Details go to standard error.
A log belongs to one process, which was not killed: only it ends what it held.
"""
import re
import sys
import time

# The logs still grow while they are read one after the other. Lines of the last
# moment are left out, which may be missing in some of them.
END_MS = time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000000 - 500

RANGE = re.compile(r"(\d+)-(\d+)/(\d+)")


def read_holds(name, holds):
    """Adds [start, end, server, fence] to the list of each key."""
    open_holds = {}  # key -> entry
    refused = 0
    for line in open(name, encoding="utf-8"):
        if line.startswith("refused"):
            refused += 1
            print(name, line.strip(), file=sys.stderr)
        if not line.startswith("holds at="):
            continue
        now = int(line.split()[1][len("at="):])
        if now > END_MS:
            break
        held = {}
        for first, last, fence in RANGE.findall(line):
            for key in range(int(first), int(last) + 1):
                held[key] = int(fence)
        for key in list(open_holds):
            if held.get(key) != open_holds[key][3]:
                open_holds.pop(key)[1] = now
        for key, fence in held.items():
            if key not in open_holds:
                open_holds[key] = [now, float("inf"), name, fence]
                holds.setdefault(key, []).append(open_holds[key])
    return refused


def check(name_list):
    holds = {}
    refused = sum(read_holds(name, holds) for name in name_list)
    twice = set()
    details = 0
    fence_back = set()
    for key, entries in holds.items():
        entries.sort()
        for i, later in enumerate(entries):
            for earlier in entries[:i]:
                same = later[2] == earlier[2]
                overlap = not same and earlier[1] > later[0]
                back = later[3] < earlier[3] + (not same)
                if overlap:
                    twice.add(key)
                if back:
                    fence_back.add(key)
                if (overlap or back) and details < 20:
                    details += 1
                    print(key, earlier, later, file=sys.stderr)
    print("keys held by two targets at a time: %d" % len(twice))
    print("keys whose fence went back: %d" % len(fence_back))
    print("ranges that targets refused: %d" % refused)


check(sys.argv[1:])
