//! Checks of a play beyond the rules: how gateways end, what they log, and whether all is as before once it is quiet.

use crate::parts::report::Summary;

/// What a gateway may hold more than before the faults, in descriptors, beside one connection to each server.
const SPARE_DESCRIPTORS: usize = 4;
/// What a gateway's memory may grow by, in KiB.
const SPARE_MEMORY_KIB: u64 = 16 << 10;
/// The part of calls that a calm load is served less than before.
const SERVED_SLACK: f64 = 0.05;
/// What a gateway logs of settings that it rejects.
const REJECTED_RELOAD: &str = "reload rejected";

/// How a gateway that was asked to end did so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// In time, with status 0.
    Well,
    /// In time, with another status or by a signal.
    Failed,
    /// It ran on.
    Late,
}

impl Exit {
    pub(super) fn breach(self, gateway: usize) -> Option<String> {
        match self {
            Exit::Well => None,
            Exit::Failed => Some(format!("gateway {gateway} did not end with status 0")),
            Exit::Late => Some(format!(
                "gateway {gateway} did not end in time after SIGTERM"
            )),
        }
    }
}

/// What one gateway holds while nothing happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rest {
    /// Open descriptors.
    pub descriptors: usize,
    /// Memory, in KiB.
    pub memory_kib: u64,
}

/// Gateways that hold more than before the faults.
pub(super) fn growth(before: &[Rest], after: &[Rest], servers: usize) -> Vec<String> {
    let most = |pick: fn(&Rest) -> u64| before.iter().map(pick).max().unwrap_or(0);
    let descriptors = most(|rest| rest.descriptors as u64) + (servers + SPARE_DESCRIPTORS) as u64;
    let memory_kib = most(|rest| rest.memory_kib) + SPARE_MEMORY_KIB;
    let mut breaches = Vec::new();
    for (gateway, rest) in after.iter().enumerate() {
        if rest.descriptors as u64 > descriptors {
            let held = rest.descriptors;
            breaches.push(format!(
                "gateway {gateway} holds {held} descriptors at rest, at most {descriptors} wanted"
            ));
        }
        if rest.memory_kib > memory_kib {
            let held = rest.memory_kib;
            breaches.push(format!(
                "gateway {gateway} holds {held} KiB at rest, at most {memory_kib} wanted"
            ));
        }
    }
    breaches
}

/// Whether a calm load is served as before the faults.
pub(super) fn calm(before: &Summary, after: &Summary) -> Option<String> {
    let part = |summary: &Summary| summary.served as f64 / summary.sent.max(1) as f64;
    let (wanted, served) = (part(before) - SERVED_SLACK, part(after));
    (after.sent == 0 || served < wanted).then(|| {
        format!(
            "after the faults {} of {} calls of a calm load are served, before {} of {}",
            after.served, after.sent, before.served, before.sent
        )
    })
}

/// Lines of a log that no drawn fault explains: errors, and panics.
pub(super) fn log_breaches(name: &str, text: &str, reloads_fail: bool) -> Vec<String> {
    let is_error = |line: &&str| line.contains(" ERROR ") || line.contains("panicked at");
    let is_explained = |line: &&str| reloads_fail && line.contains(REJECTED_RELOAD);
    let lines = text
        .lines()
        .filter(is_error)
        .filter(|line| !is_explained(line));
    lines.map(|line| format!("{name}: {line}")).collect()
}
