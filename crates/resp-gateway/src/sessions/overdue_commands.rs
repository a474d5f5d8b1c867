//! Commands that are rejected because they waited too long, for memory or unread.

use super::Sessions;
use chalkdeck_time::{TimeDelta, Timestamp};

/// The shortest time between two log lines.
const LOG_INTERVAL: TimeDelta = TimeDelta::from_secs(10);

/// The number of such commands, and what of it was logged.
#[derive(Debug, Default)]
pub(super) struct OverdueCommands {
    pub(super) count: u64,
    logged_count: u64,
    logged_at: Timestamp,
}

impl Sessions {
    /// Logs how many commands were rejected since the last time, and the memory that sessions take. Called at a fixed interval.
    pub(crate) fn log_overdue_commands(&mut self, now: Timestamp) {
        let overdue = &mut self.overdue_commands;
        if overdue.count == overdue.logged_count || now < overdue.logged_at + LOG_INTERVAL {
            return;
        }
        tracing::info!(
            rejected = overdue.count - overdue.logged_count,
            session_bytes = self.budget.used(),
            "commands rejected that waited too long for memory, or unread"
        );
        overdue.logged_count = overdue.count;
        overdue.logged_at = now;
    }
}
