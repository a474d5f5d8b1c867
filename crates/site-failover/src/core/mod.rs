//! The failover core: handles events, updates the states of sites, and distributes the load.

mod endpoints;
mod planning;
mod transitions;

use crate::admission::AdmissionLevel;
use crate::capacity::{congestion, DecayingRate};
use crate::ramp::{RampStart, RecoveryRamp};
use crate::shedding::OfferedLoadHistogram;
use crate::site::Site;
use crate::{
    AttemptEvidence, CompletedRequest, Concurrency, EndedAttempt, EndpointConcurrency, EndpointId,
    Event, FailoverSettings, SiteId, SiteOverride, SiteState,
};
use chalkdeck_time::Timestamp;
use std::collections::{BTreeMap, HashMap};

/// A site's capacity is learned only from a throughput of at least this fraction of its proportional load: below it, congestion is
/// due to the load of other gateways.
const MIN_LEARNING_FRACTION: f64 = 0.5;
/// Minimum offered load that is assumed.
const MIN_LOAD_UNITS_PER_SECOND: f64 = 1.0;
/// Replaces a total weight of zero as a divisor.
const MIN_TOTAL_WEIGHT: f64 = 1e-9;

/// When a call to the shared counter last succeeded and last failed.
#[derive(Debug, Default)]
struct CounterHealth {
    last_reply: Option<Timestamp>,
    last_failure: Option<Timestamp>,
}

/// The failover core of one gateway.
#[derive(Debug)]
pub struct FailoverCore {
    settings: FailoverSettings,
    sites: BTreeMap<SiteId, Site>,
    site_by_endpoint: HashMap<EndpointId, SiteId>,
    offered_load: DecayingRate,
    offered_by_weight: OfferedLoadHistogram,
    admission_level: AdmissionLevel,
    /// The weight of the responsive endpoints of all sites that get load, at the last update of the states.
    responsive_weight: f64,
    counter: CounterHealth,
}

impl FailoverCore {
    /// Creates a core that knows no site yet.
    pub fn new(settings: FailoverSettings) -> FailoverCore {
        FailoverCore {
            settings,
            sites: BTreeMap::new(),
            site_by_endpoint: HashMap::new(),
            offered_load: DecayingRate::default(),
            offered_by_weight: OfferedLoadHistogram::default(),
            admission_level: AdmissionLevel::default(),
            responsive_weight: 0.0,
            counter: CounterHealth::default(),
        }
    }

    /// Handles an event that happened at `now`, which never decreases. Events of endpoints and sites that are not known from the
    /// list are ignored.
    pub fn handle(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::EndpointListUpdated(entries) => self.on_endpoint_list(now, entries),
            Event::RequestOffered {
                weight_per_unit,
                units,
            } => {
                self.offered_load.add(now, units);
                self.offered_by_weight.record(weight_per_unit, units);
            }
            Event::AttemptSent(endpoint) => {
                if let Some(site) = self.site_of_endpoint(endpoint) {
                    site.record_attempt_sent(now, endpoint);
                }
            }
            Event::AttemptEnded(attempt) => self.on_attempt_ended(now, &attempt),
            Event::ConcurrencyReported(endpoints) => self.on_concurrency_report(endpoints),
            Event::RequestCompleted(request) => self.on_request_completed(now, request),
            Event::CounterReplied => self.counter.last_reply = Some(now),
            Event::CounterFailed => self.counter.last_failure = Some(now),
            Event::OverrideSet {
                site,
                site_override,
            } => self.on_override(now, site, site_override),
        }
    }

    fn site_of_endpoint(&mut self, endpoint: EndpointId) -> Option<&mut Site> {
        let site = self.site_by_endpoint.get(&endpoint)?;
        self.sites.get_mut(site)
    }

    fn on_attempt_ended(&mut self, now: Timestamp, attempt: &EndedAttempt) {
        let load = self.offered_load.per_second(now);
        let total_weight = self.responsive_weight.max(MIN_TOTAL_WEIGHT);
        let Some(site) = self.site_of_endpoint(attempt.endpoint) else {
            return;
        };
        site.record_attempt_end(now, attempt);
        let congestion = match attempt.evidence {
            AttemptEvidence::Answered => congestion(attempt.latency, attempt.objective),
            AttemptEvidence::Rejected
            | AttemptEvidence::TimedOut
            | AttemptEvidence::Unreachable => 1.0,
            AttemptEvidence::Cancelled => return,
        };
        let answered_units = match attempt.evidence {
            AttemptEvidence::Answered => Some(attempt.units),
            AttemptEvidence::Rejected => Some(0.0),
            // The site's state accounts for endpoints that do not answer; their silence says nothing about its capacity.
            _ => None,
        };
        if let Some(units) = answered_units {
            let proportional_load = load * site.responsive_weight / total_weight;
            site.capacity.record_answer(
                now,
                units,
                congestion,
                proportional_load * MIN_LEARNING_FRACTION,
            );
        }
        if let Some(ramp) = &mut site.ramp {
            ramp.record_attempt(now, congestion);
        }
    }

    fn on_concurrency_report(&mut self, endpoints: &[EndpointConcurrency]) {
        for site in self.sites.values_mut() {
            site.concurrency = Concurrency::default();
        }
        for reported in endpoints {
            if let Some(site) = self.site_of_endpoint(reported.endpoint) {
                site.concurrency.in_flight += reported.in_flight;
                site.concurrency.limit += reported.limit;
            }
        }
    }

    fn on_request_completed(&mut self, now: Timestamp, request: CompletedRequest) {
        let throughput: f64 = self
            .sites
            .values()
            .map(|site| site.capacity.throughput(now))
            .sum();
        let throughput_ratio = throughput
            / self
                .offered_load
                .per_second(now)
                .max(MIN_LOAD_UNITS_PER_SECOND);
        self.admission_level
            .record_completion(request, throughput_ratio);
    }

    fn on_override(&mut self, now: Timestamp, id: SiteId, site_override: SiteOverride) {
        let seed = self.ramp_seed(id);
        let Some(site) = self.sites.get_mut(&id) else {
            return;
        };
        match site_override {
            SiteOverride::Drain | SiteOverride::HoldOut => {
                site.enter_state(now, SiteState::HeldOut)
            }
            SiteOverride::Restore if site.state == SiteState::HeldOut => {
                site.enter_state(now, SiteState::Returning);
                site.ramp = Some(RecoveryRamp::new(now, seed, RampStart::Warm));
            }
            SiteOverride::Restore => site.backoff.end(now),
        }
    }

    /// A seed that differs between gateways and between sites.
    fn ramp_seed(&self, site: SiteId) -> u64 {
        u64::from(self.settings.gateway_index) << 32 | u64::from(site.0)
    }
}
