# Guards against a change to a restored document that gets a revision which was
# given out before, and against one whose operator is not told that it lacks the
# changes since the copy.
. test/run/lib-ctl.sh

ctl_numbers() { # ctl, with revisions that follow a restore replaced
	ctl "$@" | sed -E -e 's/[0-9]{13}/NUMBER/g'
}

start_store
document 64 >one.json
document 128 >two.json
document 256 >three.json
document 64 n07 >four.json
ctl apply one.json --wait-s 0
control copy
ctl apply two.json --wait-s 0
control restore
ctl diff two.json
ctl_numbers apply three.json --wait-s 0
ctl_numbers apply four.json --wait-s 0
control restore
ctl_numbers apply three.json --wait-s 0 --json
