# Guards against a change that is applied twice or reported as failed: the store
# writes it, but its answer is lost.
. test/run/lib-ctl.sh

start_store
document 64 >one.json
document 128 >two.json
control 'lose-answers?count=1&mode=drop'
ctl apply one.json --wait-s 0
control 'lose-answers?count=1&mode=silent'
ctl drain n03 --wait-s 0
ctl diff one.json

# The answer is lost and another operator's change follows before the result
# is read back.
control 'lose-answers?count=1&mode=silent'
"$BIN/mpinctl" undrain n03 --wait-s 0 >first.txt 2>&1 &
first=$!
sleep 0.7
USER=bob ctl apply two.json --wait-s 0
wait "$first"
echo "exit $?"
cat first.txt

# While the store is down nothing is written.
control 'down?mode=refuse'
ctl apply one.json --wait-s 0
control up
ctl diff two.json
kill "$store"
wait "$store" 2>/dev/null
ctl apply one.json --wait-s 0
trap - EXIT
