//! State of one customer at this gateway.

use crate::api::{ClassId, IncomingRequest, Plan, PlanId, TimeDelta, Timestamp};
use crate::counter::calls::CounterPurpose;
use crate::counter::circuit_breaker::CircuitBreaker;
use crate::customer_table::time_to_refill;
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
    /// Number of its requests that the engine holds.
    pub(crate) open_requests: usize,
    /// When its last request arrived.
    pub(crate) last_request_at: Timestamp,
    /// Whether it had another request since it was last examined to make room for new customers.
    pub(crate) is_recently_active: bool,
    /// When the quota that it had used before its state was dropped is full again.
    quota_full_at: Timestamp,
    /// What is left of that quota; `None` if it is full.
    carried_quota: Option<TokenBucket>,
}

impl Customer {
    /// The state of a customer that is new, or whose state was dropped before its quota was full
    /// again at `quota_full_at`.
    pub(crate) fn returning(now: Timestamp, quota_full_at: Timestamp) -> Customer {
        Customer {
            quota_full_at: if quota_full_at > now {
                quota_full_at
            } else {
                Timestamp::ZERO
            },
            ..Customer::default()
        }
    }

    /// Records a request that arrives.
    pub(crate) fn observe_request(&mut self, now: Timestamp, request: &IncomingRequest) {
        if self.last_request_at != Timestamp::ZERO {
            self.is_recently_active = true;
        } else {
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

    /// Whether its state may be dropped to make room: no request depends on it.
    pub(crate) fn can_be_dropped(&self) -> bool {
        self.held_slots <= 0.0 && self.open_requests == 0
    }

    /// Whether its state is dropped, as it has rested for long.
    pub(crate) fn is_expired(&self, now: Timestamp) -> bool {
        self.last_request_at + CUSTOMER_EXPIRY < now && self.can_be_dropped()
    }

    /// When its quota is full again, by the shared count, by the local share of it and by what it
    /// carries from before.
    pub(crate) fn quota_full_at(&self, now: Timestamp, plan: &Plan) -> Timestamp {
        if plan.rate <= 0.0 {
            return Timestamp::ZERO;
        }
        let counter = &self.quota_counter;
        let missing = plan.burst - counter.available(now, counter.known_total(), plan);
        let shared = time_to_refill(missing, plan.rate);
        let local = bucket_time_to_refill(now, self.local_bucket.as_ref());
        let carried = bucket_time_to_refill(now, self.carried_quota.as_ref());
        now + shared.max(local).max(carried)
    }

    /// What is left of the quota that was used before the state was dropped; `None` if that quota
    /// is full again.
    pub(crate) fn carried_quota(
        &mut self,
        now: Timestamp,
        plan: &Plan,
    ) -> Option<&mut TokenBucket> {
        if self.quota_full_at != Timestamp::ZERO {
            let missing = plan.rate * (self.quota_full_at - now).as_secs_f64();
            self.carried_quota = Some(TokenBucket {
                level: plan.burst - missing,
                capacity: plan.burst,
                rate: plan.rate,
                refilled_at: now,
            });
            self.quota_full_at = Timestamp::ZERO;
        }
        let bucket = self.carried_quota.as_mut()?;
        bucket.refill(now);
        if bucket.level >= bucket.capacity {
            self.carried_quota = None;
        }
        self.carried_quota.as_mut()
    }

    /// Takes units from what is left of the quota that was used before the state was dropped.
    /// Returns true if that quota is full again.
    pub(crate) fn try_take_carried(&mut self, now: Timestamp, units: f64, plan: &Plan) -> bool {
        self.carried_quota(now, plan)
            .is_none_or(|bucket| bucket.try_take(now, units))
    }

    /// What this gateway's share of the quota lacks of its capacity because of requests before the
    /// state was dropped.
    pub(crate) fn carried_local_debt(&mut self, now: Timestamp, plan: &Plan) -> f64 {
        let share = self.quota_share();
        self.carried_quota(now, plan)
            .map_or(0.0, |bucket| (bucket.capacity - bucket.level) * share)
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

/// The time until a bucket is full again; zero if there is none.
fn bucket_time_to_refill(now: Timestamp, bucket: Option<&TokenBucket>) -> TimeDelta {
    let Some(bucket) = bucket else {
        return TimeDelta::ZERO;
    };
    let mut bucket = bucket.clone();
    bucket.refill(now);
    time_to_refill(bucket.capacity - bucket.level, bucket.rate)
}
