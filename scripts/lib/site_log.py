"""Reads what a run of the small site left in its folder: event logs, submissions, configurations."""

import glob
import json
import math
import os
import re

MICROS = 1_000_000

# Demand of what jaymast-load sends, see src/load/load_run.cc, and of the preview in examples/submissions.json. The id
# of a preview is not told to its caller, so that all previews of a run must have the same demand.
LOAD_DEMAND = {"cpu_millis": 100, "memory_mb": 16, "accelerators": 0, "slots": 1}
PREVIEW_ID = re.compile(r"-v\d+$")


def read_json_lines(path):
    """Objects of a file with one JSON object a line. Half a line at the end, left by a killed process, is skipped."""
    items = []
    with open(path, encoding="utf-8") as file:
        for line in file:
            if line.strip() and line.endswith("\n"):
                items.append(json.loads(line))
    return items


def read_events(folder):
    """All events of a run in order of time. The processes share one machine, so their clocks agree."""
    events = []
    for path in sorted(glob.glob(os.path.join(folder, "*.events"))):
        events += read_json_lines(path)
    events.sort(key=lambda event: event["t_us"])
    return events


def read_submitted(folder):
    """Specification by task id, from the submitted files and the answers, which list the tasks in the same order."""
    specs = {}
    for path in sorted(glob.glob(os.path.join(folder, "submit-*.answer.json"))):
        with open(path.replace(".answer.json", ".json"), encoding="utf-8") as file:
            tasks = json.load(file)["task"]
        with open(path, encoding="utf-8") as file:
            answer = json.load(file)
        for spec, row in zip(tasks, answer["tasks"], strict=True):
            specs[row["id"]] = dict(spec, id=row["id"])
    return specs


def load_spec(event):
    """Specification of a task that came from jaymast-load."""
    is_preview = PREVIEW_ID.search(event["task"]) is not None
    return {"id": event["task"], "team": event["team"], "class": "preview" if is_preview else "batch",
            "kind": "load-preview" if is_preview else "load-submission", "demand": LOAD_DEMAND}


def specs_of(folder, events):
    """Specification of each task that started or was accepted."""
    specs = read_submitted(folder)
    for event in events:
        if event["event"] in ("task_accepted", "runner_started") and event["task"] not in specs:
            specs[event["task"]] = load_spec(event)
    return specs


def write_facts(folder, crashed):
    """Writes facts.json for `jaymast-timeline --check`."""
    events = read_events(folder)
    with open(os.path.join(folder, "instances.json"), encoding="utf-8") as file:
        upstreams = json.load(file)["upstreams"]
    configs = {}
    for answer in read_json_lines(os.path.join(folder, "configs.jsonl")):
        for row in answer["rows"]:
            config = json.loads(row["value"])
            configs[config["version"]] = config
    facts = {"upstreams": upstreams, "tasks": list(specs_of(folder, events).values()),
             "configs": [configs[version] for version in sorted(configs)], "crashed": crashed}
    with open(os.path.join(folder, "facts.json"), "w", encoding="utf-8") as file:
        json.dump(facts, file)
    return events, facts


def table(rows):
    """Text of rows of cells in aligned columns."""
    rows = [[str(cell) for cell in row] for row in rows]
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    return "\n".join("  ".join(cell.ljust(width) for cell, width in zip(row, widths)).rstrip() for row in rows)


def quantile(values, part):
    """Smallest value that at least the given part of the values does not exceed, 0 without values."""
    if not values:
        return 0
    rank = math.ceil(len(values) * part)
    return sorted(values)[max(rank, 1) - 1]
