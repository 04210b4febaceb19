"""A server runs a payout and answers 503 without Not-Executed."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))

from world import Server, main, response  # noqa: E402

SECONDS, CLIENTS = 20, 6
# Share of its requests that a server in trouble fails (srv_grey, x).
FAILED_SHARE = 0.4
PROMISES = (408, 421, 429, 503)


class Ledger(Server):
    """Books each payout that it runs; one of the three servers is in trouble.

    It begins to work on the request, and then fails as it does with a 500, but
    with status 503. It doesn't claim with Not-Executed that it has not run.
    """

    in_trouble = None

    async def run(self, headers, method, target, body, writer):
        if self.domain or not target.startswith("/payout/"):
            await super().run(headers, method, target, body, writer)
            return
        request_id = headers.get("request-id", "")
        payout = body.decode()
        self.world.ran(request_id, self, target)
        self.world.booked.setdefault(payout, []).append(request_id)
        await asyncio.sleep(0.03)
        status = 200
        if Ledger.in_trouble is self and random.random() < FAILED_SHARE:
            status = 503 if self.world.trouble else 500
        self.world.finished(request_id, self, status)
        writer.write(response(status, self.fields(headers), b"{}"))


async def client(world, number, end, answers):
    """Repeats a payout once, and only after an answer that is a promise."""
    count = 0
    while world.now() < end:
        count += 1
        payout = f"payout-{number}-{count}"
        for attempt in range(2):
            status, request_id = await world.request(
                world.nodes[(number + attempt) % len(world.nodes)], "payout",
                body=payout.encode())
            world.note(f"{payout}: request {request_id} is answered {status}")
            answers[request_id] = status
            if status not in PROMISES:
                break
            await asyncio.sleep(0.2)
        await asyncio.sleep(0.1)


async def case(world):
    world.booked = {}
    if not await world.start(server=Ledger):
        return 2
    Ledger.in_trouble = world.servers[-1]
    answers = {}
    await asyncio.gather(*(client(world, number, world.now() + SECONDS,
                                  answers) for number in range(CLIENTS)))
    refused = [each for each, status in answers.items()
               if status in PROMISES and each in world.runs]
    twice = [payout for payout, ids in world.booked.items() if len(ids) > 1]
    world.note(f"{len(answers)} requests; {len(refused)} were refused and had "
               f"run; {len(twice)} payouts were booked twice")
    return 1 if refused else 0


main(FOLDER, case)
