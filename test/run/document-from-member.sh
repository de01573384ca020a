# Guards against a change that stays unapplied on nodes that the store turns away,
# because the coordinator is one of them, although other nodes have it.
announce_ms=870ms
hold_max_ms=10s
. test/run/lib-platform.sh

start_relayed_fleet
coordinator=$(coordinator_index)
reader=$(((coordinator + 1) % 3))
for i in 0 1 2; do
	[ "$i" = "$reader" ] || set_store_relay $i mode=reset
done
put_config_in_time "${config/\/p\//\/q\/}"
[ "$(coordinator_index)" = "$coordinator" ] && echo "under the same coordinator"
