# Guards against an accepted document that is lost, replaced by an older one, or
# refused for ever after the store (etcd's protocol) is restored from a copy of
# before it: the coordinator writes it back, and a new coordinator gets it from a
# member. Changes that follow the restore must be in force within 6 s.
. test/run/lib-proof.sh
add_proof_nodes
start_proof_fleet
apply_edit() { # apply_edit DEADLINE-MS: applies this deadline
	sed "s/\"deadline_ms\": [0-9]*/\"deadline_ms\": $1/" \
		"$WORK/document.json" >"$WORK/edit-$1.json"
	ctl apply "$WORK/edit-$1.json" >"$WORK/apply-$1.log" 2>&1
	echo "$?" >"$WORK/apply-$1.status"
	cat "$WORK/apply-$1.log" >&2
}
stored() { # stored DEADLINE-MS: true if the store has this document
	ctl diff "$WORK/edit-$1.json" 2>/dev/null | grep -q "^no difference"
}
expect_in_force() { # expect_in_force DEADLINE-MS: the apply was successful
	[ "$(cat "$WORK/apply-$1.status")" = 0 ] && echo "$1 in force: yes"
}
# The map and the roster must be in the copy: only the document is to differ.
sleep 1
control_store copy
apply_edit 3001
expect_in_force 3001
control_store restore
wait_for 6 "3001 written back" stored 3001 && echo "3001 written back: yes"
apply_edit 3002
expect_in_force 3002
# The coordinator is lost with the store's state.
control_store copy
apply_edit 3003
expect_in_force 3003
first=$(coordinator)
kill_processes "daemon-$first"
control_store restore
wait_for 10 "3003 written back" stored 3003 && echo "3003 written back: yes"
start_daemon "$first"
wait_owned 20
apply_edit 3004
expect_in_force 3004
# An operator changes the document right after the restore.
sleep 1
control_store copy
apply_edit 3005
expect_in_force 3005
control_store restore
apply_edit 3006
expect_in_force 3006
sleep 3
stored 3006 && echo "3006 stored: yes"
for node in "${node_names[@]}"; do
	awk '/event=started/ { last = 0 }
		/event=document_in_force/ {
			split($0, a, "revision="); split(a[2], b, " ")
			if (b[1] + 0 <= last) exit 1
			last = b[1] + 0
		}' "$WORK/daemon-$node.log" || echo "reverted on $node"
	grep -h "event=document_in_force" "$WORK/daemon-$node.log" |
		tail -n 1 | sed 's/.*revision=//'
done | sort -u | wc -l
grep -hE "event=document_(written_back|renumbered|of_member|fetch)" \
	"$WORK"/daemon-*.log >&2
