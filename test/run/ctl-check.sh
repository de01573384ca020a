# Guards against entries without effect that an operator is not told of, and
# against a check that fails or waits because the store cannot be reached.
. test/run/lib-ctl.sh

document 64 >good.json
cat >odd.json <<'JSON'
{"version": 1,
 "services": {
  "kiln": {"shards": 64, "targets": {"nodes": ["n01", "n02"]},
           "pins": [{"key": "a", "node": "n07"}]}},
 "routes": {
  "r": {"prefix": "/r/", "timeout_ms": 900, "target_ms": 1200,
        "regions": ["sur"], "to": [{"service": "kiln"}]}}}
JSON
echo '{"version": 1, "services": {"kiln": {"shards": 3}}}' >bad.json
ctl check good.json --offline
ctl check odd.json --offline --json
ctl check bad.json --offline
ctl check good.json
start_store
ctl apply good.json --wait-s 0
ctl check good.json
ctl check odd.json
ctl check odd.json --json
ctl check missing.json
ctl check
ctl diff good.json --offline
