# Guards against a diff that misses a difference, shows differences in a varying
# order, or writes to the store.
. test/run/lib-ctl.sh

start_store
document 64 >one.json
document 128 n03 >two.json
ctl diff one.json
ctl apply one.json --wait-s 0
ctl diff one.json
ctl diff two.json
ctl diff two.json --json
echo '{"version": 1}' >bad.json
ctl diff bad.json
ctl diff one.json
