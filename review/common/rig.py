"""Stand-ins for the platform round one broker: data servers, discovery, clients, and a record of what happened.

All of it runs on one asyncio loop, on loopback addresses and free ports. The stand-ins follow the protocol
page: frames `m`, `n` and `q` towards data servers, `GET /api/targets` for discovery, HTTP/1.1 for clients.
"""

import asyncio
import itertools
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import traceback
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played; the script ends with 2."""


class Record:
    """What was sent, answered and run, in order, with milliseconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return (time.monotonic() - self.start) * 1000.0

    def __call__(self, what, **fields):
        at = self.now()
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{at:10.1f} {what} {text}\n")
        self.file.flush()
        return at


def settings(**changes):
    """The settings of a small deployment, in the form of the wire page's example."""
    value = {
        "Allowed": {
            "Cancel": True, "CpuUsPerRequest": 0.0, "CpuUsPerS": 404409, "DialTimeout": 250.0,
            "Keepalive": 15000.0, "MaxOpen": 168, "MaxRetryAfter": 2000.0, "Multiplex": 100, "Peers": False,
            "Probes": True, "RetryAfter": True, "SecondCopies": False, "SendCap": 4,
        },
        "Clients": {"MarksRetry": True},
        "Family": "fanout",
        "FamilyInfo": {
            "Batch": 4, "Call": 36.0, "ClassNeed": [1.0, 1.0, 1.0], "FetchParts": [0, 0, 0],
            "MinShare": [1.0, 1.0, 0.7], "PartialEarns": [0.9, 0.9, 0.9], "Positions": 6, "Shards": 24,
            "WarmKeys": False, "Width": 1,
        },
        "Flavors": ["std-a", "std-b"],
        "Goal": {"Whole": 0.55, "WorstClass": 0.2, "WorstTenant": 0.1, "WorstWindow": 0.15},
        "Layer": 0, "Layers": ["query-fleet"], "Locality": 2, "MembershipMode": "pushed", "Ordinal": 0,
        "OverShareWorth": 0.1, "PeersTotal": 3,
        "Projects": [
            {"Name": "public-site", "QuotaPerS": 7.0, "Share": 0.33},
            {"Name": "nishi-securities", "QuotaPerS": 7.0, "Share": 0.33},
            {"Name": "hinata-shoken", "QuotaPerS": 5.0, "Share": 0.26},
            {"Name": "ariake-invest", "QuotaPerS": 2.0, "Share": 0.08},
        ],
        "Report": {"Columns": ["rif", "rate"], "How": "inline"},
        "Rules": {
            "AnswerSlack": 20.0, "AskWithin": 10000.0, "Cold": 16000.0, "ColdFrom": 0.18,
            "DrainGrace": 250.0, "Fall": 1000.0, "FallMultiple": 2.5,
        },
        "Services": [
            {"Aim": 1500.0, "DedupScope": "all", "Gain": 1.0, "GiveUp": 4000.0, "LateWorth": 0.0,
             "MemorySpan": 5000.0, "Name": "lookup", "Semantics": "repeatable", "Stream": False},
            {"Aim": 1500.0, "DedupScope": "all", "Gain": 1.0, "GiveUp": 5000.0, "LateWorth": 0.3,
             "MemorySpan": 5000.0, "Name": "watchlist-save", "Semantics": "by_key", "Stream": False},
            {"Aim": 1500.0, "DedupScope": "all", "Gain": 2.0, "GiveUp": 4000.0, "LateWorth": 0.3,
             "MemorySpan": 5000.0, "Name": "ranking", "Semantics": "repeatable", "Stream": False},
        ],
        "Tariffs": {
            "Connection": 0.02, "CrossZone": 0.027, "Handshake": 0.02, "LateFail": 0.08, "MembershipMode": 0.0,
            "Moves": 0.0, "Origin": 0.0, "Peer": 0.0, "Probe": 0.01, "Waste": 0.098,
        },
        "Tick": 5.0, "Weights": "rough", "WorthBy": "request",
        "Zones": ["fukuoka", "kumamoto", "kagoshima"],
    }
    for path, change in changes.items():
        at = value
        *way, last = path.split("__")
        for step in way:
            at = at[int(step)] if isinstance(at, list) else at[step]
        at[last] = change
    return value


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def frame(letter, rest):
    body = letter + rest
    return struct.pack(">I", len(body)) + body


class Part:
    """One attempt as a data server received it."""

    def __init__(self, server, connection, at, ident, shard, words, text):
        self.server, self.connection, self.at = server, connection, at
        self.id, self.shard, self.text = ident, shard, text
        self.words = dict(word.split("=", 1) for word in words.split(","))
        self.ended = None       # when it was answered, given up or its connection ended, and how
        self.given_up = False
        self.task = None

    def end(self, at, how):
        if self.ended is None:
            self.ended = (at, how)


class DataServer:
    """A data server. `work(part)` is a coroutine that returns (end, value) or None for no answer."""

    def __init__(self, rig, uid, cell, work, zone="kagoshima"):
        self.rig, self.uid, self.cell, self.work, self.zone = rig, uid, cell, work, zone
        self.parts = []
        self.connections = {}
        self.state, self.boot_ms, self.hint = "active", 0, 1.0
        self.numbers = itertools.count(1)
        self.listener = None
        self.port = None

    async def start(self, port=0):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.listener.sockets[0].getsockname()[1]
        return self

    @property
    def endpoint(self):
        return f"127.0.0.1:{self.port}"

    def entry(self):
        return {"uid": self.uid, "endpoint": self.endpoint, "az": self.zone, "model": "std-a",
                "pod_group": self.cell, "state": self.state, "capacity_hint": self.hint, "boot_ms": self.boot_ms}

    async def serve(self, reader, writer):
        number = next(self.numbers)
        self.connections[number] = writer
        self.rig.record("conn-open", server=self.uid, conn=number)
        open_parts = []
        try:
            while True:
                length = struct.unpack(">I", await reader.readexactly(4))[0]
                body = await reader.readexactly(length)
                self.take(number, writer, body[:1], body[1:], open_parts)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            at = self.rig.record("conn-end", server=self.uid, conn=number)
            for part in open_parts:
                part.end(at, "conn-end")
            self.connections.pop(number, None)
            writer.close()

    def take(self, number, writer, letter, rest, open_parts):
        """Takes one whole frame as it comes."""
        if letter == b"n":
            ident = rest.decode()
            at = self.rig.record("give-up", server=self.uid, conn=number, id=ident)
            for part in open_parts:
                if part.id == ident and part.ended is None:
                    part.given_up = True
                    part.end(at, "given-up")
            return
        if letter in (b"o", b"p"):
            writer.write(frame(letter, b"good" if letter == b"o" else b"-"))
            return
        if letter != b"m":
            raise CannotRun(f"unknown letter {letter!r}")
        while rest:
            line, rest = rest.split(b"\n", 1)
            ident, shard, words, length = line.decode().split(" ")
            text, rest = rest[: int(length)], rest[int(length):]
            at = self.rig.record("part", server=self.uid, conn=number, id=ident, list=words)
            part = Part(self, number, at, ident, int(shard), words, text.decode())
            open_parts.append(part)
            self.parts.append(part)
            self.rig.parts.append(part)
            part.task = asyncio.ensure_future(self.answer(part, writer))

    async def answer(self, part, writer):
        result = await self.work(part)
        if result is None:
            return
        end, value = result
        at = self.rig.record("answer", server=self.uid, conn=part.connection, id=part.id, end=end)
        part.end(at, end)
        if writer.is_closing():
            return
        report = f"rif={sum(p.ended is None for p in self.parts)},rate=1"
        writer.write(frame(b"q", f"{part.id} {end} 1 {report}\n".encode() + value.encode()))

    async def stop(self):
        if self.listener:
            self.listener.close()
        for writer in list(self.connections.values()):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.close()


def value_of(part):
    return f"{part.text}-{part.shard}"


class Discovery:
    """The agent on the broker's machine."""

    def __init__(self, rig, rev=41):
        self.rig, self.rev = rig, rev
        self.entries = {}
        self.changes = []       # (rev, entry)
        self.changed = asyncio.Event()
        self.silent = False
        self.whole_only = False

    async def start(self, port=0):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.listener.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def known(self):
        return {"rev": self.rev, "all": True, "targets": list(self.entries.values())}

    def set(self, *entries):
        self.rev += 1
        for entry in entries:
            self.changes.append((self.rev, entry))
            if entry["state"] == "left":
                self.entries.pop(entry["uid"], None)
            else:
                self.entries[entry["uid"]] = entry
        self.rig.record("list", rev=self.rev, changes=[(e["uid"], e["state"]) for e in entries])
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                target = head.split(" ")[1]
                query = dict(p.split("=") for p in target.partition("?")[2].split("&") if p)
                index = int(query["index"]) if "index" in query else None
                wait = min(int(query.get("wait", 0)), 60000) / 1000.0
                until = time.monotonic() + wait
                while index is not None and index >= self.rev and time.monotonic() < until:
                    event = self.changed
                    try:
                        await asyncio.wait_for(event.wait(), until - time.monotonic())
                    except TimeoutError:
                        break
                while self.silent:
                    await asyncio.sleep(0.01)
                if index is None or index > self.rev or self.whole_only:
                    body = self.known()
                else:
                    last = {e["uid"]: e for rev, e in self.changes if rev > index}
                    body = {"rev": self.rev, "all": False, "targets": list(last.values())}
                text = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                             + str(len(text)).encode() + b"\r\n\r\n" + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()


class Query:
    """A client's request and what became of it."""

    def __init__(self, ident, cls, shards, deadline):
        self.id, self.cls, self.shards, self.deadline = ident, cls, shards, deadline
        self.sent = self.ended = None
        self.status = None
        self.body = None
        self.how = None


class Rig:
    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.record = Record(self.folder / "record.txt")
        self.temp = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.parts = []
        self.queries = []
        self.processes = []
        self.ids = itertools.count(1)
        self.run_command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.base = os.urandom(4).hex()

    # The broker

    def write_config(self, path, **config):
        whole = {"name": "n0", "seed": "8c1f30d27a5be964",
                 "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}}
        whole.update(config)
        fresh = path.with_suffix(".new")
        fresh.write_text(json.dumps(whole))
        os.replace(fresh, path)

    def start_broker(self, name, config, tmpdir=None, fd=None, env=None):
        environment = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        environment.update({"RELAY_CONFIG": str(config)})
        tmpdir = tmpdir or self.temp / f"tmp-{name}"
        tmpdir.mkdir(exist_ok=True)
        environment["TMPDIR"] = str(tmpdir)
        environment.update(env or {})
        log = open(self.temp / f"{name}.log", "ab")
        command, kept = ["/bin/sh", "-c", self.run_command], ()
        if fd is not None:
            # The platform's listening socket is descriptor 3 of each process.
            environment["RELAY_FD"] = "3"
            place = f"import os; os.dup2({fd}, 3); os.execv('/bin/sh', {command!r})"
            command, kept = [sys.executable, "-c", place], (fd,)
        if not (ROOT / "target/release/ploverport").exists():
            raise CannotRun("the program is not built")
        process = subprocess.Popen(command, cwd=ROOT, env=environment, pass_fds=kept,
                                   stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        process.log_path = self.temp / f"{name}.log"
        self.processes.append(process)
        self.record("start", process=name, pid=process.pid)
        return process

    def signal(self, process, sig):
        self.record("signal", pid=process.pid, signal=signal.Signals(sig).name)
        process.send_signal(sig)

    async def ready(self, port, path="/-/ready", timeout=10.0):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            try:
                status, _ = await self.call(port, "GET", path)
                if status == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.02)
        raise CannotRun(f"not ready at {port}")

    async def call(self, port, method, path):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n".encode())
            text = await asyncio.wait_for(reader.read(), 5)
            if not text:
                raise ConnectionResetError
            head, _, body = text.partition(b"\r\n\r\n")
            return int(head.split(b" ")[1]), body.decode()
        finally:
            writer.close()

    # Clients

    def request(self, query, key=None, tenant="public-site", retry=False, weights=None):
        weight = 1.0 / len(query.shards)
        weights = weights or [weight] * len(query.shards)
        body = json.dumps({"ranges": [{"range": s, "portion": w} for s, w in zip(query.shards, weights)],
                           "predicate": query.id}).encode()
        lines = [f"POST /{query.cls} HTTP/1.1", "Host: app.svc", f"X-Request-Id: {query.id}", f"X-Class: {query.cls}",
                 f"X-Tenant: {tenant}", f"X-Deadline: {query.deadline}m", f"Content-Length: {len(body)}"]
        if key:
            lines.append(f"Idempotency-Key: {key}")
        if retry:
            lines.append("X-Retry: 1")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    def new_query(self, cls, shards, deadline):
        query = Query(f"{self.base}{next(self.ids):08x}", cls, shards, deadline)
        self.queries.append(query)
        return query

    async def ask(self, port, cls, shards, deadline=4000, connection=None, query=None, **more):
        """One request on a connection of its own or a given one; waits for the answer as a usual client does."""
        query = query or self.new_query(cls, shards, deadline)
        try:
            reader, writer = connection or await asyncio.open_connection("127.0.0.1", port)
        except OSError as error:
            query.how = f"no-connection {error}"
            self.record("client-refused", id=query.id)
            return query
        writer.write(self.request(query, **more))
        query.sent = self.record("ask", id=query.id, cls=cls, shards=shards, deadline=deadline)
        try:
            await asyncio.wait_for(self.read_answer(reader, query), deadline / 1000.0 + 0.6)
        except TimeoutError:
            query.how = "never"
        except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
            query.how = f"closed {type(error).__name__}"
        query.ended = self.record("got", id=query.id, status=query.status, how=query.how, body=query.body)
        if connection is None:
            writer.close()
        return query

    async def read_answer(self, reader, query):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        status = int(head.split(" ")[1])
        length = [int(line.split(":")[1]) for line in head.split("\r\n") if line.lower().startswith("content-length:")]
        body = await reader.readexactly(length[0]) if length else b""
        query.close = "connection: close" in head.lower()
        query.status, query.body, query.how = status, body.decode(), "answered"

    # The rules

    def second_copies(self):
        """Pairs of attempts at one part that were out at the same time."""
        found = []
        by_id = {}
        for part in self.parts:
            by_id.setdefault(part.id, []).append(part)
        for parts in by_id.values():
            for first, second in itertools.combinations(parts, 2):
                if first.ended is None or first.ended[0] > second.at:
                    found.append((first, second))
        return found

    # The end

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.temp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)


def play(folder, case):
    """Runs a case: `case(rig)` returns the list of breaks. Ends with 1, 0 or 2."""
    rig = Rig(folder)
    code = 2
    try:
        async def main():
            # Handlers that are still open at the end are cancelled; that is no fault to be printed.
            asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
            return await asyncio.wait_for(case(rig), 110)

        breaks = asyncio.run(main())
        for text in breaks:
            rig.record("BREAK", text=text)
            print(text)
        code = 1 if breaks else 0
    except CannotRun as error:
        rig.record("cannot-run", why=error)
        print(f"cannot run: {error}")
    except Exception as error:  # noqa: BLE001 - whatever the rig stumbles over is no verdict
        rig.record("cannot-run", why=repr(error))
        traceback.print_exc()
    finally:
        rig.close()
    rig.record("end", code=code)
    sys.exit(code)
