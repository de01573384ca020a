"""A node that restarts forgets that its upstream has said that it leaves.

Three machines with upstreams of one service. The upstream of machine 2 never
reports draining: it sends its deregister call, which the node acknowledges,
goes on serving and pinging, and ends 10 s later. 0.3 s after the ack the node
is killed, and started again after 0.5 s.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib"))
from fleet import TROUBLE, CannotRun, Fleet, Upstream, main, make_config

DRAIN_S = 2.0  # bounds.drain
STABLE_WINDOW_S = 3.0  # bounds.stableWindow: the killed machine is in touch
#                        again so long after its start
SERVES_ON_S = 10.0


async def case(folder):
    f = Fleet(folder, ["desk"] * 3,
              make_config({"desk": False}, [("book", "a.example", "/p/",
                                             "non_idempotent", "desk")]))
    attempts = []
    try:
        await f.start()
        upstreams = [await Upstream(f, i, f"i-{i}", work_s=0.1).start()
                     for i in range(3)]
        await f.wait("readiness", f.all_ready, 30)

        async def consumer(i):
            while True:
                attempts.append(await f.request(i, "a.example", "/p/x",
                                                method="POST", body=b"x" * 200))
                await asyncio.sleep(0.05)

        for i in range(3):
            f.spawn_task(consumer(i))
        await asyncio.sleep(5)
        leaving = upstreams[2]
        if not leaving.runs:
            raise CannotRun("the upstream of machine 2 got no requests")
        if not await leaving.deregister():
            raise CannotRun("the leave call was not acknowledged")
        acknowledged = in_touch = f.record.at()
        if TROUBLE:
            await asyncio.sleep(0.3)
            f.kill_daemon(2)
            await asyncio.sleep(0.5)
            f.start_daemon(2)
            in_touch = f.record.at() + STABLE_WINDOW_S
        await asyncio.sleep(SERVES_ON_S - (f.record.at() - acknowledged))
        working = {a for _, a in leaving.runs[-20:]}
        leaving.end()
        await asyncio.sleep(3)
        # A machine in touch took the request, and the one that sent it on has
        # been in touch for a while as well.
        sent = {a.ident: a.sent for a in attempts}
        late = [t for t, a in leaving.runs
                if t > acknowledged + DRAIN_S and sent.get(a, 0) > in_touch]
        lost = [a for a in attempts if a.ident in working and a.status != 200]
        last = max(late) - acknowledged if late else 0
        print(f"{len(late)} requests ran at the leaving upstream later than "
              f"{DRAIN_S} s after the ack, the last {last:.1f} s after it; "
              f"{len(lost)} that it worked on when it ended failed")
        f.record("result", late=len(late), failed_at_its_end=len(lost))
        return "DRAIN" if late else None
    finally:
        f.finish()


main(case)
