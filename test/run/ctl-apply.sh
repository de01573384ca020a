# Guards against output that does not tell whether an accepted document is in
# force, and against drain and undrain that change more than the stops.
. test/run/lib-ctl.sh

start_store
document 64 >one.json
document 128 >two.json
ctl apply one.json --wait-s 0
ctl apply one.json --wait-s 0
ctl apply two.json --wait-s 1
ctl drain n03 --wait-s 0
ctl drain n03 --wait-s 0
ctl undrain n04
ctl drain 'n 4'
ctl diff two.json
ctl undrain n03 --wait-s 0 --json
ctl diff two.json
ctl drain --data-centre z1 --wait-s 0
ctl drain --data-centre z1 --wait-s 0
ctl undrain z1
ctl diff two.json
ctl undrain --data-centre z1 --wait-s 0
ctl status --data-centre
ctl apply two.json --author ''
ctl status
ctl explain kiln passau-1
ctl forget n03
