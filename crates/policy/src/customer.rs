//! State of one customer at this gateway.

use crate::api::{ClassId, IncomingRequest, Plan, PlanId, TimeDelta, Timestamp};
use crate::counter::calls::CounterPurpose;
use crate::counter::circuit_breaker::CircuitBreaker;
use crate::token_bucket::TokenBucket;
use crate::window::{PreviousWindow, WindowCounter};

/// Time without requests or attempts after which a customer's state is dropped.
pub(crate) const CUSTOMER_EXPIRY: TimeDelta = TimeDelta::from_secs(120);
/// How long a total over the quota makes requests that are not sampled count as over the quota.
const OVER_QUOTA_EXPIRY: TimeDelta = TimeDelta::from_secs(15);
/// Time after a rejection within which a similar request counts as its retry.
const RETRY_DETECTION_SPAN: TimeDelta = TimeDelta::from_secs(1);
/// Weight of the newest window in the usage history.
const NEWEST_WINDOW_WEIGHT: f64 = 0.3;

/// The last rejection, by which retries are recognized.
#[derive(Debug)]
pub(crate) struct Rejection {
    pub(crate) class: ClassId,
    pub(crate) units: f64,
    pub(crate) at: Timestamp,
}

/// Sums over past windows, with exponential decay.
#[derive(Debug, Default)]
struct UsageHistory {
    /// Units that this gateway posted to the counter.
    posted: f64,
    /// Totals over all gateways.
    total: f64,
}

/// State of one customer.
#[derive(Debug, Default)]
pub(crate) struct Customer {
    pub(crate) last_rejection: Option<Rejection>,
    /// When the last total arrived, if it was over the quota; `None` if it was not.
    pub(crate) over_quota_at: Option<Timestamp>,
    pub(crate) plan: PlanId,
    /// Number of gateways that receive its requests.
    pub(crate) gateways: f64,
    /// Units used in the current window of its quota.
    pub(crate) quota_counter: WindowCounter,
    /// Concurrency slots in use in the current epoch.
    pub(crate) concurrency_counter: WindowCounter,
    usage: UsageHistory,
    /// This gateway's share of the quota, used while the counter is unavailable.
    pub(crate) local_bucket: Option<TokenBucket>,
    /// Limits the start rate of requests while the concurrency counter is unavailable and this
    /// gateway's share is below one slot.
    pub(crate) slot_bucket: Option<TokenBucket>,
    /// This gateway's share of the units that a hard ceiling allows above the quota.
    pub(crate) ceiling_bucket: TokenBucket,
    /// Opens when counter calls for this customer fail.
    pub(crate) breaker: CircuitBreaker,
    /// Concurrency slots that requests at this gateway hold.
    pub(crate) held_slots: f64,
    /// When its last request arrived.
    pub(crate) last_request_at: Timestamp,
}

impl Customer {
    /// Records a request that arrives.
    pub(crate) fn observe_request(&mut self, now: Timestamp, request: &IncomingRequest) {
        if self.last_request_at == Timestamp::ZERO {
            // The bucket starts empty, as this gateway may have used it before a restart.
            self.ceiling_bucket.refilled_at = now;
        }
        self.plan = request.plan;
        self.gateways = f64::from(request.customer_gateways.max(1));
        self.last_request_at = now;
    }

    /// Whether a request resembles one that this gateway has just rejected. Detects retries of
    /// clients that don't mark them.
    pub(crate) fn repeats_rejection(&self, now: Timestamp, request: &IncomingRequest) -> bool {
        let Some(rejection) = &self.last_rejection else {
            return false;
        };
        rejection.class == request.class
            && rejection.units == request.units
            && now < rejection.at + RETRY_DETECTION_SPAN
    }

    /// Whether the last total was over the quota and is recent.
    pub(crate) fn was_over_quota(&self, now: Timestamp) -> bool {
        self.over_quota_at
            .is_some_and(|at| now < at + OVER_QUOTA_EXPIRY)
    }

    /// Whether its state may be dropped.
    pub(crate) fn is_expired(&self, now: Timestamp) -> bool {
        self.last_request_at + CUSTOMER_EXPIRY < now && self.held_slots <= 0.0
    }

    /// The current count for a purpose.
    pub(crate) fn counter_mut(&mut self, purpose: CounterPurpose) -> &mut WindowCounter {
        match purpose {
            CounterPurpose::Quota => &mut self.quota_counter,
            CounterPurpose::Concurrency => &mut self.concurrency_counter,
        }
    }

    /// Starts the quota's count of a window, unless it is already the current one.
    pub(crate) fn roll_quota_window(&mut self, now: Timestamp, index: u64, plan: &Plan) {
        if self.quota_counter.index == index {
            return;
        }
        let decay = 1.0 - NEWEST_WINDOW_WEIGHT;
        self.usage.posted = self.usage.posted * decay + self.quota_counter.posted;
        self.usage.total = self.usage.total * decay + self.quota_counter.last_total;
        // Carries the bucket level over from the previous window. After a gap the bucket is full,
        // so that the window's allowance alone decides.
        let follows_last = self.quota_counter.index + 1 == index;
        let previous = follows_last.then(|| PreviousWindow {
            index: self.quota_counter.index,
            charged_total: self.quota_counter.known_total(),
        });
        let bucket_level = previous.map_or(plan.burst, |previous| {
            let total = previous.charged_total;
            self.quota_counter.available(now, total, plan)
        });
        self.quota_counter = WindowCounter {
            index,
            bucket_level,
            bucket_refilled_at: now,
            previous,
            ..WindowCounter::default()
        };
    }

    /// Starts the count of concurrency slots of an epoch, unless it is already the current one.
    pub(crate) fn roll_concurrency_epoch(&mut self, index: u64) {
        if self.concurrency_counter.index == index {
            return;
        }
        self.concurrency_counter = WindowCounter {
            index,
            unposted: self.held_slots,
            ..WindowCounter::default()
        };
    }

    /// This gateway's share of the customer's rate: the mean of an even share over the customer's
    /// gateways and of the share of the usage that this gateway has carried. The shares of all
    /// gateways sum to one.
    pub(crate) fn quota_share(&self) -> f64 {
        let even_share = 1.0 / self.gateways;
        let carried_share = if self.usage.total > 0.0 {
            (self.usage.posted / self.usage.total).clamp(0.0, 1.0)
        } else {
            even_share
        };
        (carried_share + even_share) / 2.0
    }
}
