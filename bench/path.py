#!/usr/bin/env python3
"""path.py: measures the latency an instance adds to a stream, the load one instance
carries, and the memory of an open stream. Usage: path.py BUILD_DIR; prints JSON
lines."""
import json
import os
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tests"))
import process  # noqa: E402  (the stand-ins and the table)


def run_load(port, key, model, threads, requests, tokens):
    r = subprocess.run([os.path.join(process.BUILD, "bench/bench_load"),
                        "127.0.0.1:%d" % port, key, model, str(threads),
                        str(requests), str(tokens)],
                       capture_output=True, text=True, timeout=300)
    return json.loads(r.stdout)


def memory_kb(proc):
    with open("/proc/%d/status" % proc.pid) as f:
        for line in f:
            if line.startswith("VmRSS"):
                return int(line.split()[1])
    return 0


def cpu_s(proc):
    with open("/proc/%d/stat" % proc.pid) as f:
        fields = f.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def print_result(what, **values):
    print(json.dumps({"bench": "path", "what": what, **values}))
    sys.stdout.flush()


def measure_added_latency(f):
    engine, instance = f.engines[0], f.ports[0]
    run_load(instance, "key-c", "chat", 4, 40, 20)
    direct = run_load(engine, "x", "m", 4, 200, 40)
    through = run_load(instance, "key-c", "chat", 4, 200, 40)
    print_result("added by an instance, 4 callers", direct=direct, through=through,
         first_ms_50=round(through["first_ms_50"] - direct["first_ms_50"], 3),
         first_ms_99=round(through["first_ms_99"] - direct["first_ms_99"], 3),
         gap_ms_50=round(through["gap_ms_50"] - direct["gap_ms_50"], 3),
         gap_ms_99=round(through["gap_ms_99"] - direct["gap_ms_99"], 3))


def measure_throughput(f):
    p = f.procs["i0"]
    before = cpu_s(p)
    got = run_load(f.ports[0], "key-c", "chat", 200, 2000, 100)
    print_result("one instance, 200 callers", load=got,
         cores=round((cpu_s(p) - before) / got["seconds"], 2))


def measure_stream_memory(f):
    p = f.procs["i0"]
    idle = memory_kb(p)
    peak = [idle]
    stop = threading.Event()

    def poll_memory():
        while not stop.is_set():
            peak[0] = max(peak[0], memory_kb(p))
            time.sleep(0.05)
    t = threading.Thread(target=poll_memory)
    t.start()
    got = run_load(f.ports[0], "key-c", "chat", 1000, 1000, 100)
    stop.set()
    t.join()
    print_result("1,000 streams open at once", load=got, idle_kb=idle, peak_kb=peak[0],
         kb_a_stream=round((peak[0] - idle) / 1000, 1))


def measure_idle_cost(f):
    p = f.procs["i0"]
    bytes_before = f.metric(f.ports[0], "peer_bytes_out_total")
    before, start = cpu_s(p), time.monotonic()
    time.sleep(10)
    took = time.monotonic() - start
    sent = f.metric(f.ports[0], "peer_bytes_out_total") - bytes_before
    print_result("idle instance of three", cores=round((cpu_s(p) - before) / took, 4),
         rss_kb=memory_kb(p), peer_bytes_s=round(sent / took))


def run(measure, **options):
    f = process.Fleet(**options)
    try:
        measure(f)
    finally:
        f.close()


run(measure_added_latency, engines=1, slots=64, token_ms=5)
run(measure_throughput, engines=4, slots=400, token_ms=5)
run(measure_stream_memory, engines=4, slots=400, token_ms=50)
run(measure_idle_cost)
