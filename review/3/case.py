"""A worker leaves, the node beside it is started again, and a check-in that the
worker had sent before arrives late.

The worker sends a check-in that is delayed on its way, and then its departure,
which the node acknowledges. The worker goes on serving for 15 s. The node is
killed and started again. Then the delayed check-in arrives. Consumers send
requests at all machines all the time.
"""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))

from fleet import BOUNDS, TROUBLE, CannotRun, Consumer, main  # noqa: E402

HOST = "visits.example"
MACHINES = 3
SENDERS = 9
LATE_S = 3
WORK_S = 0.2
KILL_AFTER_S = 0.5
SERVES_S = 15


class Run:
    def __init__(self, fleet):
        self.fleet = fleet
        self.arrivals = []
        self.served = 0
        self.sending = True

    def observe(self, worker):
        async def run(method, target, request, echo, writer):
            self.arrivals.append((time.monotonic(), echo["Request-Id"]))
            return await worker.run_sound(method, target, request, echo, writer)
        worker.run = run
        for each in self.fleet.workers:
            each.work_s = WORK_S

    async def send(self, sender):
        node = self.fleet.nodes[sender % MACHINES]
        consumer = Consumer(node)
        number = 0
        while self.sending:
            request_id = f"visit-{sender}-{number}"
            number += 1
            try:
                answer = await consumer.request("POST", HOST, "/visits/1",
                                                request_id)
                result = answer.first_line
                self.served += result.startswith("HTTP/1.1 200")
            except (OSError, ValueError, asyncio.IncompleteReadError,
                    asyncio.TimeoutError) as error:
                consumer.close()
                result = f"the connection ended: {error!r}"
                await asyncio.sleep(0.2)
            self.fleet.record.line(f"answered {request_id} at {node.name}: {result}")
            await asyncio.sleep(0.05)
        consumer.close()


async def case(fleet):
    for number in range(MACHINES):
        fleet.add("rendez-vous", zone="bzh-" + "abc"[number % 3])
    fleet.publish(1, [{"host": HOST, "prefix": "/visits/", "kind": "unsafe",
                       "service": "rendez-vous"}])
    await fleet.start()
    await asyncio.sleep(4)
    node, worker = fleet.nodes[0], fleet.workers[0]
    run = Run(fleet)
    run.observe(worker)
    senders = [asyncio.create_task(run.send(s)) for s in range(SENDERS)]
    await asyncio.sleep(3)
    if not run.arrivals:
        raise CannotRun("the worker got no request before it left")

    delayed = worker.next_check_in()
    fleet.record.line(f"{worker.name} sends check-in {delayed['Status']}, "
                      f"which is {LATE_S} s late")
    worker.beats.cancel()
    await asyncio.sleep(0.1)
    if not await worker.leave():
        raise CannotRun("the departure was not acknowledged")
    left = time.monotonic()
    fleet.record.line(f"the departure of {worker.name} is acknowledged")
    if TROUBLE:
        await asyncio.sleep(KILL_AFTER_S)
        node.signal(signal.SIGKILL)
    await asyncio.sleep(left + LATE_S - time.monotonic())
    acknowledged = await worker.check_in(delayed)
    fleet.record.line(f"the late check-in arrives, acknowledged: {acknowledged}")
    await asyncio.sleep(left + SERVES_S - time.monotonic())
    run.sending = False
    await asyncio.gather(*senders)
    # All machines are in touch when the last start is ContactMs ago.
    bound = max(left + BOUNDS["DrainMs"] / 1000,
                node.started_at + BOUNDS["ContactMs"] / 1000 + 0.5)
    late = [request_id for t, request_id in run.arrivals if t > bound]
    fleet.record.line(f"served {run.served}; requests that reached {worker.name} "
                      f"later than DrainMs after the acknowledgement, all "
                      f"machines in touch: {len(late)} {late[:5]}")
    return not late


main(HERE, case)
