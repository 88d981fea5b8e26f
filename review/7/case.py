"""UNASKED: a cancel is acknowledged, and the submission is accepted and run after it."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
from site_standin import Site, new_id, play  # noqa: E402

CANCEL_S = 3.0  # cancel_ms
STOP_S = 0.4    # stopMs
CONTACT_S = 3.0  # contactMs


async def case(site, trouble):
    for number in range(4):
        site.add_runner("tampere", ["a", f"r1-{number}"], {"cpu": 32000, "memMb": 131072, "gpus": 0})
    await site.begin(3)
    leader = await site.leader()
    others = [e for e in site.entries if e is not leader]
    if trouble:
        leader.signal(signal.SIGKILL)
    cancelled = {}

    async def hurried(entry):
        """Hands a submission in, leaves after 0.3 s without an answer, and cancels it at the same entry."""
        name = new_id()
        body = {"spec": "last", "steps": [{"count": 1, "cpu": 1000, "memMb": 256, "estimateMs": 20000,
                                           "longRunning": True}]}
        await site.call(entry.front, "POST", "/jobs/" + name, body, timeout=0.3)
        status, _ = await site.call(entry.front, "DELETE", "/jobs/" + name)
        if status in (200, 410):
            cancelled[name] = site.record.now()

    async def patient(entry):
        body = {"spec": "work=500", "steps": [{"count": 1, "cpu": 1000, "memMb": 256, "estimateMs": 500}]}
        await site.call(entry.front, "POST", "/jobs/" + new_id(), body)

    # 8 of 20 consumers leave early, a share of 0.4.
    await asyncio.gather(*[hurried(others[i % 2]) for i in range(8)],
                         *[patient(others[i % 2]) for i in range(12)])
    calm_from = 0.0
    if trouble:
        await asyncio.sleep(1.0)
        leader.launch()
        # A stretch of cancel_ms + stopMs without an impairment near, after which the task has to be gone.
        calm_from = site.record.now() + CONTACT_S + CANCEL_S + STOP_S
    await asyncio.sleep(9.0)
    late = []
    for name, acknowledged in cancelled.items():
        runs = [(t, run) for t, _, _, task, run in site.starts if task.startswith(name)]
        ends = {run: t for t, _, task, run, _ in site.ends if task.startswith(name)}
        for began, run in runs:
            end = ends.get(run, site.record.now())
            if end > max(acknowledged + CANCEL_S + STOP_S, calm_from):
                site.record(f"{name}: cancel acknowledged at {acknowledged:.3f}; run {run} began at {began:.3f} and "
                            f"was at work at {end:.3f}")
                late.append(name)
                status, text = await site.call(others[0].front, "GET", "/jobs/" + name)
                site.record(f"{name}: state afterwards {status} {text}")
    site.record(f"{len(cancelled)} cancels acknowledged, {len(late)} of these submissions run on")
    return f"UNASKED: {len(late)} submissions run on after their acknowledged cancel" if late else ""


play(case, HERE)
