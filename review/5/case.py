"""Requests at a frozen machine get no final answer at the route's timeout."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness  # noqa: E402

TIMEOUT_S = 1.2
DEADLINE_S = 2.0
#: From RULES.md: half a second after the timeout, eight requests or more.
LATE_S = 0.5
MIN_REQUESTS = 8
MACHINES = 10
FREEZE_S = 5.0
PAUSE_S = 5.0
FREEZES = 2
WORK_S = 0.5
INTERVAL_S = 0.032


async def main(deployment, has_trouble):
    """Return whether most requests had no answer at the timeout."""
    record = deployment.record
    for number in range(MACHINES):
        service = "bookings" if number < 3 else "orders"
        await deployment.add(
            f"m{number}", harness.ZONES[number % 3], service, work_s=WORK_S
        )
    await deployment.configure(
        1,
        [
            harness.make_route(
                "run-booking",
                "/shop/",
                "bookings",
                "unsafe",
                timeoutMs=int(TIMEOUT_S * 1000),
            )
        ],
        ["orders", "bookings"],
    )
    places = list(deployment.places.values())
    for place in places:
        place.start_heartbeats()
    await deployment.wait_until_ready()
    await asyncio.sleep(5.0)

    frozen, calm = places[0], places[1:]
    asks = []

    async def send_until(end):
        while record.now() < end:
            place = calm[len(asks) % len(calm)]
            attempt = f"request-{len(asks)}"
            asks.append(
                asyncio.ensure_future(
                    harness.ask(
                        place, attempt, method="POST", deadline_s=DEADLINE_S
                    )
                )
            )
            await asyncio.sleep(INTERVAL_S)

    for _ in range(FREEZES):
        await send_until(record.now() + PAUSE_S)
        if has_trouble:
            frozen.signal(signal.SIGSTOP)
        await send_until(record.now() + FREEZE_S)
        if has_trouble:
            frozen.signal(signal.SIGCONT)
    answers = await asyncio.gather(*asks)

    def waited(answer):
        if not answer.status:
            return DEADLINE_S
        return answer.ended_at - answer.sent_at

    over = [each for each in answers if waited(each) >= TIMEOUT_S]
    late = [each for each in over if waited(each) > TIMEOUT_S + LATE_S]
    never = sum(not each.status for each in over)
    record.write(
        f"{len(answers)} requests at machines in touch; {len(over)} were "
        f"unanswered at the route's timeout, {len(late)} of these "
        f"{LATE_S} s later, and {never} at the client's deadline"
    )
    is_broken = len(over) >= MIN_REQUESTS and 2 * len(late) > len(over)
    return harness.BROKEN if is_broken else harness.HELD


if __name__ == "__main__":
    harness.run(main, HERE)
