"""The main job on loopback: three data centres, a model spread to every upstream, and requests of
each class of work answered by the version that was spread.

Prints time to N replicas, origin bytes in copies, and how many answers were checked.
"""

import argparse
import concurrent.futures
import time

from loopback_cluster import (Cluster, call, expected_answer, expected_plain_answer, rollout,
                              target, wait_until)

DATA_CENTRES = ["central-valley", "guanacaste", "caribe"]
TARGETS = [
    target("asistente", "quotation", answerWithinMs=20000, firstTokenWithinMs=5000),
    target("asistente", "summary", answerWithinMs=30000),
    target("pedidos", "confirmation", answerWithinMs=20000, nonIdempotent=True, neverLost=True),
    target("bodega", "stock-check", answerWithinMs=10000),
]


def start(cluster, runners):
    for index in range(runners):
        cluster.add_upstream(f"asistente-{index}", DATA_CENTRES[index % 3], "asistente")
    for index, data_centre in enumerate(DATA_CENTRES):
        cluster.add_upstream(f"pedidos-{index}", data_centre, "pedidos")
        cluster.add_entry(f"entry-{index}-a", data_centre)
        cluster.add_entry(f"entry-{index}-b", data_centre)
    cluster.add_upstream("bodega-0", DATA_CENTRES[0], "bodega", kind="plain")
    cluster.wait_ready()
    cluster.wait_membership()


def spread(cluster, size, prefer):
    models = [upstream for upstream in cluster.upstreams.values() if upstream.kind == "engine"]
    for service, seed in (("asistente", 11), ("pedidos", 12)):
        cluster.create_model(service, "v1", size, seed)
    entry = next(iter(cluster.entries.values()))
    before = cluster.origin_bytes()
    begun = time.monotonic()
    status, answer = cluster.apply(entry, TARGETS + [rollout(service, "v1", prefer)
                                                     for service in ("asistente", "pedidos")])
    assert status == 200, answer
    times = {}

    def all_serve():
        for upstream in models:
            if upstream.name not in times and cluster.served(upstream):
                times[upstream.name] = time.monotonic() - begun
                print(f"event=replica_serves upstream={upstream.name} "
                      f"seconds={times[upstream.name]:.2f}", flush=True)
        return len(times) == len(models)

    wait_until(all_serve, "every upstream serves the version")
    seconds = max(times.values())
    copies = (cluster.origin_bytes() - before) / (2 * size)
    print(f"event=spread_finished replicas={len(models)} seconds={seconds:.2f} "
          f"origin_copies={copies:.3f} model_bytes={size}", flush=True)
    return {upstream.service: cluster.served(upstream) for upstream in models}


CLASSES = [("asistente", "quotation"), ("pedidos", "confirmation"), ("bodega", "stock-check"),
           ("asistente", "summary")]


def ask(cluster, roots, number, entry=None):
    """Sends request `number` of some class through some entry instance and checks the answer."""
    entries = list(cluster.entries.values())
    entry = entry or entries[number // len(CLASSES) % len(entries)]
    service, work_class = CLASSES[number % len(CLASSES)]
    prompt = f"request {number} of class {work_class}"
    headers = {"Client-Account": f"cooperative-{number % 10}"}
    if work_class == "confirmation":
        headers["Idempotency-Key"] = f"20426-{number}"
    status, _, body = call(entry.ports["http"], "POST", f"/v1/{service}/{work_class}",
                           {"prompt": prompt, "maxTokens": 12}, headers)
    if service == "bodega":
        expected = expected_plain_answer(prompt)
    else:
        expected = expected_answer(roots[service], prompt, 12)
    return work_class, status, body == expected, body


def check_answers(cluster, roots, count):
    # Routes follow the heartbeats of the agents, so the first answer of each class is awaited.
    number = 0
    for entry in cluster.entries.values():
        for _ in CLASSES:
            wait_until(lambda n=number, e=entry: ask(cluster, roots, n, e)[1] == 200,
                       f"{entry.name} answers class {CLASSES[number % len(CLASSES)][1]}")
            number += 1
    wrong = []
    with concurrent.futures.ThreadPoolExecutor(max_workers=16) as pool:
        for result in pool.map(lambda n: ask(cluster, roots, n), range(1000, 1000 + count)):
            if result[1] != 200 or not result[2]:
                wrong.append(result)
    doubled = {name: times for name, times in cluster.executions().items() if times > 1}
    print(f"event=answers_checked requests={count} wrong={len(wrong)} doubled={len(doubled)}",
          flush=True)
    for result in wrong[:5]:
        print(f"event=answer_wrong class={result[0]} status={result[1]} body={result[3][:300]}")
    assert not wrong and not doubled


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--megabytes", type=int, default=64, help="size of each model")
    parser.add_argument("--runners", type=int, default=9, help="upstreams of the large service")
    parser.add_argument("--requests", type=int, default=400)
    parser.add_argument("--prefer", choices=["origin-bytes", "time"], default="origin-bytes")
    options = parser.parse_args()
    with Cluster() as cluster:
        start(cluster, options.runners)
        roots = spread(cluster, options.megabytes << 20, options.prefer)
        check_answers(cluster, roots, options.requests)
        print("event=main_job_finished result=ok")


if __name__ == "__main__":
    main()
