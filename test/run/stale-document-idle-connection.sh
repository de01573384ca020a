# Guards against a read of the document that waits for an idle connection which
# has gone silent: with the time until the read begins, the wait for the time-out
# of the call is longer than the 2 s within which a change has to be in force.
announce_ms=870ms
hold_max_ms=10s
. test/run/lib-platform.sh

start_relayed_fleet
coordinator=$(coordinator_index)
set_store_relay "$coordinator" mode=silent
# The other nodes read the document themselves, and their connections are idle
# once the coordinator reaches the store again.
nodes_have_read() {
	[ "$(cat "$WORK"/n*.log | grep -c 'event=document_unconfirmed')" -ge 2 ]
}
wait_for 10 "reads of the other nodes" nodes_have_read
set_store_relay "$coordinator" mode=pass
sleep 1.2
for i in 0 1 2; do
	[ "$i" = "$coordinator" ] ||
		set_store_relay $i "mode=silent&scope=existing"
done
sleep 1
[ "$(coordinator_index)" = "$coordinator" ] || fail "another coordinator"
set_store_relay "$coordinator" mode=silent
put_config_in_time "${config/\/p\//\/q\/}" "$coordinator"
