"""Splits a file of tasks of several teams into one file a team, because a key is valid for one team only.

usage: expand_submissions.py FILE FOLDER ROUND COPIES...
COPIES is TEAM=NUMBER. Batch work is repeated NUMBER times; urgent work, gangs and, in round 1, services appear once.
Writes submit-TEAM-ROUND.json and, in round 1, preview-TEAM.json.
"""

import copy
import json
import os
import sys


def repeated(task, round_number, number):
    """A copy of a task that is work of its own: other idempotency key, gang and body."""
    result = copy.deepcopy(task)
    mark = f"{round_number}-{number}"
    result["idempotency_key"] += f"-{mark}"
    result["body"] = json.dumps(dict(json.loads(task["body"]), mark=mark))
    if "gang" in task:
        result["gang"] += f"-{mark}"
    return result


def expand(tasks, round_number, copies):
    """Tasks of one team for one round."""
    result = []
    for task in tasks:
        work_class = task.get("class", "batch")
        if work_class == "preview" or (work_class == "service" and round_number > 1):
            continue
        count = copies if work_class == "batch" else 1
        result += [repeated(task, round_number, number) for number in range(1, count + 1)]
    return result


def write(folder, name, tasks):
    with open(os.path.join(folder, name), "w", encoding="utf-8") as file:
        json.dump({"task": tasks}, file)


def main():
    file_name, folder, round_number = sys.argv[1], sys.argv[2], int(sys.argv[3])
    with open(file_name, encoding="utf-8") as file:
        tasks = json.load(file)["task"]
    for argument in sys.argv[4:]:
        team, copies = argument.split("=")
        own = [task for task in tasks if task["team"] == team]
        write(folder, f"submit-{team}-{round_number}.json", expand(own, round_number, int(copies)))
        previews = [task for task in own if task.get("class") == "preview"]
        if previews and round_number == 1:
            write(folder, f"preview-{team}.json", previews[:1])


if __name__ == "__main__":
    main()
