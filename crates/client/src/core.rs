//! The decision logic of a client, without I/O. It receives events with the current time, and returns actions.
//!
//! Any clock can be used. If its time goes back, the core continues with the latest time that it has seen.

mod call_state;
mod gateways;
mod messages;
mod retry_budget;

pub use messages::{Action, AttemptOutcome, CallId, Event, GatewayId, Idempotency, Outcome};

use crate::settings::{Settings, SettingsError};
use call_state::CallState;
use chalkdeck_time::{TimeDelta, Timestamp};
use gateways::Gateways;
use retry_budget::RetryBudget;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// The next backoff is at most this multiple of the previous one.
const BACKOFF_GROWTH_FACTOR: u64 = 3;

/// A deadline of a call or the end of its backoff. Ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Wake {
    at: Timestamp,
    call: CallId,
}

/// The core of one client. It is deterministic: the same settings and events give the same actions.
pub struct ClientCore {
    settings: Settings,
    rng: fastrand::Rng,
    now: Timestamp,
    calls: HashMap<CallId, CallState>,
    gateways: Gateways,
    retry_budget: RetryBudget,
    /// Calls whose next attempt is due and waits for a gateway.
    pending: VecDeque<CallId>,
    /// Deadlines and ends of backoffs, as [`ClientCore::next_wake`] reports them.
    wakes: BTreeSet<Wake>,
    actions: Vec<Action>,
}

impl ClientCore {
    /// A core with an empty list of gateways.
    ///
    /// # Errors
    ///
    /// The settings are inconsistent.
    pub fn new(settings: Settings) -> Result<ClientCore, SettingsError> {
        settings.check()?;
        Ok(ClientCore {
            rng: fastrand::Rng::with_seed(settings.seed),
            retry_budget: RetryBudget::new(settings.retry_budget, settings.retry_budget_refill),
            settings,
            now: Timestamp::ZERO,
            calls: HashMap::new(),
            gateways: Gateways::default(),
            pending: VecDeque::new(),
            wakes: BTreeSet::new(),
            actions: Vec::new(),
        })
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.apply(event);
        self.run_wakes();
        self.send_pending();
        for gateway in self.gateways.start_connecting(self.now) {
            actions.push(Action::Connect { gateway });
        }
        actions.append(&mut self.actions);
    }

    /// The settings that the core was created with.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// When the core needs [`Event::Tick`], unless another event arrives first.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let first_wake = self.wakes.first().map(|wake| wake.at);
        let next_connect = self.gateways.next_connect_at();
        first_wake.into_iter().chain(next_connect).min()
    }

    /// The tokens that the retry budget has left.
    pub fn retry_budget(&self) -> f64 {
        self.retry_budget.tokens()
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::GatewaysListed { count } => self.gateways.set_count(count, self.now),
            Event::CallStarted {
                call,
                idempotency,
                deadline,
            } => self.on_call_started(call, idempotency, deadline),
            Event::CallCancelled { call } => self.complete(call, Outcome::Cancelled),
            Event::Connected { gateway } => self.gateways.on_connected(gateway),
            Event::Disconnected { gateway } => {
                self.gateways
                    .on_disconnected(gateway, self.now, &self.settings, &mut self.rng);
            }
            Event::RetryRuledOut { call } => self.on_retry_ruled_out(call),
            Event::AttemptEnded {
                call,
                attempt,
                outcome,
            } => self.on_attempt_ended(call, attempt, outcome),
            Event::Tick => {}
        }
    }

    fn on_call_started(&mut self, id: CallId, idempotency: Idempotency, deadline: Timestamp) {
        if self.calls.contains_key(&id) {
            return;
        }
        if self.pending.len() >= self.settings.max_pending {
            let outcome = Outcome::TooManyCalls;
            self.actions
                .push(Action::CompleteCall { call: id, outcome });
            return;
        }
        let call = CallState::new(idempotency, deadline, self.settings.initial_backoff);
        self.calls.insert(id, call);
        self.wakes.insert(Wake {
            at: deadline,
            call: id,
        });
        self.pending.push_back(id);
    }

    /// Completes calls whose deadlines have passed, and makes those pending whose backoffs are over.
    fn run_wakes(&mut self) {
        while let Some(&wake) = self.wakes.first().filter(|wake| wake.at <= self.now) {
            self.wakes.remove(&wake);
            let Some(call) = self.calls.get_mut(&wake.call) else {
                continue;
            };
            if call.deadline <= self.now {
                let outcome = call.outcome_at_deadline();
                self.complete(wake.call, outcome);
            } else if call.retry_at.take_if(|at| *at <= wake.at).is_some() {
                self.pending.push_back(wake.call);
            }
        }
    }

    /// Sends attempts of pending calls as long as a gateway can accept them.
    fn send_pending(&mut self) {
        while let Some(&id) = self.pending.front() {
            let Some(call) = self.calls.get(&id) else {
                self.pending.pop_front();
                continue;
            };
            let is_safe_to_send = call.is_safe_to_send_at(self.now);
            let is_in_time = call.deadline >= self.now + self.settings.min_time_left;
            if !is_safe_to_send || !is_in_time {
                // A call with too little time left is completed by its deadline.
                self.pending.pop_front();
                if call.attempts > 0 && !is_safe_to_send {
                    self.complete(id, Outcome::Failed);
                }
                continue;
            }
            let chosen = self
                .gateways
                .choose(self.now, &self.settings, &mut self.rng);
            let Some(gateway) = chosen else {
                return;
            };
            self.pending.pop_front();
            self.send_attempt(id, gateway);
        }
    }

    fn send_attempt(&mut self, id: CallId, gateway: GatewayId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let attempt = call.attempts;
        call.attempts += 1;
        call.in_flight_gateway = Some(gateway);
        call.sent_at = self.now;
        self.gateways.on_attempt_sent(gateway);
        self.actions.push(Action::SendAttempt {
            call: id,
            attempt,
            gateway,
            time_left: call.deadline - self.now,
        });
    }

    fn on_retry_ruled_out(&mut self, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.idempotency = Idempotency::NonIdempotent;
            call.mark_may_have_run();
        }
    }

    fn on_attempt_ended(&mut self, id: CallId, attempt: u32, outcome: AttemptOutcome) {
        let call = self.calls.get_mut(&id);
        let Some(call) = call.filter(|call| call.attempts == attempt + 1) else {
            return;
        };
        let Some(gateway) = call.in_flight_gateway.take() else {
            return;
        };
        // A response that arrives after the deadline is never reported as an answer.
        let is_late = self.now >= call.deadline;
        call.record(outcome);
        let last_outcome = call.last_outcome;
        let may_have_run = call.may_have_run_since.is_some();
        self.record_gateway_health(gateway, outcome);
        if is_late {
            let may_have_run = may_have_run || outcome == AttemptOutcome::Answered;
            return self.complete(id, Outcome::DeadlineExceeded { may_have_run });
        }
        if outcome == AttemptOutcome::Answered {
            self.retry_budget.earn();
            return self.complete(id, last_outcome);
        }
        self.retry_or_complete(id, outcome);
    }

    /// Records the outcome of an attempt for the outlier detection of its gateway.
    fn record_gateway_health(&mut self, gateway: GatewayId, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Answered | AttemptOutcome::Rejected { .. } => {
                self.gateways.on_attempt_succeeded(gateway);
            }
            AttemptOutcome::NotProcessed | AttemptOutcome::MayHaveRun => {
                self.gateways
                    .on_attempt_failed(gateway, self.now, &self.settings);
            }
        }
    }

    /// Schedules a retry, or completes the call at once if no retry is possible.
    fn retry_or_complete(&mut self, id: CallId, outcome: AttemptOutcome) {
        let backoff = self.next_backoff(id);
        let delay = match outcome {
            AttemptOutcome::Rejected {
                retry_after: Some(retry_after),
            } => self.with_jitter(retry_after),
            _ => backoff,
        };
        let retry_at = self.now + delay;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.backoff = backoff;
        let can_retry = call.attempts < self.settings.max_attempts
            && retry_at + self.settings.min_time_left < call.deadline
            && call.is_safe_to_send_at(retry_at)
            && self.retry_budget.try_spend();
        if !can_retry {
            let last_outcome = call.last_outcome;
            return self.complete(id, last_outcome);
        }
        call.retry_at = Some(retry_at);
        self.wakes.insert(Wake {
            at: retry_at,
            call: id,
        });
    }

    /// Decorrelated jitter: a random backoff between the initial one and a multiple of the previous one.
    fn next_backoff(&mut self, id: CallId) -> TimeDelta {
        let initial = self.settings.initial_backoff;
        let last = self.calls.get(&id).map_or(initial, |call| call.backoff);
        let longest = (last * BACKOFF_GROWTH_FACTOR).max(initial);
        let drawn = self.rng.u64(initial.as_micros()..=longest.as_micros());
        TimeDelta::from_micros(drawn).min(self.settings.max_backoff)
    }

    /// Extends a retry time at random, so that rejected calls do not return together.
    fn with_jitter(&mut self, retry_after: TimeDelta) -> TimeDelta {
        let micros = retry_after.as_micros() as f64;
        let jitter = micros * self.settings.retry_jitter * self.rng.f64();
        retry_after + TimeDelta::from_micros(jitter as u64)
    }

    fn complete(&mut self, id: CallId, outcome: Outcome) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.wakes.remove(&Wake {
            at: call.deadline,
            call: id,
        });
        if let Some(at) = call.retry_at {
            self.wakes.remove(&Wake { at, call: id });
        }
        if let Some(gateway) = call.in_flight_gateway {
            if outcome == Outcome::Cancelled {
                self.gateways.on_attempt_succeeded(gateway);
            } else {
                self.gateways
                    .on_attempt_failed(gateway, self.now, &self.settings);
            }
            let attempt = call.attempts - 1;
            self.actions
                .push(Action::CancelAttempt { call: id, attempt });
        }
        let outcome = call.reported_outcome(outcome);
        self.actions
            .push(Action::CompleteCall { call: id, outcome });
    }
}
