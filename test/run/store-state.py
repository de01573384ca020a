"""Prints what a coordinator has written to a store stand-in, as JSON.

Usage: store-state.py platform|etcd PORT
       store-state.py compare OLD NEW

The state is the record "coord", the names in the roster, and the map as a
coordinator would load it: the snapshot with the change records after it. The
map is null if a record is missing. The second form prints what NEW lacks of
OLD, one line each.
"""
import base64
import json
import sys
import urllib.request

PREFIX = "/mpin/"


def read_keys(store, port):
    url = "http://127.0.0.1:%s" % port
    if store == "platform":
        url += "/api/kv-range?pathPrefix=" + PREFIX
        request = urllib.request.Request(url)
    else:
        end = PREFIX[:-1] + chr(ord(PREFIX[-1]) + 1)
        body = {"key": base64.b64encode(PREFIX.encode()).decode(),
                "range_end": base64.b64encode(end.encode()).decode()}
        request = urllib.request.Request(
            url + "/v3/kv/range", json.dumps(body).encode())
    with urllib.request.urlopen(request, timeout=5) as answer:
        root = json.load(answer)
    keys = {}
    for kv in root.get("items", root.get("kvs", [])):
        name = kv["key"]
        if store == "etcd":
            name = base64.b64decode(name).decode()
        keys[name[len(PREFIX):]] = base64.b64decode(kv.get("value", ""))
    return keys


def read_varint(data, at):
    value = shift = 0
    while True:
        value |= (data[at] & 0x7f) << shift
        shift += 7
        at += 1
        if not data[at - 1] & 0x80:
            return value, at


def read_message(data):
    """Returns the fields of a protobuf message: number -> list of values."""
    fields = {}
    at = 0
    while at < len(data):
        tag, at = read_varint(data, at)
        if tag & 7 == 0:
            value, at = read_varint(data, at)
        else:
            if tag & 7 == 2:
                size, at = read_varint(data, at)
            else:
                size = 8 if tag & 7 == 1 else 4
            value, at = data[at:at + size], at + size
        fields.setdefault(tag >> 3, []).append(value)
    return fields


def read_map(keys):
    """Field numbers are those of MapDelta and MapSlot in protocol/wire.proto."""
    parts = [keys[k] for k in sorted(keys) if k.startswith("map/snap/")]
    records = [keys[k] for k in sorted(keys) if k.startswith("map/log/")]
    revision = 0
    slots = {}
    for data in ([b"".join(parts)] if parts else []) + records:
        delta = read_message(data)
        base = delta.get(2, [0])[0]
        after = delta.get(3, [0])[0]
        if after <= revision:
            continue
        if base not in (0, revision):
            return None
        if base == 0:
            slots = {}
        for slot in map(read_message, delta.get(5, [])):
            slots[slot.get(1, [0])[0]] = [slot.get(2, [0])[0],
                                          slot.get(3, [0])[0]]
        revision = after
    return {"revision": revision, "slots": slots}


def read_state(store, port):
    keys = read_keys(store, port)
    roster = read_message(keys.get("roster", b""))
    nodes = [read_message(read_message(entry)[1][0])
             for entry in roster.get(3, [])]
    record = json.loads(keys.get("coord", b"{}"))
    return {"term": record.get("term", 0), "node": record.get("node"),
            "roster": sorted(node[2][0].decode() for node in nodes),
            "map": read_map(keys)}


def compare(old, new):
    """Prints what new lacks. Owners may change, with higher fences."""
    if new["term"] < old["term"]:
        print("term: %d, was %d" % (new["term"], old["term"]))
    missing = sorted(set(old["roster"]) - set(new["roster"]))
    if missing:
        print("roster without", " ".join(missing))
    if not new["map"]:
        print("map: records are missing")
        return
    if new["map"]["revision"] < old["map"]["revision"]:
        print("map: revision %d, was %d" % (new["map"]["revision"],
                                            old["map"]["revision"]))
    for slot, (owner, fence) in old["map"]["slots"].items():
        now = new["map"]["slots"].get(slot, [0, 0])
        if now[1] < fence or (now[1] == fence and now[0] != owner):
            print("slot %s: owner %d fence %d, was owner %d fence %d" %
                  (slot, *now, owner, fence))


if sys.argv[1] == "compare":
    compare(*(json.load(open(name, encoding="utf-8"))
              for name in sys.argv[2:4]))
else:
    print(json.dumps(read_state(sys.argv[1], sys.argv[2])))
