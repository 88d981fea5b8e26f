"""Prints the tables of the demo from the event logs and samples in its folder.

usage: demo_report.py FOLDER
"""

import collections
import os
import sys

import site_log

RESOURCES = ("cpu_millis", "memory_mb", "slots")


def print_outcomes(events, specs):
    """Accepted and ended tasks by kind, and their waiting time from acceptance to the first start at a runner."""
    accepted, started, ended = {}, {}, {}
    for event in events:
        if event["event"] == "task_accepted":
            accepted.setdefault(event["task"], event["t_us"])
        elif event["event"] == "runner_started":
            started.setdefault(event["task"], event["t_us"])
        elif event["event"] == "task_ended":
            ended[event["task"]] = event["detail"]
    kinds = collections.defaultdict(list)
    for task in accepted:
        kinds[(specs[task]["team"], specs[task]["kind"])].append(task)
    rows = [["team", "kind", "accepted", "outcomes", "median wait ms", "p99 wait ms"]]
    for (team, kind), tasks in sorted(kinds.items()):
        outcomes = collections.Counter(ended.get(task, "no end") for task in tasks)
        waits = [(started[task] - accepted[task]) / 1000 for task in tasks if task in started]
        text = " ".join(f"{name}={count}" for name, count in sorted(outcomes.items()))
        rows.append([team, kind, len(tasks), text, f"{site_log.quantile(waits, 0.5):.1f}",
                     f"{site_log.quantile(waits, 0.99):.1f}"])
    print(site_log.table(rows))
    open_tasks = [task for task in accepted if task not in ended]
    print(f"accepted {len(accepted)}, without an end {len(open_tasks)}")
    return accepted, started, ended


def totals(sample, name):
    """Used and whole capacity of all owned upstreams in one sample."""
    used = whole = 0
    for entry in sample["entries"].values():
        if entry["status"]:
            whole += entry["status"]["capacity"][name]
            used += entry["status"]["capacity"][name] - entry["status"]["free"][name]
    return used, whole


def print_packing(samples, busy):
    """Part of the owned capacity in use while work of both teams waits. Failed answers lower both figures."""
    inside = [sample for sample in samples if any(first <= sample["t_us"] < last for first, last in busy)]
    rows = [["resource", "mean used / capacity", "highest"]]
    for name in RESOURCES:
        ratios = [used / whole for used, whole in (totals(sample, name) for sample in inside) if whole]
        mean = sum(ratios) / len(ratios) if ratios else 0
        rows.append([name, f"{mean:.3f}", f"{max(ratios, default=0):.3f}"])
    print(site_log.table(rows))
    print(f"{len(inside)} samples while both teams have waiting work")


def busy_times(accepted, started, specs, teams):
    """Intervals in which each team has accepted work that has not started for the first time."""
    changes = []
    for task, at in accepted.items():
        if specs[task]["team"] in teams and task in started:
            changes += [(at, specs[task]["team"], 1), (started[task], specs[task]["team"], -1)]
    waiting = collections.Counter()
    intervals, since = [], None
    for at, team, change in sorted(changes):
        waiting[team] += change
        is_busy = all(waiting[name] > 0 for name in teams)
        if is_busy and since is None:
            since = at
        if not is_busy and since is not None:
            intervals.append((since, at))
            since = None
    return intervals


def overlap(first, last, intervals):
    return sum(max(0, min(last, end) - max(first, begin)) for begin, end in intervals)


def print_shares(events, facts, specs, busy):
    """Dominant share of each team while both have waiting work, as a part of the sum over the teams."""
    begun = {}
    use = collections.defaultdict(lambda: collections.Counter())
    for event in events:
        key = (event.get("task"), event.get("attempt"), event.get("upstream"))
        if event["event"] == "runner_started":
            begun[key] = event
        elif event["event"] == "runner_ended" and key in begun:
            start = begun.pop(key)
            spec = specs[event["task"]]
            seconds = overlap(start["t_us"], event["t_us"], busy) / site_log.MICROS
            for name in RESOURCES:
                use[start["team"]][name] += seconds * spec["demand"].get(name, 1)
    capacity = {name: sum(upstream["capacity"][name] for upstream in facts["upstreams"]) for name in RESOURCES}
    teams = facts["configs"][-1]["teams"]
    dominant = {team: max(use[team][name] / capacity[name] for name in RESOURCES) for team in teams}
    whole, shares = sum(dominant.values()), sum(team["share"] for team in teams.values())
    rows = [["team", "part of the dominant use", "target"]]
    for team in sorted(teams):
        part = dominant[team] / whole if whole else 0
        rows.append([team, f"{part:.3f}", f"{teams[team]['share'] / shares:.3f}"])
    print(site_log.table(rows))
    seconds = sum(end - begin for begin, end in busy) / site_log.MICROS
    print(f"over {seconds:.1f} s in which both teams have waiting work")


def print_cost(samples):
    rows = [["process", "processor s", "share of a core", "highest memory MB"]]
    for name in samples[0]["entries"]:
        costs = [(sample["t_us"], sample["entries"][name]["cost"]) for sample in samples]
        costs = [(at, cost) for at, cost in costs if cost]
        seconds = costs[-1][1]["cpu_s"] - costs[0][1]["cpu_s"]
        wall = (costs[-1][0] - costs[0][0]) / site_log.MICROS
        rows.append([name, f"{seconds:.2f}", f"{seconds / wall:.3f}" if wall else "-",
                     f"{max(cost['rss_mb'] for _, cost in costs):.1f}"])
    print(site_log.table(rows))


def main():
    folder = sys.argv[1]
    events, facts = site_log.write_facts(folder, [])
    specs = {spec["id"]: spec for spec in facts["tasks"]}
    samples = site_log.read_json_lines(os.path.join(folder, "samples.jsonl"))
    print("\nOutcomes and waiting time")
    accepted, started, _ = print_outcomes(events, specs)
    busy = busy_times(accepted, started, specs, sorted(facts["configs"][-1]["teams"]))
    print("\nPacking")
    print_packing(samples, busy)
    print("\nShare against target")
    print_shares(events, facts, specs, busy)
    print("\nControl cost")
    print_cost(samples)


if __name__ == "__main__":
    main()
