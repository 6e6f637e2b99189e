"""Runs the main job on loopback: rolls a model out to every upstream in three data centres, sends
requests of each class of work and checks that the new version answers them.

Prints the time until each replica serves, the origin traffic in copies of the models and the number
of checked answers.
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


def roll_out(cluster, size, prefer):
    models = [upstream for upstream in cluster.upstreams.values() if upstream.kind == "engine"]
    for service, seed in (("asistente", 11), ("pedidos", 12)):
        cluster.create_model(service, "v1", size, seed)
    entry = next(iter(cluster.entries.values()))
    before = cluster.origin_bytes()
    started_at = time.monotonic()
    status, answer = cluster.apply(entry, TARGETS + [rollout(service, "v1", prefer)
                                                     for service in ("asistente", "pedidos")])
    assert status == 200, answer
    serving_after = {}

    def all_serve():
        for upstream in models:
            if upstream.name not in serving_after and cluster.served(upstream):
                serving_after[upstream.name] = time.monotonic() - started_at
                print(f"event=replica_serves upstream={upstream.name} "
                      f"seconds={serving_after[upstream.name]:.2f}", flush=True)
        return len(serving_after) == len(models)

    wait_until(all_serve, "every upstream serves the version")
    seconds = max(serving_after.values())
    copies = (cluster.origin_bytes() - before) / (2 * size)
    print(f"event=spread_finished replicas={len(models)} seconds={seconds:.2f} "
          f"origin_copies={copies:.3f} model_bytes={size}", flush=True)
    return {upstream.service: cluster.served(upstream) for upstream in models}


CLASSES = [("asistente", "quotation"), ("pedidos", "confirmation"), ("bodega", "stock-check"),
           ("asistente", "summary")]


def send_request(cluster, roots, number, entry=None):
    """Sends a request and returns its class, the HTTP status, whether the answer is as expected,
    and the answer. `number` selects the class and, if `entry` is not given, the entry instance."""
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
    # Routes are updated by agent heartbeats, so wait until each entry instance answers each class.
    number = 0
    for entry in cluster.entries.values():
        for _ in CLASSES:
            wait_until(lambda n=number, e=entry: send_request(cluster, roots, n, e)[1] == 200,
                       f"{entry.name} answers class {CLASSES[number % len(CLASSES)][1]}")
            number += 1
    wrong = []
    with concurrent.futures.ThreadPoolExecutor(max_workers=16) as pool:
        for result in pool.map(lambda n: send_request(cluster, roots, n),
                               range(1000, 1000 + count)):
            if result[1] != 200 or not result[2]:
                wrong.append(result)
    duplicates = {name: runs for name, runs in cluster.executions().items() if runs > 1}
    print(f"event=answers_checked requests={count} wrong={len(wrong)} doubled={len(duplicates)}",
          flush=True)
    for result in wrong[:5]:
        print(f"event=answer_wrong class={result[0]} status={result[1]} body={result[3][:300]}")
    assert not wrong and not duplicates


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--megabytes", type=int, default=64, help="size of each model")
    parser.add_argument("--runners", type=int, default=9,
                        help="number of upstreams of service asistente")
    parser.add_argument("--requests", type=int, default=400)
    parser.add_argument("--prefer", choices=["origin-bytes", "time"], default="origin-bytes")
    options = parser.parse_args()
    with Cluster() as cluster:
        start(cluster, options.runners)
        roots = roll_out(cluster, options.megabytes << 20, options.prefer)
        check_answers(cluster, roots, options.requests)
        print("event=main_job_finished result=ok")


if __name__ == "__main__":
    main()
