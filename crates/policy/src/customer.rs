//! What a gateway knows of one customer.

use crate::api::{ClassId, IncomingRequest, Plan, PlanId, TimeDelta, Timestamp};
use crate::counter::calls::CounterPurpose;
use crate::counter::circuit_breaker::CircuitBreaker;
use crate::token_bucket::TokenBucket;
use crate::window::WindowCounter;

/// How long a customer without requests or attempts is kept.
pub(crate) const CUSTOMER_EXPIRY: TimeDelta = TimeDelta::from_secs(120);
/// How long a customer that was over its quota by the last total counts as such for requests that
/// are not sampled.
const OVER_QUOTA_EXPIRY: TimeDelta = TimeDelta::from_secs(15);
/// How long after a rejection a request like it counts as its retry.
const RETRY_DETECTION_SPAN: TimeDelta = TimeDelta::from_secs(1);
/// Weight of the newest window in the history of usage.
const NEWEST_WINDOW_WEIGHT: f64 = 0.3;

/// What was rejected last, by which a retry is known.
#[derive(Debug)]
pub(crate) struct Rejection {
    pub(crate) class: ClassId,
    pub(crate) units: f64,
    pub(crate) at: Timestamp,
}

/// Sums over past windows, with exponential decay.
#[derive(Debug, Default)]
struct UsageHistory {
    /// Units that this gateway posted.
    posted: f64,
    /// Totals over all gateways.
    total: f64,
}

/// State of one customer.
#[derive(Debug, Default)]
pub(crate) struct Customer {
    pub(crate) last_rejection: Option<Rejection>,
    /// When the last total arrived, if it was over the quota.
    pub(crate) over_quota_at: Option<Timestamp>,
    pub(crate) plan: PlanId,
    /// Number of gateways that its requests come through.
    pub(crate) gateways: f64,
    /// Its quota's count.
    pub(crate) window: WindowCounter,
    /// Its count of attempts in flight.
    pub(crate) epoch: WindowCounter,
    usage: UsageHistory,
    /// This gateway's share of the quota, while the counter is unavailable.
    pub(crate) local_bucket: Option<TokenBucket>,
    /// Starts of attempts while the counter of concurrency is unavailable and the share is below
    /// one slot.
    pub(crate) slot_bucket: Option<TokenBucket>,
    /// This gateway's share of what a hard ceiling allows above the quota.
    pub(crate) ceiling_bucket: TokenBucket,
    /// Opens when this customer's own calls fail.
    pub(crate) breaker: CircuitBreaker,
    /// Own attempts in flight, of a plan that limits them.
    pub(crate) in_flight: f64,
    /// When its last request arrived.
    pub(crate) last_request_at: Timestamp,
}

impl Customer {
    /// Takes note of a request that arrived.
    pub(crate) fn observe_request(&mut self, now: Timestamp, request: &IncomingRequest) {
        if self.last_request_at == Timestamp::ZERO {
            // Starts empty: an earlier life of this gateway may have used it.
            self.ceiling_bucket.refilled_at = now;
        }
        self.plan = request.plan;
        self.gateways = f64::from(request.customer_gateways.max(1));
        self.last_request_at = now;
    }

    /// Whether a request is like the one that was rejected here a moment ago, where clients don't
    /// mark retries.
    pub(crate) fn repeats_rejection(&self, now: Timestamp, request: &IncomingRequest) -> bool {
        let Some(rejection) = &self.last_rejection else {
            return false;
        };
        rejection.class == request.class
            && rejection.units == request.units
            && now < rejection.at + RETRY_DETECTION_SPAN
    }

    /// Whether it was over its quota by the last total, and that is recent.
    pub(crate) fn was_over_quota(&self, now: Timestamp) -> bool {
        self.over_quota_at
            .is_some_and(|at| now < at + OVER_QUOTA_EXPIRY)
    }

    /// Whether it may be forgotten.
    pub(crate) fn is_expired(&self, now: Timestamp) -> bool {
        self.last_request_at + CUSTOMER_EXPIRY < now && self.in_flight <= 0.0
    }

    /// The present count for a purpose.
    pub(crate) fn counter_mut(&mut self, purpose: CounterPurpose) -> &mut WindowCounter {
        match purpose {
            CounterPurpose::Quota => &mut self.window,
            CounterPurpose::Concurrency => &mut self.epoch,
        }
    }

    /// Brings the quota's count to a window.
    pub(crate) fn roll_window(&mut self, now: Timestamp, index: u64, plan: &Plan) {
        if self.window.index == index {
            return;
        }
        let decay = 1.0 - NEWEST_WINDOW_WEIGHT;
        self.usage.posted = self.usage.posted * decay + self.window.posted;
        self.usage.total = self.usage.total * decay + self.window.last_total;
        // The bucket as followed from the last window; after a gap the window's plain allowance
        // decides.
        let follows_last = self.window.index + 1 == index;
        let bucket_level = if follows_last {
            let known_total = self.window.known_total();
            self.window.available(now, known_total, plan)
        } else {
            plan.burst
        };
        self.window = WindowCounter {
            index,
            bucket_level,
            bucket_refilled_at: now,
            ..WindowCounter::default()
        };
    }

    /// Brings the count of attempts in flight to an epoch.
    pub(crate) fn roll_epoch(&mut self, index: u64) {
        if self.epoch.index == index {
            return;
        }
        self.epoch = WindowCounter {
            index,
            unposted: self.in_flight,
            ..WindowCounter::default()
        };
    }

    /// This gateway's share of the customer's rate: half by the gateways that it can come through,
    /// half by what this one was seen to carry. Over all gateways it sums to one.
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
