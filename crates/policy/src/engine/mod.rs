//! The decision engine: handles one event at a time and returns the resulting actions.
//!
//! The engine consists of components that each own the state of one concern. The modules below
//! implement the steps that need several of them.

mod arrival;
mod attempt_results;
mod completion;
mod concurrency_slots;
mod counter_calls;
mod counter_replies;
mod dispatch;
mod endpoint_updates;
mod local_quota;
mod pending;
mod quota;
mod retries;
mod selection;
mod shedding;
mod slow_start;
mod status;
mod stragglers;
mod subset;

use crate::api::{
    Action, Event, RequestId, Settings, SettingsError, TimeDelta, TimerId, Timestamp, ZoneShare,
};
use crate::counter::CounterState;
use crate::customer::CUSTOMER_EXPIRY;
use crate::customer_table::{CustomerTable, DEFAULT_MAX_CUSTOMERS};
use crate::endpoint::fleet::{FleetHealth, SendRate};
use crate::endpoint::table::EndpointTable;
use crate::pending_requests::PendingRequests;
use crate::request::OpenRequest;
use crate::retry_budget::RetryBudget;
use crate::shedding::overload::OverloadBudget;
use crate::shedding::LoadShedder;
use crate::timers::{TimerPurpose, Timers};
use rustc_hash::FxHashMap;

/// Makes the decisions of one gateway. Gateways share no state except the totals of the counter.
pub struct DecisionEngine {
    settings: Settings,
    rng: fastrand::Rng,
    /// Time of the current event.
    now: Timestamp,
    /// Actions of the current event that have not been returned yet.
    actions: Vec<Action>,
    timers: Timers,
    counter: CounterState,
    customers: CustomerTable,
    requests: FxHashMap<RequestId, OpenRequest>,
    pending: PendingRequests,
    retry_budget: RetryBudget,
    endpoints: EndpointTable,
    /// When the endpoint list was last known to be complete and current.
    list_confirmed_at: Option<Timestamp>,
    fleet: FleetHealth,
    send_rate: SendRate,
    shedder: LoadShedder,
    overload: OverloadBudget,
    /// Shares of the zones; empty if site failover is off.
    zone_shares: Vec<ZoneShare>,
}

impl DecisionEngine {
    /// Creates an engine in its initial state. All random numbers are derived from the seed.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are invalid.
    pub fn new(seed: u64, settings: Settings) -> Result<DecisionEngine, SettingsError> {
        settings.check()?;
        let mut engine = DecisionEngine {
            rng: fastrand::Rng::with_seed(seed),
            now: Timestamp::ZERO,
            actions: Vec::new(),
            timers: Timers::default(),
            counter: CounterState::new(settings.gateways),
            customers: CustomerTable::new(settings.max_customers.unwrap_or(DEFAULT_MAX_CUSTOMERS)),
            requests: FxHashMap::default(),
            pending: PendingRequests::default(),
            retry_budget: RetryBudget::new(),
            endpoints: EndpointTable::default(),
            list_confirmed_at: None,
            fleet: FleetHealth::default(),
            send_rate: SendRate::default(),
            shedder: LoadShedder::new(),
            overload: OverloadBudget::default(),
            zone_shares: Vec::new(),
            settings,
        };
        // These actions are returned with the first event.
        engine.set_timer(TimerPurpose::CustomerExpiry, CUSTOMER_EXPIRY);
        engine.subscribe();
        Ok(engine)
    }

    /// Handles one event and appends the resulting actions. Time never goes back: a `now` before
    /// that of an earlier event is treated as that one.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.advance_clock(now);
        match event {
            Event::EndpointsUpdated { scope, entries } => self.on_endpoints_updated(scope, entries),
            Event::EndpointsConfirmed(at) => {
                self.list_confirmed_at = self.list_confirmed_at.max(Some(at));
            }
            Event::ZoneSharesChanged { shares, threshold } => {
                self.zone_shares = shares;
                self.shedder.threshold = Some(threshold);
            }
            Event::RequestArrived(incoming) => self.on_request(incoming),
            Event::Timer(timer) => self.on_timer(timer),
            Event::ResponseStarted(id) => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.is_streaming = true;
                }
            }
            Event::ClientDisconnected(id) => self.finish(id, None),
            Event::UnitsSettled { request, units } => self.settle_units(request, units),
            Event::BodyDiscarded(id) => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.is_body_discarded = true;
                }
            }
            Event::ProbeCompleted { .. } => {}
            Event::CounterReplied {
                key,
                outcome,
                total,
            } => self.on_counter_reply(key, outcome, total),
            Event::AttemptEnded(result) => self.on_attempt_ended(&result),
        }
        actions.append(&mut self.actions);
    }

    /// Advances the time, and updates the overload budget, which depends on how long attempts were
    /// in flight.
    fn advance_clock(&mut self, now: Timestamp) {
        let elapsed = (now - self.now).as_secs_f64();
        self.now = self.now.max(now);
        let endpoints = self.endpoints.in_service_count().max(1) as f64;
        let in_flight = self.endpoints.in_flight;
        self.overload.accrue(elapsed, in_flight, endpoints);
        if !self.is_overloaded() {
            self.overload
                .observe_normal_load(elapsed, in_flight, endpoints);
        }
    }

    fn set_timer(&mut self, purpose: TimerPurpose, after: TimeDelta) -> TimerId {
        let timer = self.timers.register(purpose);
        self.actions.push(Action::SetTimer { timer, after });
        timer
    }

    /// Cancels a timer, unless it has fired: a timer that stays set takes memory until it fires.
    fn cancel_timer(&mut self, timer: TimerId) {
        if self.timers.take(timer).is_some() {
            self.actions.push(Action::CancelTimer(timer));
        }
    }

    fn on_timer(&mut self, timer: TimerId) {
        match self.timers.take(timer) {
            Some(TimerPurpose::RequestDeadline(id)) => self.on_request_deadline(id),
            Some(TimerPurpose::StragglerCheck { request, attempt }) => {
                self.cancel_if_straggler(request, attempt);
            }
            Some(TimerPurpose::PendingRequests) => {
                self.pending.is_timer_set = false;
                self.send_pending();
            }
            Some(TimerPurpose::Resubscribe) => self.subscribe(),
            Some(TimerPurpose::CustomerExpiry) => self.expire_customers(),
            None => {}
        }
    }

    fn subscribe(&mut self) {
        if self.settings.requires_subscription {
            self.actions.push(Action::Subscribe);
        }
    }

    fn expire_customers(&mut self) {
        self.customers.drop_expired(self.now, &self.settings.plans);
        self.set_timer(TimerPurpose::CustomerExpiry, CUSTOMER_EXPIRY);
    }
}
