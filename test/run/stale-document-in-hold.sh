# Guards against a change that stays unapplied because the coordinator alone is
# cut off from the store, while the other nodes reach it but wait for watches
# that have gone silent. A node in touch has it in force within 2 s.
announce_ms=870ms
hold_max_ms=10s
. test/run/lib-platform.sh

start_relayed_fleet
coordinator=$(coordinator_index)
silence_open_store_connections
# Time for the coordinator to notice its silent connections.
sleep 3
set_store_relay "$coordinator" mode=silent
put_config_in_time "${config/\/p\//\/q\/}" "$coordinator"
