//! Calls the counter and reports the results to the decision engine. Without a counter, all of this does nothing.

use super::{GatewayServer, TimerPurpose};
use crate::clock;
use crate::counter_client::{CallStart, CounterClient, CounterResult};
use chalkdeck::api::{CounterKey, Event};
use chalkdeck_net::ConnId;
use chalkdeck_time::TimeDelta;
use std::net::SocketAddr;

impl GatewayServer {
    pub(super) fn add_to_counter(&mut self, key: CounterKey, amount: f64, time_to_live: TimeDelta) {
        let Some(counter) = &mut self.counter else {
            return;
        };
        let start = counter.add(&mut self.engine, key, amount, time_to_live);
        if let CallStart::Dialing(conn) = start {
            self.set_dial_timer(conn);
        }
        self.set_counter_timer();
        if let CallStart::Ended(result) = start {
            self.on_counter_results(vec![result]);
        }
    }

    /// Sets a timer for the next deadline of a counter call. All calls have the same time-out, so they expire in the order in which they
    /// were made, and one timer is enough.
    fn set_counter_timer(&mut self) {
        let next_deadline = self.counter.as_ref().and_then(CounterClient::next_deadline);
        let Some(deadline) = next_deadline.filter(|_| !self.is_counter_timer_set) else {
            return;
        };
        self.is_counter_timer_set = true;
        let remaining = deadline - clock::now(&self.engine);
        self.set_timer(remaining, TimerPurpose::CounterTimeout);
    }

    pub(super) fn on_counter_timeout(&mut self) {
        self.is_counter_timer_set = false;
        let Some(counter) = &mut self.counter else {
            return;
        };
        let results = counter.expire_calls(&mut self.engine);
        self.set_counter_timer();
        self.on_counter_results(results);
    }

    pub(super) fn on_counter_dial_timeout(&mut self, conn: ConnId) {
        if let Some(counter) = &mut self.counter {
            let results = counter.on_dial_timeout(&mut self.engine, conn);
            self.on_counter_results(results);
        }
    }

    pub(super) fn counter_owns(&self, conn: ConnId) -> bool {
        self.counter
            .as_ref()
            .is_some_and(|counter| counter.owns(conn))
    }

    pub(super) fn on_counter_bytes(&mut self, conn: ConnId, data: &[u8]) {
        if let Some(counter) = &mut self.counter {
            let results = counter.on_bytes(&mut self.engine, conn, data);
            self.on_counter_results(results);
        }
    }

    pub(super) fn on_counter_closed(&mut self, conn: ConnId, unsent: usize) {
        if let Some(counter) = &mut self.counter {
            let results = counter.on_closed(conn, unsent);
            self.on_counter_results(results);
        }
    }

    pub(super) fn set_counter_address(&mut self, address: SocketAddr) {
        if let Some(counter) = &mut self.counter {
            let results = counter.set_address(&mut self.engine, address);
            self.on_counter_results(results);
        }
    }

    fn on_counter_results(&mut self, results: Vec<CounterResult>) {
        for result in results {
            self.decisions.push(Event::CounterReplied {
                key: result.key,
                outcome: result.outcome,
                total: result.total,
            });
        }
    }
}
