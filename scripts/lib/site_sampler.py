"""Samples the entries of the small site and their processor time and memory until it gets SIGTERM.

usage: site_sampler.py KEY OUTPUT SECONDS NAME=ADDRESS=PID...
Writes one JSON object a line, twice a second and for at most SECONDS. An entry that does not answer has no status.
"""

import json
import os
import signal
import sys
import time
import urllib.error
import urllib.request

INTERVAL_S = 0.5
ANSWER_TIMEOUT_S = 0.4
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def process_cost(pid):
    """Processor seconds since the start and resident memory in MB, or nothing after the end of the process."""
    try:
        with open(f"/proc/{pid}/stat", encoding="ascii") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        with open(f"/proc/{pid}/status", encoding="ascii") as file:
            resident = [line for line in file if line.startswith("VmRSS:")]
    except OSError:
        return None
    if not resident:
        return None
    return {"cpu_s": (int(fields[11]) + int(fields[12])) / TICKS_PER_S, "rss_mb": int(resident[0].split()[1]) / 1024}


def status(key, address):
    request = urllib.request.Request(f"http://{address}/v1/status", headers={"Authorization": f"Bearer {key}"})
    try:
        with urllib.request.urlopen(request, timeout=ANSWER_TIMEOUT_S) as answer:
            return json.load(answer)
    except (urllib.error.URLError, OSError, ValueError):
        return None


def sample(key, processes):
    entries = {}
    for name, address, pid in processes:
        entries[name] = {"cost": process_cost(pid), "status": status(key, address) if address else None}
    return {"t_us": time.time_ns() // 1000, "entries": entries}


def main():
    key, output, seconds = sys.argv[1], sys.argv[2], float(sys.argv[3])
    processes = [argument.split("=") for argument in sys.argv[4:]]
    stopped = []
    signal.signal(signal.SIGTERM, lambda number, frame: stopped.append(number))
    end = time.monotonic() + seconds
    with open(output, "w", encoding="utf-8") as file:
        while not stopped and time.monotonic() < end:
            file.write(json.dumps(sample(key, processes)) + "\n")
            file.flush()
            time.sleep(INTERVAL_S)


if __name__ == "__main__":
    main()
