//! Calls to the shared counter: they are sent for the decisions, and their results are passed back.

use super::{GatewayServer, TimerPurpose};
use crate::counter::CounterResult;
use crate::counters::{Counters, News};
use chalkdeck::api::{CounterKey, Event};

impl GatewayServer {
    /// Sends an increment; `time_to_live` in microseconds.
    pub(super) fn add_to_counter(&mut self, key: CounterKey, amount: f64, time_to_live: u64) {
        let Some(counter) = &mut self.counter else {
            return;
        };
        let engine = &mut self.engine;
        let deadline = engine.now() + self.settings.policy.counter_timeout.as_micros();
        let part = counter.part_of(key);
        let results = part.add(engine, key, amount, time_to_live, deadline);
        self.set_counter_timer();
        self.on_counter_results(results);
    }

    /// All calls have the same time-out, so the earliest one times out first and one timer serves all.
    fn set_counter_timer(&mut self) {
        let Some(deadline) = self.counter.as_mut().and_then(Counters::next_timeout) else {
            return;
        };
        if self.is_counter_timer_set {
            return;
        }
        self.is_counter_timer_set = true;
        let after = deadline.saturating_sub(self.engine.now());
        self.set_timer(after, TimerPurpose::CounterTimeout);
    }

    /// The earliest counter call may have timed out.
    pub(super) fn on_counter_timeout(&mut self) {
        self.is_counter_timer_set = false;
        let Some(counter) = &mut self.counter else {
            return;
        };
        let results = counter.timed_out(&mut self.engine);
        self.set_counter_timer();
        self.on_counter_results(results);
    }

    /// Passes the results of counter calls to the metrics, the sites and the decisions.
    pub(crate) fn on_counter_results(&mut self, results: Vec<CounterResult>) {
        self.report_counter_news();
        self.report_counter_results(&results);
        for result in results {
            self.metrics.count(result.outcome);
            self.decisions.push(Event::CounterReplied {
                key: result.name,
                outcome: result.outcome,
                total: result.total,
            });
        }
    }

    fn report_counter_news(&mut self) {
        let Some(counter) = &mut self.counter else {
            return;
        };
        for news in counter.news() {
            self.metrics.counter_news(news);
            match news {
                News::Recovered => tracing::info!("counter restarted with its counts"),
                News::Emptied => tracing::warn!("counter lost its counts"),
                News::WentBack => tracing::warn!("counter went back to an earlier state"),
            }
        }
    }
}
