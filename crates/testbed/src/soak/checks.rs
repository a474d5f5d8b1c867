//! Checks of a soak run besides the audit rules: how gateways exit, what they log, and whether the fleet recovers after the
//! faults.

use crate::common::load_stats::LoadSummary;

/// Open descriptors that a gateway may have more than before the faults, besides one connection to each server.
const ALLOWED_EXTRA_DESCRIPTORS: usize = 4;
/// Resident memory that a gateway may have more than before the faults, in KiB.
const ALLOWED_EXTRA_MEMORY_KIB: u64 = 16 << 10;
/// The most by which the served fraction of the baseline load may drop after the faults.
const ALLOWED_SERVED_DROP: f64 = 0.05;
/// Log message of a gateway that rejects its new settings.
const REJECTED_RELOAD: &str = "reload rejected";

/// How a gateway exited after SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatewayExit {
    /// In time, with status 0.
    Clean,
    /// In time, with another status or by a signal.
    Failed,
    /// Not in time: it was still running.
    TimedOut,
}

impl GatewayExit {
    pub(super) fn breach(self, gateway: usize) -> Option<String> {
        match self {
            GatewayExit::Clean => None,
            GatewayExit::Failed => Some(format!("gateway {gateway} did not end with status 0")),
            GatewayExit::TimedOut => Some(format!(
                "gateway {gateway} did not end in time after SIGTERM"
            )),
        }
    }
}

/// Resources that a gateway uses while it is idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleUsage {
    /// Open file descriptors.
    pub descriptors: usize,
    /// Resident memory, in KiB.
    pub memory_kib: u64,
}

/// Gateways that use more descriptors or memory than before the faults, which suggests a leak.
pub(super) fn leak_breaches(
    before: &[IdleUsage],
    after: &[IdleUsage],
    servers: usize,
) -> Vec<String> {
    let max_of = |pick: fn(&IdleUsage) -> u64| before.iter().map(pick).max().unwrap_or(0);
    let max_descriptors =
        max_of(|usage| usage.descriptors as u64) + (servers + ALLOWED_EXTRA_DESCRIPTORS) as u64;
    let max_memory_kib = max_of(|usage| usage.memory_kib) + ALLOWED_EXTRA_MEMORY_KIB;
    let mut breaches = Vec::new();
    for (gateway, usage) in after.iter().enumerate() {
        if usage.descriptors as u64 > max_descriptors {
            let held = usage.descriptors;
            breaches.push(format!(
                "gateway {gateway} holds {held} descriptors at rest, at most {max_descriptors} wanted"
            ));
        }
        if usage.memory_kib > max_memory_kib {
            let held = usage.memory_kib;
            breaches.push(format!(
                "gateway {gateway} holds {held} KiB at rest, at most {max_memory_kib} wanted"
            ));
        }
    }
    breaches
}

/// A breach if the baseline load after the faults is served less than before them.
pub(super) fn baseline_breach(before: &LoadSummary, after: &LoadSummary) -> Option<String> {
    let served_fraction =
        |summary: &LoadSummary| summary.served as f64 / summary.sent.max(1) as f64;
    let (min_served, served) = (
        served_fraction(before) - ALLOWED_SERVED_DROP,
        served_fraction(after),
    );
    (after.sent == 0 || served < min_served).then(|| {
        format!(
            "after the faults {} of {} calls of a calm load are served, before {} of {}",
            after.served, after.sent, before.served, before.sent
        )
    })
}

/// Errors and panics in a log that no injected fault explains. `reloads_fail`: faults make reloads of settings fail.
pub(super) fn log_breaches(name: &str, text: &str, reloads_fail: bool) -> Vec<String> {
    let is_error = |line: &&str| line.contains(" ERROR ") || line.contains("panicked at");
    let is_explained = |line: &&str| reloads_fail && line.contains(REJECTED_RELOAD);
    let lines = text
        .lines()
        .filter(is_error)
        .filter(|line| !is_explained(line));
    lines.map(|line| format!("{name}: {line}")).collect()
}
