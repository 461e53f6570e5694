"""Idle clients fill the descriptors while the journal holds a backlog: notices come too late.

Both runs: one forwarder with 256 descriptors and 3 MB of disk, 55 messages a second, and a partner with 24% of
the traffic that takes calls and answers none for 16 s. TROUBLE=1 adds 240 clients that connect and send nothing.
"""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from world import Client, Forwarder, Lag, Partner, Platform, lost_messages, now, play, settings  # noqa: E402

HANG_FROM, HANG_TO = 2.0, 18.0
LOAD_TO = 18.0
CROWD_FROM, CROWD_TO = 12.0, 24.0
DEADLINE_MS = 12_000
RATE = 55.0
PARTNERS = 12
CROWD = 240
BODY = b"x" * 12_000


async def main(record, trouble):
    draw = random.Random(1)
    platform = Platform(record)
    await platform.start()
    start = [None]

    def sound(_call):
        return 200, draw.uniform(0.12, 0.2), []

    def hanging(call):
        if start[0] is not None and HANG_FROM <= now() - start[0] < HANG_TO:
            return None
        return sound(call)

    partners = []
    for dest in range(1, PARTNERS + 1):
        for endpoint in "ab":
            partner = Partner(record, f"s-{dest:02}{endpoint}", dest, hanging if dest == 1 else sound)
            await partner.start()
            platform.set(partner.entry())
            partners.append(partner)
    deadline = DEADLINE_MS * 1000
    forwarder = Forwarder(record, platform, limits={"sockets": 256, "disk_mb": 3}, setting=settings(
        categories__0__deadline=deadline, categories__1__deadline=deadline))
    client, lag, tasks = Client(record), Lag(), []
    try:
        await forwarder.start()
        start[0] = now()
        tasks.append(asyncio.create_task(lag.watch()))

        async def idle_client(number):
            source = f"127.59.1.{1 + number % 20}"
            while now() - start[0] < CROWD_TO:
                try:
                    reader, writer = await asyncio.open_connection(
                        forwarder.host, forwarder.port, local_addr=(source, 0))
                    await reader.read(1)
                    writer.close()
                except OSError:
                    pass
                await asyncio.sleep(0.05)

        async def load():
            while now() - start[0] < LOAD_TO:
                dest = 1 if draw.random() < 0.24 else draw.randint(2, PARTNERS)
                if draw.random() < 0.44:
                    message = client.submit(forwarder, "fee-payment", dest, DEADLINE_MS, body=BODY)
                else:
                    message = client.submit(forwarder, "submission-update", dest, DEADLINE_MS,
                                            key=f"{draw.random():.12f}", body=BODY)
                tasks.append(asyncio.create_task(message))
                await asyncio.sleep(draw.expovariate(RATE))

        async def watch():
            most = 0
            while True:
                held = forwarder.descriptors()
                segments = len(os.listdir(os.path.join(forwarder.folder, "state", "journal")))
                most = max(most, held)
                record(f"descriptors {held} of 256, files in the journal {segments}")
                await asyncio.sleep(0.5)

        tasks += [asyncio.create_task(load()), asyncio.create_task(watch())]
        await asyncio.sleep(CROWD_FROM)
        if trouble:
            record(f"{CROWD} clients connect and send nothing")
            tasks += [asyncio.create_task(idle_client(n)) for n in range(CROWD)]
        await asyncio.sleep(start[0] + LOAD_TO + DEADLINE_MS / 1000 + 1.5 - now())
        if forwarder.process.poll() is not None:
            raise RuntimeError("the forwarder has ended")
        lost = lost_messages(client.books, partners, platform, now(), lag.worst)
        taken = sum(1 for e in client.books.values() if e["status"] == 202)
        if taken < 300:
            raise RuntimeError(f"only {taken} messages were taken on")
        for over, message, noticed in sorted(lost):
            record(f"lost {message}: {'notice' if noticed else 'no notice'} {over + 0.3:.3f} s after its time was up")
        log = forwarder.log()
        record(f"log: {log.count('accept failed: Too many open files')} x accept failed: Too many open files, "
               f"{log.count('notices: not accepted by discovery: None')} x notices: not accepted by discovery: None")
        worst = max((over + 0.3 for over, _, _ in lost), default=0)
        return bool(lost), (f"taken on {taken}, lost {len(lost)} (the worst notice {worst:.3f} s late, 0.350 allowed), "
                            f"own lag {lag.worst * 1000:.0f} ms")
    finally:
        for task in tasks:
            task.cancel()
        forwarder.close()


play(main, os.path.dirname(os.path.abspath(__file__)))
