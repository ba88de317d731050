"""Callers that ask in the background and check every answer."""

import itertools
import json
import threading
import time


class Load:
    """Asks through the given entries until it is stopped; what is wrong with an answer goes to `violations`."""

    counter = itertools.count()

    def __init__(self, cluster, entries, threads=4, pause_s=0.002, **request):
        self.cluster = cluster
        self.entries = list(entries)
        self.request = request
        self.pause_s = pause_s
        self.violations = []
        self.answers = []
        self.cut = 0
        self.stopping = False
        self.threads = [threading.Thread(target=self.run, args=(i,)) for i in range(threads)]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stop()

    def stop(self):
        self.stopping = True
        for thread in self.threads:
            thread.join()

    def run(self, number):
        while not self.stopping:
            entry = self.entries[number % len(self.entries)]
            number += 1
            body = "query %d" % next(self.counter)
            status, answer = self.cluster.query(entry, body, **self.request)
            if status is None:
                self.cut += 1
            else:
                self.answers.append((time.monotonic(), status, answer))
                self.violations += check_answer(answer, body, self.cluster.shards)
            time.sleep(self.pause_s)

    def whole(self):
        return sum(1 for _, _, answer in self.answers if answer.get("complete"))


def check_answer(answer, body, shards):
    """What is untrue about an answer to `body`: versions, identity, coverage."""
    wrong = []
    covered = answer.get("shards_covered", [])
    missing = [item["shard"] for item in answer.get("shards_missing", [])]
    if "error" not in answer and sorted(covered + missing) != list(range(shards)):
        wrong.append("shards are counted wrongly: %s" % answer)
    if answer.get("complete") and missing:
        wrong.append("complete with missing shards: %s" % answer)
    if [item["shard"] for item in answer.get("results", [])] != covered:
        wrong.append("results differ from coverage: %s" % answer)
    for item in answer.get("results", []):
        result = json.loads(item["body"])
        if result["version"] != answer["index_version"]:
            wrong.append("versions are mixed: %s" % answer)
        if result["shard"] != item["shard"]:
            wrong.append("another shard's answer: %s" % answer)
        if result["echo"] != body:
            wrong.append("another caller's answer: %s" % answer)
    return wrong
