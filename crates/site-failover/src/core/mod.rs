//! The core: takes events, updates the states of sites, and distributes the load.

mod endpoints;
mod planning;
mod transitions;

use crate::admission::AdmissionLevel;
use crate::capacity::{strain, DecayingRate};
use crate::ramp::{RampStart, RecoveryRamp};
use crate::shedding::OfferHistogram;
use crate::site::Site;
use crate::{
    AttemptEvidence, CompletedRequest, Concurrency, EndedAttempt, EndpointConcurrency, EndpointId,
    Event, FailoverSettings, SiteId, SiteOverride, SiteState,
};
use chalkdeck_time::Timestamp;
use std::collections::{BTreeMap, HashMap};

/// Capacity is learnt only from throughputs of at least this part of an even share: below it, strain comes from other gateways' load.
const LEARNING_PART: f64 = 0.5;
/// Nobody is assumed to offer less than this, in units a second.
const MIN_LOAD: f64 = 1.0;
/// Stands for a total weight of zero where it divides.
const MIN_TOTAL_WEIGHT: f64 = 1e-9;

/// When the shared counter last answered and last failed to.
#[derive(Debug, Default)]
struct CounterContact {
    answered: Option<Timestamp>,
    failed: Option<Timestamp>,
}

/// The core of one gateway.
#[derive(Debug)]
pub struct FailoverCore {
    settings: FailoverSettings,
    sites: BTreeMap<SiteId, Site>,
    site_of: HashMap<EndpointId, SiteId>,
    offered: DecayingRate,
    offers_by_value: OfferHistogram,
    admission: AdmissionLevel,
    /// The weight of all responsive endpoints of sites that take load, when states were last updated.
    responsive_weight: f64,
    counter: CounterContact,
}

impl FailoverCore {
    /// A core that knows no site yet.
    pub fn new(settings: FailoverSettings) -> FailoverCore {
        FailoverCore {
            settings,
            sites: BTreeMap::new(),
            site_of: HashMap::new(),
            offered: DecayingRate::default(),
            offers_by_value: OfferHistogram::default(),
            admission: AdmissionLevel::default(),
            responsive_weight: 0.0,
            counter: CounterContact::default(),
        }
    }

    /// Takes an event that happened at `now`, which never steps back. Events of endpoints and sites that the list never named are
    /// ignored.
    pub fn on(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::EndpointsListed(entries) => self.on_endpoints(now, entries),
            Event::RequestOffered {
                value_per_unit,
                units,
            } => {
                self.offered.add(now, units);
                self.offers_by_value.record(value_per_unit, units);
            }
            Event::AttemptSent(endpoint) => {
                if let Some(site) = self.site_of(endpoint) {
                    site.record_sent(now, endpoint);
                }
            }
            Event::AttemptEnded(attempt) => self.on_attempt_ended(now, &attempt),
            Event::ConcurrencyReported(endpoints) => self.on_concurrency(endpoints),
            Event::RequestCompleted(request) => self.on_request_completed(now, request),
            Event::CounterAnswered => self.counter.answered = Some(now),
            Event::CounterFailed => self.counter.failed = Some(now),
            Event::OverrideSet {
                site,
                site_override,
            } => self.on_override(now, site, site_override),
        }
    }

    fn site_of(&mut self, endpoint: EndpointId) -> Option<&mut Site> {
        let site = self.site_of.get(&endpoint)?;
        self.sites.get_mut(site)
    }

    fn on_attempt_ended(&mut self, now: Timestamp, attempt: &EndedAttempt) {
        let load = self.offered.per_second(now);
        let total_weight = self.responsive_weight.max(MIN_TOTAL_WEIGHT);
        let Some(site) = self.site_of(attempt.endpoint) else {
            return;
        };
        site.record_end(now, attempt);
        let strain = match attempt.evidence {
            AttemptEvidence::Answered => strain(attempt.latency, attempt.objective),
            AttemptEvidence::Rejected
            | AttemptEvidence::TimedOut
            | AttemptEvidence::Unreachable => 1.0,
            AttemptEvidence::Cancelled => return,
        };
        let answered_units = match attempt.evidence {
            AttemptEvidence::Answered => Some(attempt.units),
            AttemptEvidence::Rejected => Some(0.0),
            // The states account for endpoints that do not answer; their silence is no evidence of capacity.
            _ => None,
        };
        if let Some(units) = answered_units {
            let even_load = load * site.responsive_weight / total_weight;
            site.capacity
                .record_answer(now, units, strain, even_load * LEARNING_PART);
        }
        if let Some(ramp) = &mut site.ramp {
            ramp.record_answer(now, strain);
        }
    }

    fn on_concurrency(&mut self, endpoints: &[EndpointConcurrency]) {
        for site in self.sites.values_mut() {
            site.concurrency = Concurrency::default();
        }
        for reported in endpoints {
            if let Some(site) = self.site_of(reported.endpoint) {
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
        let borne = throughput / self.offered.per_second(now).max(MIN_LOAD);
        self.admission.record_completion(request, borne);
    }

    fn on_override(&mut self, now: Timestamp, id: SiteId, site_override: SiteOverride) {
        let seed = self.ramp_seed(id);
        let Some(site) = self.sites.get_mut(&id) else {
            return;
        };
        match site_override {
            SiteOverride::Drain | SiteOverride::HoldOut => site.enter(now, SiteState::HeldOut),
            SiteOverride::Restore if site.state == SiteState::HeldOut => {
                site.enter(now, SiteState::Returning);
                site.ramp = Some(RecoveryRamp::new(now, seed, RampStart::Warm));
            }
            SiteOverride::Restore => site.hold_out.end(now),
        }
    }

    /// Differs between gateways and between sites.
    fn ramp_seed(&self, site: SiteId) -> u64 {
        u64::from(self.settings.gateway_index) << 32 | u64::from(site.0)
    }
}
