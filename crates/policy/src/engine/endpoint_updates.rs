//! Handling of updates of the endpoint list.

use super::DecisionEngine;
use crate::api::{EndpointEntry, TimeDelta, UpdateScope};
use crate::timers::TimerPurpose;

/// Minimum delay before the next subscription after one failed, in microseconds.
const RESUBSCRIBE_MIN_MICROS: u64 = 500_000;
/// Maximum random addition to that delay, in microseconds, so that gateways don't all subscribe at
/// once.
const RESUBSCRIBE_SPREAD_MICROS: u64 = 500_000;

impl DecisionEngine {
    /// Handles a complete list, changes of the list, or its unavailability.
    pub(super) fn on_endpoints_updated(&mut self, scope: UpdateScope, entries: Vec<EndpointEntry>) {
        match scope {
            UpdateScope::Unavailable => {
                let micros = RESUBSCRIBE_MIN_MICROS + self.rng.u64(0..RESUBSCRIBE_SPREAD_MICROS);
                let wait = TimeDelta::from_micros(micros);
                self.set_timer(TimerPurpose::Resubscribe, wait);
                return;
            }
            UpdateScope::Complete => {
                let mut named: Vec<_> = entries.iter().map(|entry| entry.endpoint).collect();
                named.sort_unstable();
                self.endpoints.remove_unnamed(&named);
            }
            UpdateScope::Incremental => {}
        }
        for entry in entries {
            self.apply_entry(&entry);
        }
        self.endpoints.refresh();
        self.send_pending();
    }

    /// Applies one entry. A restarted endpoint begins a slow start, and its earlier failures no
    /// longer count. The slow start begins with a random debt, so that gateways don't all send at
    /// once.
    fn apply_entry(&mut self, entry: &EndpointEntry) {
        let now = self.now;
        let duration = self.settings.slow_start_duration;
        let endpoint = self.endpoints.get_or_insert(entry.endpoint);
        let recent_start = entry.started_at.filter(|&at| now < at + duration);
        if let Some(started_at) = recent_start {
            if endpoint.is_restarted_by(started_at) {
                endpoint.reset();
                let debt = self.settings.max_request_units * (1.0 + self.rng.f64());
                endpoint.begin_slow_start(now, started_at, -debt);
            }
            endpoint.slow_start_since = Some(started_at);
        }
        self.endpoints.apply_entry(entry);
    }

    /// Whether the endpoint list still shows which endpoint listens at an address.
    pub(super) fn is_list_current(&self) -> bool {
        self.settings.max_list_age.is_none_or(|max_age| {
            let confirmed_at = self.list_confirmed_at;
            confirmed_at.is_some_and(|at| self.now <= at + max_age)
        })
    }
}
