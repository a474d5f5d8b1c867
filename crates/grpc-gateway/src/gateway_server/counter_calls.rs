//! Sends the decision engine's increments to the shared counter and passes the results back.

use super::{GatewayServer, TimerPurpose};
use crate::counter_client::{CounterClient, CounterResult, Increment, StateChange};
use chalkdeck::api::{CounterKey, Event};

impl GatewayServer {
    /// Sends an increment; `time_to_live` is in microseconds.
    pub(super) fn add_to_counter(&mut self, key: CounterKey, amount: f64, time_to_live: u64) {
        let Some(counter) = &mut self.counter else {
            return;
        };
        let increment = Increment {
            key,
            amount,
            time_to_live,
            deadline: self.engine.now() + self.settings.policy.counter_timeout.as_micros(),
        };
        let results = counter.add(&mut self.engine, &increment);
        self.set_counter_timer();
        self.on_counter_results(results);
    }

    /// Sets the timer of the next time-out. All counter calls have the same time-out and expire in order, so one timer serves all.
    fn set_counter_timer(&mut self) {
        let Some(deadline) = self.counter.as_mut().and_then(CounterClient::next_deadline) else {
            return;
        };
        if self.is_counter_timer_set {
            return;
        }
        self.is_counter_timer_set = true;
        let after = deadline.saturating_sub(self.engine.now());
        self.set_timer(after, TimerPurpose::CounterTimeout);
    }

    /// Handles the timer of counter calls: the earliest one may have timed out.
    pub(super) fn on_counter_timeout(&mut self) {
        self.is_counter_timer_set = false;
        let Some(counter) = &mut self.counter else {
            return;
        };
        let results = counter.expire_calls(&mut self.engine);
        self.set_counter_timer();
        self.on_counter_results(results);
    }

    /// Passes the results of counter calls to the metrics, the sites and the decision engine.
    pub(crate) fn on_counter_results(&mut self, results: Vec<CounterResult>) {
        self.report_counter_state_changes();
        self.report_counter_results(&results);
        for result in results {
            self.metrics.counter_call_ended(result.outcome);
            self.decisions.push(Event::CounterReplied {
                key: result.key,
                outcome: result.outcome,
                total: result.total,
            });
        }
    }

    fn report_counter_state_changes(&mut self) {
        let Some(counter) = &mut self.counter else {
            return;
        };
        for change in counter.take_state_changes() {
            self.metrics.counter_state_changed(change);
            match change {
                StateChange::Recovered => tracing::info!("counter restarted with its counts"),
                StateChange::LostTotals => tracing::warn!("counter lost its counts"),
                StateChange::RolledBack => tracing::warn!("counter went back to an earlier state"),
            }
        }
    }
}
