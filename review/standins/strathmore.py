"""Settings of the small deployment "Strathmore Mart", by BRIEF and DEPLOY."""

import random

ZONES = ["north-shed", "office-loft", "council-depot"]
WORKERS = {"report_s": 3.0, "lease_s": 34.0, "cancel_s": 54.0}
RIG = {
    "label": "byre-sixteen", "cpus": 16.0, "accelerators": 0.0, "memory_gb": 128.0, "local_gb": 100.0,
    "fetch_gb_per_s": 1.0, "hourly": 0.84, "spot_price": 0.31, "startup_s": 25.0, "yards": ZONES,
}
CLOUD_RPS, LIST_LAG_S = 3.0, 12.0
STATE = {"rps": 150.0, "write_rps": 60.0, "value_kb": 8.0, "txn_ops": 16}


def settings():
    lines = ["[cluster]", "initial_size = 3", f"zones = {sorted(ZONES)}", "clock_error_ms = 25.0"]
    for i in range(12):
        lines += ["[[cluster.teams]]", f'name = "sale-clerks-{i:02}"', "cpus = 56.0", "cpus_max = 200.0",
                  "gpus = 0.0", "gpus_max = 0.0"]
    lines += ["[cluster.workers]", *(f"{k} = {v}" for k, v in WORKERS.items()),
              "gang_wait_s = 35.0", "gang_peer_s = 5.0"]
    lines += ["[cluster.state]", *(f"{k} = {v}" for k, v in STATE.items())]
    lines += ["[cluster.cloud]", f"rps = {CLOUD_RPS}", f"list_lag_s = {LIST_LAG_S}"]
    lines += ["[cluster.machine_limits]", "core_share = 0.16", "memory_mb = 200.0", "fd_limit = 4000"]
    return "\n".join(lines).replace("'", '"')


def soon(_rig):
    """"at times machines are up within a second or two" (PROTOCOL, GET /machine_types)."""
    return random.uniform(1.0, 2.0)


def job(number, lots, run_s, **fields):
    """The description of a job, and how long its tasks run."""
    description = {
        "name_id": f"job-{number:06}", "lot_class": "ring-guide-refresh", "desk": "sale-clerks-00",
        "sort": "batch", "urgency": "high", "lots": lots, "cpus": 4.0, "accelerators": 0.0,
        "memory_gb": 26.0, "kit": "img-01", "size_gb": 0.9, "rigs": None, "yard": None,
        "one_zone": False, "spread": False, "loaners": True, "expected_s": run_s, "tally_s": 0.0,
        "stow_s": 0.0, "due_s": None, **fields,
    }
    return description, run_s
