"""A late heartbeat after a DELETE puts the worker into service again."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness  # noqa: E402

#: Seconds by which the heartbeat is late; the page says "seconds late".
LATE_S = 2.0
#: Seconds for which the worker serves after the acknowledgement.
SERVES_ON_S = 5.0
INTERVAL_S = 0.03


async def main(deployment, has_trouble):
    """Return whether the worker got work after its DELETE."""
    record = deployment.record
    first = await deployment.add("m1", "shotton", "bookings", work_s=0.3)
    second = await deployment.add("m2", "queensferry", "bookings", work_s=0.3)
    third = await deployment.add("m3", "sealand", "bookings", work_s=0.3)
    await deployment.configure(
        1,
        [harness.make_route("all", "/shop/", "bookings", "unsafe")],
        ["bookings"],
    )
    for place in (first, second, third):
        place.start_heartbeats()
    await deployment.wait_until_ready()
    await asyncio.sleep(3.0)

    record.write("the daemon of m1 is stopped and started on its own")
    first.stop_heartbeats()
    await first.kill()
    await first.start()

    async def serves_again():
        await harness.ask(first, "warm-up", method="POST")
        return any(run.at > first.started_at for run in first.worker.runs)

    await harness.wait_for(serves_again, "the worker of m1 serves again")

    heartbeat = first.worker.make_heartbeat(first.zone)
    sent_at = record.now()
    record.write(f"i-m1 sends heartbeat {heartbeat['sequence']}")
    if not has_trouble:
        await first.send_heartbeat(heartbeat)
    await asyncio.sleep(0.3)
    first.worker.is_leaving = True
    if not await first.send_delete():
        raise harness.CannotRunError("the DELETE was not acknowledged")
    acknowledged_at = record.now()
    if has_trouble:
        await asyncio.sleep(sent_at + LATE_S - record.now())
        record.write(f"heartbeat {heartbeat['sequence']} arrives")
        await first.send_heartbeat(heartbeat)

    # From then on the bound has passed and all machines are in touch.
    start = 0.2 + max(
        acknowledged_at + harness.DRAIN_S,
        first.started_at + harness.CONTACT_S,
    )
    await asyncio.sleep(start - record.now())
    tasks = []
    while record.now() < acknowledged_at + SERVES_ON_S:
        place = (first, second, third)[len(tasks) % 3]
        attempt = f"request-{len(tasks)}"
        tasks.append(
            asyncio.ensure_future(harness.ask(place, attempt, method="POST"))
        )
        await asyncio.sleep(INTERVAL_S)
    record.write("the worker of m1 exits")
    await first.worker.stop()
    answers = await asyncio.gather(*tasks)

    late = [
        run
        for run in first.worker.runs
        if run.at > start and run.attempt.startswith("request-")
    ]
    lost = sum(answer.status != 200 for answer in answers)
    record.write(
        f"{len(late)} of {len(tasks)} requests reached the worker later than "
        f"drainMs after the acknowledgement of its DELETE; {lost} of all "
        "were not answered with success"
    )
    return harness.BROKEN if late else harness.HELD


if __name__ == "__main__":
    harness.run(main, HERE)
