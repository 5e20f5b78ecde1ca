"""A late `later` for an attempt that was given up is taken for the end of the next attempt at that part.

Twelve data servers, two for each code range, and one broker. Four times, one query for one code range meets a data
server whose queue is filled by other brokers' parts. The broker gives that attempt up and tries the other server of
the set, which fails fast (the disruption), so that it comes back to the first one, on the same connection. The first
server drops the given-up part at its turn with `later`, and works on the new attempt right after.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from rig import TROUBLE, DataServer, Discovery, free_port, play, settings, value_of

WORK = 0.09         # a part's work in seconds, at one of two cores
BACKLOG = 18        # other brokers' parts in the queue of a busy server: 9 for each core
FAILING = 7.5       # how long a server fails fast, in seconds
FAILS_OF = 14       # of so many parts in a row it answers one: 93% fail


class Server(DataServer):
    """Two cores, a queue in order of arrival, and parts that were given up while they waited are dropped."""

    def __init__(self, rig, uid, cell):
        super().__init__(rig, uid, cell, self.work_on)
        self.cores = asyncio.Semaphore(2)
        self.failing_until = 0.0
        self.taken_while_failing = 0

    async def other_brokers_part(self):
        async with self.cores:
            await asyncio.sleep(WORK)

    def fail_fast(self):
        self.rig.record("disruption", kind="fast-errors", server=self.uid)
        self.failing_until = self.rig.record.now() + FAILING * 1000.0

    async def work_on(self, part):
        if self.rig.watched == part.text and not self.rig.met:
            self.rig.met = True
            self.rig.record("busy", server=self.uid, queued=BACKLOG)
            for _ in range(BACKLOG):
                asyncio.ensure_future(self.other_brokers_part())
            await asyncio.sleep(0)
            if TROUBLE:
                for server in self.rig.servers:
                    if server.cell == self.cell and server is not self:
                        server.fail_fast()
        if self.rig.record.now() < self.failing_until:
            self.taken_while_failing += 1
            if self.taken_while_failing % FAILS_OF:
                await asyncio.sleep(0.005)
                return "bad", ""
        async with self.cores:
            if part.given_up:
                return "later", ""
            if part.ended:
                return None
            await asyncio.sleep(WORK)
        return "good", value_of(part)


async def case(rig):
    discovery = await Discovery(rig).start()
    rig.watched, rig.met = None, False
    rig.servers = [await Server(rig, f"s-{cell}-{row}", cell).start() for cell in range(6) for row in range(2)]
    discovery.entries = {server.uid: server.entry() for server in rig.servers}
    port, ops = free_port(), free_port()
    config = rig.temp / "config.json"
    rig.write_config(config, listen=f"127.0.0.1:{port}", ops=f"127.0.0.1:{ops}", discovery=discovery.address,
                     known=discovery.known(), settings=settings())
    rig.start_broker("n0", config)
    await rig.ready(port)

    async def usual(count):
        for i in range(count):
            asyncio.ensure_future(rig.ask(port, "lookup", [(i * 3 + j) % 24 for j in range(3)]))
            await asyncio.sleep(0.06)
        await asyncio.sleep(1.0)

    await usual(200)
    for cell in range(4):
        query = rig.new_query("lookup", [cell], 4000)
        rig.watched, rig.met = query.id, False
        await rig.ask(port, "lookup", [cell], query=query)
        await asyncio.sleep(FAILING)
        await usual(40)
    return [
        f"part {first.id}: the attempt at {first.server.uid} (arrived {first.at:.0f} ms, "
        f"{'ended ' + format(first.ended[0], '.0f') + ' ms ' + first.ended[1] if first.ended else 'never ended'}) was out "
        f"when the one at {second.server.uid} arrived ({second.at:.0f} ms)"
        for first, second in rig.second_copies()
    ]


play(pathlib.Path(__file__).resolve().parent, case)
