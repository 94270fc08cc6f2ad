//! Checks of the values in the settings file, in the order of its tables. The first value
//! out of its bounds is reported.

use std::collections::HashSet;

use super::error::{FieldError, InvalidValue};
use super::{
    ClusterSettings, DeploymentSettings, NextStateLimits, Objective, ProcessLimits, StateLimits, Team,
    WorkerTiming,
};
use crate::sockets::MIN_SOCKETS;

/// Least memory that is accepted, in MB. An idle controller takes less.
const MIN_MEMORY_MB: f64 = 8.0;

/// Least limit on the changes in a transaction that is accepted.
const MIN_TXN_OPS: usize = 2;

type CheckResult = Result<(), FieldError>;

/// Checks the values of all fields.
pub(super) fn check(settings: &DeploymentSettings) -> CheckResult {
    check_names(settings)?;
    check_cluster(&settings.cluster)
}

fn check_names(settings: &DeploymentSettings) -> CheckResult {
    if settings.host.is_empty() {
        return invalid("host_name", InvalidValue::Empty);
    }
    for (i, peer) in settings.peers.iter().enumerate() {
        if peer.host.is_empty() || peer.host == settings.host {
            return invalid(
                format!("seeds[{i}].host_name"),
                InvalidValue::NotAnotherController,
            );
        }
    }
    Ok(())
}

fn check_cluster(cluster: &ClusterSettings) -> CheckResult {
    check_workers(&cluster.workers)?;
    check_state_limits(&cluster.state)?;
    check_next_state_limits(&cluster.state.next)?;
    check_positive("cluster.cloud.rps", cluster.cloud.rps)?;
    check_process_limits(&cluster.process_limits)?;
    check_teams(&cluster.teams)?;
    for (i, objective) in cluster.objectives.iter().enumerate() {
        check_objective(i, objective)?;
    }
    Ok(())
}

fn check_workers(workers: &WorkerTiming) -> CheckResult {
    check_positive(
        "cluster.workers.report_s",
        workers.heartbeat_interval.as_secs_f64(),
    )?;
    check_positive("cluster.workers.lease_s", workers.lease.as_secs_f64())?;
    check_positive("cluster.workers.cancel_s", workers.cancel_deadline.as_secs_f64())?;
    if workers.cancel_deadline <= workers.lease {
        return invalid("cluster.workers.cancel_s", InvalidValue::NotAboveLease);
    }
    Ok(())
}

fn check_state_limits(limits: &StateLimits) -> CheckResult {
    check_positive("cluster.state.rps", limits.rps)?;
    check_positive("cluster.state.write_rps", limits.write_rps)?;
    check_positive("cluster.state.value_kb", limits.value_kb)?;
    check_txn_ops("cluster.state.txn_ops", limits.txn_ops)
}

fn check_next_state_limits(next: &NextStateLimits) -> CheckResult {
    let numbers = [
        ("cluster.state.next.rps", next.rps),
        ("cluster.state.next.write_rps", next.write_rps),
        ("cluster.state.next.value_kb", next.value_kb),
    ];
    for (field, announced) in numbers {
        if let Some(value) = announced {
            check_positive(field, value)?;
        }
    }
    match next.txn_ops {
        Some(ops) => check_txn_ops("cluster.state.next.txn_ops", ops),
        None => Ok(()),
    }
}

fn check_txn_ops(field: &str, ops: usize) -> CheckResult {
    if ops < MIN_TXN_OPS {
        return invalid(field, InvalidValue::BelowMinimum(MIN_TXN_OPS as f64));
    }
    Ok(())
}

fn check_process_limits(limits: &ProcessLimits) -> CheckResult {
    check_positive("cluster.machine_limits.core_share", limits.core_share)?;
    if !limits.memory_mb.is_finite() || limits.memory_mb < MIN_MEMORY_MB {
        return invalid(
            "cluster.machine_limits.memory_mb",
            InvalidValue::BelowMinimum(MIN_MEMORY_MB),
        );
    }
    if limits.max_sockets < MIN_SOCKETS {
        return invalid(
            "cluster.machine_limits.fd_limit",
            InvalidValue::BelowMinimum(MIN_SOCKETS as f64),
        );
    }
    Ok(())
}

fn check_teams(teams: &[Team]) -> CheckResult {
    let mut names = HashSet::new();
    for (i, team) in teams.iter().enumerate() {
        if team.name.is_empty() || !names.insert(&team.name) {
            return invalid(format!("cluster.teams[{i}].name"), InvalidValue::NotUnique);
        }
        for (field, amount) in [
            ("cpus", team.cpu_quota),
            ("cpus_max", team.cpu_limit),
            ("gpus", team.gpu_quota),
            ("gpus_max", team.gpu_limit),
        ] {
            if !amount.is_finite() || amount < 0.0 {
                return invalid(
                    format!("cluster.teams[{i}].{field}"),
                    InvalidValue::NegativeAmount,
                );
            }
        }
    }
    Ok(())
}

fn check_objective(i: usize, objective: &Objective) -> CheckResult {
    let field = |name: &str| format!("cluster.objectives[{i}].{name}");
    let is_negative = |value: f64| !value.is_finite() || value < 0.0;
    if objective.share.is_some_and(|share| !(0.0..=1.0).contains(&share)) {
        return invalid(field("share"), InvalidValue::NotAShare);
    }
    if objective.times.is_some_and(is_negative) {
        return invalid(field("times"), InvalidValue::Negative);
    }
    if objective.within_s.is_some_and(is_negative) {
        return invalid(field("within_s"), InvalidValue::Negative);
    }
    Ok(())
}

fn check_positive(field: &str, value: f64) -> CheckResult {
    if value.is_finite() && value > 0.0 {
        Ok(())
    } else {
        invalid(field, InvalidValue::NotPositive)
    }
}

fn invalid(field: impl Into<String>, reason: InvalidValue) -> CheckResult {
    Err(FieldError::new(field, reason))
}
