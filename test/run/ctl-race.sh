# Guards against a change that overwrites another one written meanwhile, that is
# refused without naming the other one, or that is refused although the other
# one concerns another section.
. test/run/lib-ctl.sh

start_store
document 64 >one.json
document 128 >two.json
document 64 n07 >three.json
ctl apply one.json --wait-s 0

# The store answers slowly, so both read revision 1 before either writes.
control 'slow?ms=1000'
USER=bob "$BIN/mpinctl" apply two.json --wait-s 0 >bob.txt 2>&1 &
bob=$!
sleep 0.5
ctl apply three.json --wait-s 0
wait "$bob"
echo "exit $?"
cat bob.txt

# A drain races with a change of a service: it is repeated and succeeds.
document 256 >two.json
USER=bob "$BIN/mpinctl" apply two.json --wait-s 0 >bob.txt 2>&1 &
bob=$!
sleep 0.5
ctl drain n09 --wait-s 0
wait "$bob"
echo "exit $?"
cat bob.txt

# Two drains race: the second is refused and names the first.
USER=bob "$BIN/mpinctl" drain n01 --wait-s 0 >bob.txt 2>&1 &
bob=$!
sleep 0.5
ctl drain n02 --wait-s 0 --json
wait "$bob"
echo "exit $?"
cat bob.txt
control 'slow?ms=0'
ctl diff one.json
