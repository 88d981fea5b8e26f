"""Prints the figures of the fault drill.

usage: drill_report.py FOLDER TIMELINE_PROGRAM_OUTPUT
FOLDER/phases.jsonl has one object for each fault, with the times in microseconds of the wall clock.
Ends with 1 when an answer was wrong, a guarantee was violated or a process did not recover.
"""

import os
import re
import sys

import site_log

VIOLATION = re.compile(r"^  +(\d+\.\d+) ")
FIRST_SERVER_ERROR = 500
MISSING = "not recovered"


def violation_times(path):
    """Times in microseconds of the events at which a guarantee was violated."""
    with open(path, encoding="utf-8") as file:
        return [float(match.group(1)) * 1000 for match in map(VIOLATION.match, file) if match]


def load_result(folder, name):
    with open(os.path.join(folder, f"load-{name}.json"), encoding="utf-8") as file:
        return site_log.json.load(file)


def wrong_answers(load):
    return sum(stream["wrong"] for name, stream in load.items() if name != "added")


def good_part(load):
    """Part of the scheduled previews that got a good answer in time. The number scheduled varies by phase."""
    return load["preview"]["good"] / sum(load["preview"]["outcomes"].values())


def owners_at(events, at):
    """Process that owns each upstream at a time."""
    owners = {}
    for event in events:
        if event["t_us"] > at:
            break
        if event["event"] == "owner_fenced":
            owners[event["upstream"]] = event["process"]
        elif event["event"] == "owner_released" and owners.get(event["upstream"]) == event["process"]:
            del owners[event["upstream"]]
    return owners


def ownership_recovery(events, phase):
    """Seconds from the fault until each upstream of the entry has been fenced by its next owner."""
    lost = {upstream for upstream, process in owners_at(events, phase["fault_from"]).items()
            if process == phase["entry"]}
    count = len(lost)
    if not lost:
        return "none owned"
    last = phase["fault_from"]
    for event in events:
        if phase["fault_from"] < event["t_us"] <= phase["to"] and event["event"] == "owner_fenced":
            if event["upstream"] in lost:
                lost.remove(event["upstream"])
                last = event["t_us"]
    return MISSING if lost else f"{(last - phase['fault_from']) / site_log.MICROS:.2f} ({count} of {phase['entry']})"


def replies(events, phase):
    """Time and success of the answers of each entry from the start of the fault to the end of the phase."""
    result = {}
    for event in events:
        if event["event"] == "reply_sent" and phase["fault_from"] < event["t_us"] <= phase["to"]:
            failed = int(event["detail"].split()[0]) >= FIRST_SERVER_ERROR
            result.setdefault(event["process"], []).append((event["t_us"], failed))
    return result


def answer_recovery(events, phase):
    """Seconds from the last failed to the first good answer after it, the longest over the entries, with its entry."""
    longest, slowest = 0, "-"
    for process, answers in sorted(replies(events, phase).items()):
        failed = [at for at, is_failed in answers if is_failed]
        if not failed:
            continue
        good = [at for at, is_failed in answers if not is_failed and at > failed[-1]]
        if not good:
            return f"{MISSING}: {process}"
        seconds = (good[0] - failed[-1]) / site_log.MICROS
        if seconds >= longest:
            longest, slowest = seconds, process
    return "no failed answer" if slowest == "-" else f"{longest:.3f} ({slowest})"


def first_answer(events, phase):
    """Seconds from the end of the fault to the first good answer, the longest over the entries."""
    found = {}
    for process, answers in replies(events, phase).items():
        good = [at for at, is_failed in answers if not is_failed and at >= phase["fault_to"]]
        if good:
            found[process] = (good[0] - phase["fault_to"]) / site_log.MICROS
    if len(found) < phase["entries"]:
        return MISSING
    return f"{max(found.values()):.2f}"


def print_loads(folder, phases):
    rows = [["phase", "stream", "good", "median ms", "p99 ms", "outcomes"]]
    for phase in phases:
        for name, stream in load_result(folder, phase["name"]).items():
            outcomes = " ".join(f"{key}={count}" for key, count in stream["outcomes"].items())
            rows.append([phase["name"], name, stream["good"], f"{stream['median_us'] / 1000:.1f}",
                         f"{stream['p99_us'] / 1000:.1f}", outcomes])
    print(site_log.table(rows))


def print_tasks(events):
    accepted = {event["task"] for event in events if event["event"] == "task_accepted"}
    ended = {event["task"]: event["detail"] for event in events if event["event"] == "task_ended"}
    lost = sorted(accepted - set(ended))
    print(f"durable tasks: accepted {len(accepted)}, without an end {len(lost)}")
    for task in lost[:10]:
        print(f"  {task}")
    return lost


def main():
    folder, check = sys.argv[1], sys.argv[2]
    events = site_log.read_events(folder)
    phases = site_log.read_json_lines(os.path.join(folder, "phases.jsonl"))
    calm = [phase for phase in phases if not phase["fault_from"]]
    violations = violation_times(check)
    reference = sum(good_part(load_result(folder, phase["name"])) for phase in calm) / len(calm)
    rows = [["fault", "wrong", "violations", "upstreams owned again s", "last failed to first good s",
             "end of fault to first good s", "goodput ratio"]]
    is_bad = False
    for phase in phases:
        load = load_result(folder, phase["name"])
        wrong = wrong_answers(load)
        count = sum(phase["from"] <= at < phase["to"] for at in violations)
        cells = ["-", "-", "-"]
        if phase["fault_from"]:
            owned = ownership_recovery(events, phase) if phase["entry"] else "-"
            cells = [owned, answer_recovery(events, phase), first_answer(events, phase)]
        is_bad = is_bad or wrong > 0 or any(cell.startswith(MISSING) for cell in cells)
        rows.append([phase["name"], wrong, count, *cells, f"{good_part(load) / reference:.3f}"])
    stop = sum(at >= phases[-1]["to"] for at in violations)
    rows.append(["stop of the site", "-", stop, "-", "-", "-", "-"])
    print(site_log.table(rows))
    print(f"reference: {reference:.4f} of the previews good without a fault, mean of {len(calm)} phases")
    print(f"violations in the whole run: {len(violations)}\n")
    print_loads(folder, phases)
    print()
    lost = print_tasks(events)
    return 1 if is_bad or violations or lost else 0


if __name__ == "__main__":
    sys.exit(main())
