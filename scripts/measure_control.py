"""Measures the control overhead of idle processes, for docs/CAPACITY.md.

Starts deployments of increasing size on loopback and prints, for each size and role: resident
memory, processor time, payload bytes of control messages and heartbeats, and outgoing connections.
"""

import argparse
import os
import time

from loopback_cluster import Cluster, call_json, target

MEASUREMENT_SECONDS = 10
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def cpu_seconds(process):
    with open(f"/proc/{process.handle.pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_mb(process):
    with open(f"/proc/{process.handle.pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0


def loopback_bytes():
    """Returns the bytes sent over loopback by all processes of the machine, headers included."""
    with open("/proc/net/dev", encoding="ascii") as devices:
        for line in devices:
            name, _, fields = line.partition(":")
            if name.strip() == "lo":
                return int(fields.split()[0])
    return 0


def sample(cluster, processes):
    return [(cpu_seconds(p), cluster.dump(p)["rpc"]["controlBytesSent"], time.monotonic())
            for p in processes]


def measure(entries, agents):
    with Cluster() as cluster:
        for index in range(agents):
            cluster.add_upstream(f"bodega-{index}", f"dc-{index % 2}", "bodega", kind="plain")
        for index in range(entries):
            cluster.add_entry(f"entry-{index}", f"dc-{index % 2}")
        cluster.wait_ready()
        cluster.wait_membership()
        first = next(iter(cluster.entries.values()))
        cluster.apply(first, [target("bodega", "stock-check", answerWithinMs=1000)])
        time.sleep(3)
        roles = {"entry": list(cluster.entries.values()),
                 "agent": [upstream.agent for upstream in cluster.upstreams.values()]}
        before = {role: sample(cluster, found) for role, found in roles.items()}
        reads = call_json(cluster.platform_port, "GET", "/table/stats")[1]["reads"]
        network = loopback_bytes()
        time.sleep(MEASUREMENT_SECONDS)
        network = loopback_bytes() - network
        print(f"measure=idle.all.loopback_bytes.e{entries}a{agents} "
              f"value={network / MEASUREMENT_SECONDS / (entries + agents):.0f} "
              f"unit=bytes/s_per_process")
        for role, found in roles.items():
            after = sample(cluster, found)
            count = len(found)
            cpu = sum((a[0] - b[0]) / (a[2] - b[2]) for a, b in zip(after, before[role])) / count
            sent = sum((a[1] - b[1]) / (a[2] - b[2]) for a, b in zip(after, before[role])) / count
            memory = max(resident_mb(p) for p in found)
            links = max(cluster.dump(p)["rpc"]["outgoing"] for p in found)
            size = f"e{entries}a{agents}"
            print(f"measure=idle.{role}.memory.{size} value={memory:.1f} unit=MB")
            print(f"measure=idle.{role}.cpu.{size} value={100 * cpu:.2f} unit=percent_of_core")
            print(f"measure=idle.{role}.control_sent.{size} value={sent:.0f} unit=payload_bytes/s")
            print(f"measure=idle.{role}.outgoing_connections.{size} value={links} unit=1")
        reads = call_json(cluster.platform_port, "GET", "/table/stats")[1]["reads"] - reads
        print(f"measure=idle.table_reads.e{entries}a{agents} "
              f"value={reads / MEASUREMENT_SECONDS:.1f} unit=reads/s", flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", nargs="+", default=["4x8", "8x16", "16x32"],
                        help="entry instances x agents")
    for size in parser.parse_args().sizes:
        measure(*(int(part) for part in size.split("x")))


if __name__ == "__main__":
    main()
