"""A new version that starts right after a new configuration reads requests by that file before clients go by it.

The platform holds the clients' socket. `watchlist-save` runs at most once. A new file makes it `by_key`, with SIGHUP
to the running process; clients go by it 1.2 s later. 0.1 s after SIGHUP `run` starts a second time beside the running
process (the disruption), which is told to end once the new one says yes. Queries that are asked up to 1.15 s after
SIGHUP are owed the rules of `once`. Two data servers fail fast in that time, with and without the disruption.
"""

import asyncio
import pathlib
import signal
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from rig import TROUBLE, CannotRun, DataServer, Discovery, free_port, play, settings, value_of

BINDS = 1.2                         # seconds from SIGHUP until clients go by the new file
MARGIN = 0.05                       # nothing is asked so close to that
WORK = 0.09                         # a part's work in seconds
FAILS_OF = 14                       # of so many parts in a row a failing server answers one: 93% fail
FAILING = {"s-0-0", "s-3-1"}        # two of twelve servers
ROUNDS = 3


class Server(DataServer):
    def __init__(self, rig, uid, cell):
        super().__init__(rig, uid, cell, self.work_on)
        self.cores = asyncio.Semaphore(2)
        self.taken_while_failing = 0

    async def work_on(self, part):
        if self.rig.failing and self.uid in FAILING:
            self.taken_while_failing += 1
            if self.taken_while_failing % FAILS_OF:
                await asyncio.sleep(0.005)
                return "bad", ""
        async with self.cores:
            if part.ended and not part.given_up:
                return None
            await asyncio.sleep(WORK)
        return "good", value_of(part)


async def case(rig):
    rig.failing = False
    discovery = await Discovery(rig).start()
    servers = [await Server(rig, f"s-{cell}-{row}", cell).start() for cell in range(6) for row in range(2)]
    discovery.entries = {server.uid: server.entry() for server in servers}
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(512)
    port = listener.getsockname()[1]
    config, shared = rig.temp / "config.json", rig.temp / "shared"

    def write(effect, ops):
        rig.write_config(config, listen=f"127.0.0.1:{port}", ops=f"127.0.0.1:{ops}", discovery=discovery.address,
                         known=discovery.known(), settings=settings(Services__1__Semantics=effect))

    ops = free_port()
    write("once", ops)
    broker = rig.start_broker("n0", config, tmpdir=shared, fd=listener.fileno())
    await rig.ready(ops, "/api/ready")
    for i in range(48):
        await rig.ask(port, "watchlist-save", [i % 24], 5000, key=f"warm-{i}")

    once = []

    async def burst(number, deadline):
        queries = [rig.new_query("watchlist-save", [cell + 6 * (number % 4)], 5000) for cell in (0, 3, 0, 3)]
        once.extend(queries)
        await asyncio.gather(*[rig.ask(port, "watchlist-save", q.shards, 5000, query=q, key=f"key-{q.id}") for q in queries])
        late = [q.id for q in queries if q.sent > deadline]
        if late:
            raise RuntimeError(f"asked after the time of the old file: {late}")

    loop = asyncio.get_running_loop()
    for turn in range(ROUNDS):
        await asyncio.sleep(1.5)
        write("by_key", ops)
        rig.signal(broker, signal.SIGHUP)
        binds = loop.time() + BINDS
        rig.record("file", watchlist_save="by_key")
        await asyncio.sleep(0.1)
        old = broker
        if TROUBLE:
            ops = free_port()
            write("by_key", ops)
            broker = rig.start_broker("n0", config, tmpdir=shared, fd=listener.fileno())
            rig.record("disruption", kind="new-version")
            await rig.ready(ops, "/api/ready", timeout=6)
            rig.signal(old, signal.SIGTERM)
        else:
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.1)
        if loop.time() > binds - 0.5:
            raise CannotRun("the new version took too long to start")
        rig.failing = True
        rig.record("fast-errors", servers=sorted(FAILING))
        limit = rig.record.now() + (binds - MARGIN - loop.time()) * 1000.0
        bursts = []
        for number in range(4):
            bursts.append(asyncio.ensure_future(burst(number, limit)))
            await asyncio.sleep(0.1)
        await asyncio.gather(*bursts)
        await asyncio.sleep(7.5)
        rig.failing = False
        if TROUBLE and old.poll() is None:
            rig.signal(old, signal.SIGKILL)
        await asyncio.sleep(2.0)
        write("once", ops)
        rig.signal(broker, signal.SIGHUP)
        rig.record("file", watchlist_save="once")
        await asyncio.sleep(3.0)
        for i in range(24):
            await rig.ask(port, "watchlist-save", [i % 24], 5000, key=f"again-{turn}-{i}")
    if broker.poll() is not None:
        raise RuntimeError("the broker has ended")

    breaks = []
    for query in once:
        for shard in query.shards:
            attempts = sorted((p for p in rig.parts if p.id == f"{query.id}.{shard}"), key=lambda p: p.at)
            ran = [p for p in attempts if p.ended is None or p.ended[1] != "later"]
            for later in attempts:
                if ran and later.at > ran[0].at and later is not ran[0]:
                    breaks.append(f"part {later.id} of a class that runs at most once: the attempt at {ran[0].server.uid} "
                                  f"({ran[0].at:.0f} ms, {ran[0].ended[1] if ran[0].ended else 'no answer'}) may have run, "
                                  f"and another went to {later.server.uid} ({later.at:.0f} ms)")
            if ran and query.status in (429, 503):
                breaks.append(f"query {query.id} of a class that runs at most once was refused with {query.status} though "
                              f"its part may have run at {ran[0].server.uid}")
    rig.record("asked-under-once", queries=len(once))
    return breaks


play(pathlib.Path(__file__).resolve().parent, case)
