//! Updates of the endpoint list.

use super::DecisionEngine;
use crate::api::{EndpointEntry, TimeDelta, UpdateScope};
use crate::timers::TimerPurpose;

/// The shortest wait before another subscription, after one failed.
const RESUBSCRIBE_MIN_MICROS: u64 = 500_000;
/// The most that is added to it at random, so that gateways don't subscribe as one wave.
const RESUBSCRIBE_SPREAD_MICROS: u64 = 500_000;

impl DecisionEngine {
    /// Takes a list, changes of it, or that it is not available.
    pub(super) fn on_endpoints_updated(&mut self, scope: UpdateScope, entries: Vec<EndpointEntry>) {
        match scope {
            UpdateScope::Unavailable => {
                let micros = RESUBSCRIBE_MIN_MICROS + self.rng.u64(0..RESUBSCRIBE_SPREAD_MICROS);
                let wait = TimeDelta::from_micros(micros);
                return self.set_timer(TimerPurpose::Resubscribe, wait);
            }
            UpdateScope::Complete => {
                for endpoint in self.endpoints.iter_mut() {
                    endpoint.is_in_service = false;
                }
            }
            UpdateScope::Incremental => {}
        }
        for entry in entries {
            self.apply_entry(&entry);
        }
        self.endpoints.refresh();
        self.send_pending();
    }

    /// Takes one line. An endpoint that started again begins a slow start, and failures before its
    /// start no longer count; its debt is random, so that gateways don't all send at once.
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
        endpoint.apply_entry(entry);
    }
}
