"""Of five configurations in quick succession the fourth is forgotten, and with it that a class runs at most once.

One broker, twelve data servers, two for each code range. The operator replaces the configuration five times, 0.4 s
apart (the disruption; without it 2.5 s apart), each time with SIGHUP. Only the fourth file makes `watchlist-save` a
class of effect `once`. Clients go by each file 1.2 s after its SIGHUP; those that ask in the time of the fourth are
owed the rules of `once`. Two data servers fail fast in that time, with and without the disruption.
"""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from rig import TROUBLE, DataServer, Discovery, free_port, play, settings, value_of

APART = 0.4 if TROUBLE else 2.5     # seconds between two configurations
BINDS = 1.2                         # seconds from SIGHUP until clients go by the new file
MARGIN = 0.05                       # nothing is asked so close to a change
WORK = 0.09                         # a part's work in seconds
FAILS_OF = 14                       # of so many parts in a row a failing server answers one: 93% fail
FAILING = {"s-0-0", "s-3-1"}        # two of twelve servers
ROUNDS = 3

# What each file says of `watchlist-save` and of the attempts for one part.
FILES = [("by_key", 3), ("by_key", 4), ("by_key", 3), ("once", 4), ("by_key", 4)]


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
    port, ops = free_port(), free_port()
    config = rig.temp / "config.json"

    def write(effect, attempts):
        rig.write_config(config, listen=f"127.0.0.1:{port}", ops=f"127.0.0.1:{ops}", discovery=discovery.address,
                         known=discovery.known(),
                         settings=settings(Services__1__Semantics=effect, Allowed__SendCap=attempts))

    write("by_key", 4)
    broker = rig.start_broker("n0", config)
    await rig.ready(port)
    for i in range(48):
        await rig.ask(port, "watchlist-save", [i % 24], 5000, key=f"warm-{i}")
    await asyncio.sleep(1.0)

    once = []

    async def burst(number, deadline):
        queries = [rig.new_query("watchlist-save", [cell + 6 * (number % 4)], 5000) for cell in (0, 3, 0, 3)]
        once.extend(queries)
        await asyncio.gather(*[rig.ask(port, "watchlist-save", q.shards, 5000, query=q, key=f"key-{q.id}") for q in queries])
        late = [q.id for q in queries if q.sent > deadline]
        if late:
            raise RuntimeError(f"asked after the time of the fourth file: {late}")

    for _ in range(ROUNDS):
        announced = []
        loop = asyncio.get_running_loop()
        start = loop.time()
        for number, (effect, attempts) in enumerate(FILES):
            await asyncio.sleep(max(0.0, start + number * APART - loop.time()))
            write(effect, attempts)
            rig.signal(broker, signal.SIGHUP)
            announced.append(loop.time())
            rig.record("file", number=number + 1, watchlist_save=effect, attempts=attempts)
            if number == 3:
                begins = announced[3] + BINDS + MARGIN
        ends = announced[4] + BINDS - MARGIN
        # In the slow form the fourth file's time begins before the fifth comes, and in the fast one after.
        if ends - announced[4] > 0 and begins < loop.time():
            begins = loop.time()
        await asyncio.sleep(max(0.0, begins - loop.time()))
        rig.failing = True
        rig.record("disruption", kind="fast-errors", servers=sorted(FAILING))
        limit = rig.record.now() + (ends - loop.time()) * 1000.0
        bursts = []
        for number in range(4):
            bursts.append(asyncio.ensure_future(burst(number, limit)))
            await asyncio.sleep((APART - 2 * MARGIN) / 5 if TROUBLE else 0.06)
        await asyncio.gather(*bursts)
        await asyncio.sleep(7.5)
        rig.failing = False
        await asyncio.sleep(3.0)
        for i in range(24):
            await rig.ask(port, "watchlist-save", [i % 24], 5000, key=f"again-{announced[0]}-{i}")
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
