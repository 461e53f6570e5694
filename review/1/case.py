"""Answers that never end: interim responses (1xx) without an end hold up the whole forwarder.

Both runs: one forwarder, 55 messages a second to ten partners of two endpoints each; one of them, with 24% of the
traffic, takes calls and answers none for 16 s, and a clump of 14 payments comes for another. TROUBLE=1: for 5 s, that
other partner answers with `100 Continue` again and again, on each call until the forwarder closes the connection.
"""
import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from world import HERE, Client, Forwarder, Lag, Partner, Platform, lost_messages, now, play, settings  # noqa: E402

SPOILT_FROM, SPOILT_TO = 7.0, 12.0
LOAD_TO = 24.0
FEE_MS, UPDATE_MS = 24_000, 10_000
RATE = 55.0
PARTNERS = 10
HANGING = 1
SPOILT = (2,)
CLUMP = 14
HANG_FROM, HANG_TO = 1.0, 17.0


class SpoiltEndpoint:
    """One process of spoilt.py."""

    def __init__(self, record, name, dest):
        self.record, self.name, self.dest, self.calls = record, name, dest, []

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, os.path.join(FOLDER, "spoilt.py"), HERE,
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE)
        line = await self.process.stdout.readline()
        self.addr = f"{HERE}:{line.split()[2].decode()}"
        self.reading = asyncio.create_task(self.read())

    async def read(self):
        while line := await self.process.stdout.readline():
            at, what, message = line.decode().split()
            self.calls.append({"id": message, "at": float(at), "answer": 200 if what == "answer" else None})
            self.record(f"{what} {message} at {self.name}")

    def tell(self, word):
        self.process.stdin.write(word.encode() + b"\n")

    def entry(self):
        return Partner.entry(self, weight=66.0)

    def close(self):
        if self.process.returncode is None:
            self.process.kill()


async def main(record, trouble):
    draw = random.Random(3)
    platform = Platform(record)
    await platform.start()
    partners, spoilt, tasks, forwarder, started = [], [], [], None, []

    def sound(_call):
        return 200, draw.uniform(0.12, 0.2), []

    def hanging(call):
        if started and HANG_FROM <= now() - started[0] < HANG_TO:
            return None
        return sound(call)

    try:
        for dest in range(1, PARTNERS + 1):
            for endpoint in "ab":
                name = f"s-{dest:02}{endpoint}"
                if dest in SPOILT:
                    partner = SpoiltEndpoint(record, name, dest)
                    spoilt.append(partner)
                    await partner.start()
                else:
                    partner = Partner(record, name, dest, hanging if dest == HANGING else sound)
                    await partner.start()
                platform.set(partner.entry())
                partners.append(partner)
        forwarder = Forwarder(record, platform, setting=settings(categories__0__deadline=UPDATE_MS * 1000))
        client, lag = Client(record), Lag()
        await forwarder.start()
        start = now()
        started.append(start)
        clumped = []
        tasks.append(asyncio.create_task(lag.watch()))

        async def load():
            while now() - start < LOAD_TO:
                dest = HANGING if draw.random() < 0.24 else draw.randint(2, PARTNERS)
                if not clumped and now() - start >= SPOILT_FROM + 0.1:
                    clumped.append(1)
                    tasks.extend(asyncio.create_task(client.submit(forwarder, "fee-payment", SPOILT[0], FEE_MS))
                                 for _ in range(CLUMP))
                if draw.random() < 0.44:
                    message = client.submit(forwarder, "fee-payment", dest, FEE_MS)
                else:
                    message = client.submit(forwarder, "submission-update", dest, UPDATE_MS, key=f"{draw.random():.12f}")
                tasks.append(asyncio.create_task(message))
                await asyncio.sleep(draw.expovariate(RATE))

        async def watch():
            while True:
                with open(f"/proc/{forwarder.process.pid}/stat", encoding="utf-8") as file:
                    fields = file.read().rsplit(")", 1)[1].split()
                taken = sum(1 for e in client.books.values() if e["status"] == 202)
                record(f"the forwarder has used {(int(fields[11]) + int(fields[12])) / 100:.2f} s of its core; "
                       f"taken on {taken} of {len(client.books)}")
                await asyncio.sleep(1)

        tasks += [asyncio.create_task(load()), asyncio.create_task(watch())]
        await asyncio.sleep(SPOILT_FROM)
        if trouble:
            record("interim responses without an end")
            for endpoint in spoilt:
                endpoint.tell("spoil")
        await asyncio.sleep(SPOILT_TO - SPOILT_FROM)
        for endpoint in spoilt:
            endpoint.tell("mend")
        await asyncio.sleep(start + LOAD_TO + FEE_MS / 1000 + 2 - now())
        if forwarder.process.poll() is not None:
            raise RuntimeError("the forwarder has ended")
        lost = lost_messages(client.books, partners, platform, now(), lag.worst)
        taken = sorted(e["answered"] for e in client.books.values() if e["status"] == 202)
        if len(taken) < 100:
            raise RuntimeError(f"only {len(taken)} messages were taken on")
        gap, since = max((b - a, a - start) for a, b in zip(taken, taken[1:] + [start + LOAD_TO]))
        for over, message, noticed in sorted(lost):
            record(f"lost {message}: {'notice' if noticed else 'no notice'} {over + 0.3:.3f} s after its time was up")
        worst = max((over + 0.3 for over, _, _ in lost), default=0)
        return bool(lost), (f"taken on {len(taken)} of {len(client.books)}, lost {len(lost)} (the worst notice {worst:.3f} s "
                            f"late, 0.350 allowed); longest time without a 202: {gap:.1f} s from {since:.1f} s on; "
                            f"own lag {lag.worst * 1000:.0f} ms")
    finally:
        for task in tasks:
            task.cancel()
        if forwarder:
            forwarder.close()
        for endpoint in spoilt:
            endpoint.close()


play(main, FOLDER)
