# Guards against problems that are reported without their path or one at a time,
# and against a wrong exit status, on which scripts rely.
. test/run/lib-ctl.sh

document 64 n03 >good.json
ctl validate good.json
ctl validate good.json --json
cat >bad.json <<'JSON'
{"version": 1, "extra": 0,
 "services": {
  "a": {"route": {"prefix": "/a/"}, "shards": 100},
  "b": {"route": {"prefix": "/a/b/", "key": "header:"}, "shards": 8,
        "assign": [{"shards": [0, 8], "nodes": ["n 1"]}],
        "limits": {"deadline_ms": 1}}},
 "stops": [{"node": "n1", "state": "drain"}, {"node": "n1", "state": "off"}]}
JSON
ctl validate bad.json
printf '{"version": 1,\n"services": {"a": 1, "a": 2},}' >syntax.json
ctl validate syntax.json --json
printf '{"version": "\377"}' >bytes.json
ctl validate bytes.json
ctl validate missing.json
ctl validate
ctl validate good.json extra
ctl validate good.json --wait-s 3
ctl inspect good.json
