"""DRAIN: a departure that the store has lost in a restore is forgotten when the
node is restarted."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lab2"))
import lab as L  # noqa: E402

# How long the store is away before it comes back from an older copy.
STORE_DOWN_S = 0.5
# How late the check-in arrives that was sent before the departure.
LATE_S = 4.5
# How long the worker serves after the confirmation of its departure.
SERVES_S = 14.0
RATE_S = 0.05


async def main(lab):
    record = lab.record
    await lab.start(["svc-a", "svc-b", "svc-a"],
                    [("a.example", "/a/", "unsafe", "svc-a", 3000)])
    n1, n2, n3 = lab.nodes
    x = L.Worker(record, n1, "i-x", "svc-a", slots=3)
    y = L.Worker(record, n3, "i-y", "svc-a", slots=4)
    lab.workers += [x, y]
    arrivals, cut = [], []
    for worker in (x, y):
        worker.on_arrival = lambda r, h, w=worker: (
            record.write(f"worker {w.name} runs {r}"),
            arrivals.append((record.now(), w.name, r)))
        worker.on_end = lambda r, how, w=worker: (
            record.write(f"worker {w.name} ends {r}: {how}"),
            cut.append(r) if how != "done" else None)
        await worker.start()
    await asyncio.sleep(6)

    results, asked = [], set()

    async def one():
        consumer = L.Consumer(record, n2)
        results.append(await consumer.ask("POST", "a.example", "/a/1", 3000,
                                          {"Work-Ms": 300}, b"order"))
        consumer.close()

    async def traffic():
        while True:
            task = asyncio.create_task(one())
            asked.add(task)
            task.add_done_callback(asked.discard)
            await asyncio.sleep(RATE_S)

    load = asyncio.create_task(traffic())
    await asyncio.sleep(4)
    x.beats.cancel()
    ready_at = 0
    late = x.check_in_body()
    sent_at = record.now()
    record.write(f"worker i-x sends a check-in, Seq {late['Status']['Seq']}, "
                 f"which is {LATE_S} s on its way")
    copied = lab.store.copy()
    await asyncio.sleep(0.3)
    if not await x.leave():
        raise L.CannotRun("the departure was not confirmed")
    left_at = record.now()
    if L.TROUBLE:
        lab.store.state = "down"
        record.write("the store is away")
        await asyncio.sleep(STORE_DOWN_S)
        lab.store.restore(copied)
        lab.store.state = None
        record.write(f"the store is back from a copy of {sent_at:.3f}")
        await asyncio.sleep(0.2)
        n1.send(L.signal.SIGTERM)
        await n1.ended(L.BOUNDS["GraceS"])
        await n1.start()
        await n1.wait_ready()
        ready_at = record.now()
        record.write("node n1 is ready again")
    await asyncio.sleep(max(0, sent_at + LATE_S - record.now()))
    status = await x.check_in(late)
    record.write(f"the late check-in arrives: {status}")
    await asyncio.sleep(max(0, left_at + SERVES_S - record.now()))
    x.stop()
    gone_at = record.now()
    record.write("worker i-x exits")
    await asyncio.sleep(1)
    load.cancel()
    await asyncio.gather(*asked, return_exceptions=True)

    counted_from = max(left_at + L.BOUNDS["DrainMs"] / 1000,
                       ready_at + L.BOUNDS["ContactMs"] / 1000)
    late_runs = [r for t, name, r in arrivals
                 if name == "i-x" and counted_from < t <= gone_at]
    status_of = dict(results)
    lost = [r for r in cut if status_of.get(r, 200) != 200]
    record.write(f"departure confirmed at {left_at:.3f}; requests that reached "
                 f"the worker after {counted_from:.3f}: {len(late_runs)}; of "
                 f"those that it ran, cut by its exit: {len(cut)}, answers: "
                 f"{sorted(status_of[r] for r in lost)}")
    if late_runs:
        return (f"{len(late_runs)} requests reached the worker later than DrainMs "
                f"after the confirmation of its departure; {len(lost)} of its "
                f"runs were lost when it exited")
    return None


L.run_case(main, HERE)
