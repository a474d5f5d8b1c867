//! Between the sockets and the site core: tells it what happens, brings its plan to the decisions, and shows it.

use crate::base::failed::{SiteOverridesError, SiteRequestError};
use crate::base::server::{zone_of, Server};
use crate::base::settings::Settings;
use crate::counter::Told;
use crate::gateway_server::{GatewayServer, TimerPurpose};
use crate::metrics::End;
use crate::site_overrides::SiteOverrides;
use chalkdeck::api::{
    self, EndpointId, EndpointState, IncomingRequest, Outcome, ZoneId, ZoneShare,
};
use chalkdeck_site_failover::{
    self as failover, AttemptEvidence, CompletedRequest, EndedAttempt, EndpointConcurrency, Event,
    FailoverCore, FailoverPlan, FailoverSettings, FinalAnswer, SheddingThreshold, SiteId,
    SiteOverride, SiteState,
};
use chalkdeck_time::{TimeDelta, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How often the plan is looked at, in microseconds.
const LOOK: u64 = 25_000;
/// Figures that moved by less are not told again.
const MOVED: f64 = 0.005;

/// The site core with the names of its sites.
pub(crate) struct Sites {
    core: FailoverCore,
    names: BTreeMap<SiteId, String>,
    told: Option<FailoverPlan>,
    words: SiteOverrides,
}

/// One site as the admin port shows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SiteStatus {
    /// The zone's name.
    pub site: String,
    /// Its state, and for how many seconds.
    pub state: String,
    /// See `state`.
    pub for_s: f64,
    /// What that rests on.
    pub evidence: String,
    /// Part of the load that it should bear.
    pub share: f64,
    /// Units a second that this gateway may send there as learnt; none: no bound was met.
    pub room: Option<f64>,
    /// Part of its room that it is given while it comes back.
    pub pace: f64,
    /// Attempts out there, and the most there may be.
    pub out: f64,
    /// See `out`.
    pub places: f64,
}

/// What the admin port shows under `/sites`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SitesStatus {
    /// The gateway's own zone.
    pub own: String,
    /// Part of the work offered that the sites can bear.
    pub level: f64,
    /// Let in where the worth of a unit is this much.
    pub floor: f64,
    /// All sites.
    pub sites: Vec<SiteStatus>,
}

impl Sites {
    /// Errors: the file of an operator's words is not sound.
    pub(crate) fn new(set: &Settings) -> Result<Sites, SiteOverridesError> {
        let own = site_of(set.policy.zone);
        let core = FailoverCore::new(FailoverSettings {
            own_site: own,
            gateway_index: set.policy.gateway_index,
            gateways: set.policy.gateways,
            cold_capacity: set.policy.slow_start_min_capacity,
            warm_up: set.policy.slow_start_duration,
            overload_factor: set.policy.overload_multiple,
        });
        let words = SiteOverrides::read(set.site_words.as_deref())?;
        Ok(Sites {
            core,
            names: BTreeMap::from([(own, set.zone_name.clone())]),
            told: None,
            words,
        })
    }

    fn list(&mut self, now: u64, servers: &[Server]) {
        self.names.extend(
            servers
                .iter()
                .map(|s| (site_of(s.entry.zone), s.zone_name.clone())),
        );
        let line = |s: &Server| failover::EndpointEntry {
            endpoint: failover::EndpointId(s.entry.endpoint.0),
            site: site_of(s.entry.zone),
            in_service: s.entry.state == EndpointState::InService,
            weight: s.entry.weight,
            started: s.entry.started_at,
        };
        let lines: Vec<_> = servers.iter().map(line).collect();
        self.on(now, Event::EndpointsListed(&lines));
        // SiteOverrides of an earlier life count from the first list that names their site on.
        for held in self.words.held() {
            let event = Event::OverrideSet {
                site: site_of(zone_of(held)),
                site_override: SiteOverride::HoldOut,
            };
            self.core.on(Timestamp::from_micros(now), event);
        }
    }

    fn on(&mut self, now: u64, event: Event) {
        self.core.on(Timestamp::from_micros(now), event);
    }

    fn plan(&mut self, now: u64) -> FailoverPlan {
        self.core.plan(Timestamp::from_micros(now))
    }

    fn name(&self, site: SiteId) -> &str {
        self.names.get(&site).map_or("", |n| n)
    }

    fn status(&mut self, now: u64, set: &Settings) -> SitesStatus {
        let plan = self.plan(now);
        let one = |v: &failover::SitePlan| SiteStatus {
            site: self.name(v.site).to_string(),
            state: v.state.name().to_string(),
            for_s: (Timestamp::from_micros(now) - v.since).as_secs_f64(),
            evidence: v.evidence.to_string(),
            share: v.share,
            room: v.capacity,
            pace: v.ramp,
            out: v.concurrency.in_flight,
            places: v.concurrency.limit,
        };
        SitesStatus {
            own: set.zone_name.clone(),
            level: plan.admission,
            floor: plan.threshold.reject_below,
            sites: plan.sites.iter().map(one).collect(),
        }
    }
}

fn site_of(zone: ZoneId) -> SiteId {
    SiteId(zone.0)
}

fn evidence_of(outcome: Outcome) -> AttemptEvidence {
    match outcome {
        Outcome::Ok | Outcome::Error => AttemptEvidence::Answered,
        Outcome::Rejected => AttemptEvidence::Rejected,
        Outcome::Timeout => AttemptEvidence::TimedOut,
        Outcome::ConnectFailed | Outcome::Reset => AttemptEvidence::Unreachable,
        Outcome::Cancelled | Outcome::NeverSent => AttemptEvidence::Cancelled,
    }
}

/// Whether the decisions need not hear of the new plan.
fn same(a: &FailoverPlan, b: &FailoverPlan) -> bool {
    let near = |a: f64, b: f64| (a - b).abs() <= MOVED * a.abs().max(b.abs()).max(0.05);
    a.sites.len() == b.sites.len()
        && a.sites
            .iter()
            .zip(&b.sites)
            .all(|(a, b)| a.site == b.site && a.state == b.state && near(a.share, b.share))
        && a.threshold.admit_above == b.threshold.admit_above
        && a.threshold.reject_below == b.threshold.reject_below
        && near(a.threshold.admit_fraction, b.threshold.admit_fraction)
}

impl GatewayServer {
    pub(crate) fn report_endpoint_list(&mut self, servers: &[Server]) {
        let now = self.engine.now();
        self.sites.iter_mut().for_each(|s| s.list(now, servers));
        self.apply_site_plan();
    }

    /// Requests whose callers do the work themselves take no room here.
    pub(crate) fn report_request_offered(&mut self, arrival: &IncomingRequest) {
        let GatewayServer {
            sites: Some(sites),
            set,
            ..
        } = self
        else {
            return;
        };
        let class = &set.policy.classes[arrival.class.0];
        if class.admission_only {
            return;
        }
        let worth = class.priority_weight * set.policy.plans[arrival.plan.0].priority_multiplier
            / arrival.units;
        let offered = Event::RequestOffered {
            value_per_unit: worth,
            units: arrival.units,
        };
        sites.on(self.engine.now(), offered);
    }

    pub(crate) fn report_attempt_sent(&mut self, server: EndpointId) {
        let now = self.engine.now();
        if let Some(sites) = &mut self.sites {
            sites.on(now, Event::AttemptSent(failover::EndpointId(server.0)));
        }
    }

    pub(crate) fn report_attempt_ended(
        &mut self,
        server: EndpointId,
        outcome: Outcome,
        took: u64,
        class: usize,
        units: f64,
    ) {
        let GatewayServer {
            sites: Some(sites),
            set,
            ..
        } = self
        else {
            return;
        };
        let objective = set.policy.classes[class].latency_objective;
        let ended = EndedAttempt {
            endpoint: failover::EndpointId(server.0),
            evidence: evidence_of(outcome),
            latency: TimeDelta::from_micros(took),
            objective,
            units,
        };
        sites.on(self.engine.now(), Event::AttemptEnded(ended));
    }

    /// A call of that class had its final answer after so long.
    pub(crate) fn report_request_completed(&mut self, class: usize, end: End, waited: u64) {
        let GatewayServer {
            sites: Some(sites),
            set,
            ..
        } = self
        else {
            return;
        };
        let objective = set.policy.classes[class].latency_objective;
        let answer = match end {
            End::Gone => return,
            End::Served => FinalAnswer::Served,
            End::Refused | End::Failed => FinalAnswer::Rejected,
        };
        let completed = CompletedRequest {
            answer,
            latency: TimeDelta::from_micros(waited),
            objective,
        };
        sites.on(self.engine.now(), Event::RequestCompleted(completed));
    }

    pub(crate) fn report_counter_results(&mut self, told: &[Told]) {
        let (Some(sites), Some(last)) = (&mut self.sites, told.last()) else {
            return;
        };
        let event = if last.outcome == Outcome::Ok {
            Event::CounterAnswered
        } else {
            Event::CounterFailed
        };
        sites.on(self.engine.now(), event);
    }

    /// Looks at the plan again and tells the decisions what moved.
    pub(crate) fn refresh_site_plan(&mut self) {
        self.set_timer(LOOK, TimerPurpose::SitePlan);
        let GatewayServer {
            sites: Some(sites),
            decisions,
            engine,
            ..
        } = self
        else {
            return;
        };
        let reported: Vec<EndpointConcurrency> = decisions
            .engine
            .endpoint_concurrency()
            .map(|reported| EndpointConcurrency {
                endpoint: failover::EndpointId(reported.endpoint.0),
                in_flight: reported.in_flight,
                limit: reported.limit,
            })
            .collect();
        sites.on(engine.now(), Event::ConcurrencyReported(&reported));
        self.apply_site_plan();
    }

    fn apply_site_plan(&mut self) {
        let now = self.engine.now();
        let Some(sites) = &mut self.sites else { return };
        let mut plan = sites.plan(now);
        if !self.set.site_floor {
            plan.threshold = SheddingThreshold::ADMIT_ALL;
        }
        if sites.told.as_ref().is_some_and(|told| same(told, &plan)) {
            return;
        }
        let known = sites.told.as_ref().map_or(&[][..], |t| &t.sites);
        for v in &plan.sites {
            let before = known.iter().find(|k| k.site == v.site).map(|k| k.state);
            if before != Some(v.state) {
                tracing::info!(site = sites.name(v.site), state = v.state.name(), evidence = %v.evidence, "site state changed");
            }
        }
        let part = |v: &failover::SitePlan| ZoneShare {
            zone: ZoneId(v.site.0),
            share: v.share,
            accepts_overflow: v.state == SiteState::Serving,
        };
        let floor = api::SheddingThreshold {
            admit_above: plan.threshold.admit_above,
            reject_below: plan.threshold.reject_below,
            admit_fraction: plan.threshold.admit_fraction,
        };
        let shares = plan.sites.iter().map(part).collect();
        sites
            .names
            .retain(|id, _| plan.sites.iter().any(|s| s.site == *id));
        sites.told = Some(plan);
        self.decisions.push(api::Event::ZoneSharesChanged {
            shares,
            threshold: floor,
        });
    }

    /// A word that reached the whole fleet; it counts from the first list that names its site on, and is kept like one that was
    /// said here.
    pub(crate) fn apply_site_override(&mut self, name: &str, word: &str) {
        let now = self.engine.now();
        let Some(sites) = &mut self.sites else { return };
        let site_override = match word {
            "drain" => SiteOverride::Drain,
            "hold" => SiteOverride::HoldOut,
            _ => SiteOverride::Restore,
        };
        if let Err(e) = sites
            .words
            .keep(name, site_override != SiteOverride::Restore)
        {
            tracing::error!(
                site = name,
                site_override = word,
                error = %e,
                "site override not persisted: it lasts until this gateway restarts"
            );
        }
        tracing::warn!(
            site = name,
            site_override = word,
            "site override received from the coordinator"
        );
        let event = Event::OverrideSet {
            site: site_of(zone_of(name)),
            site_override,
        };
        sites.on(now, event);
        self.apply_site_plan();
    }

    /// `/sites`, and `/sites/drain/NAME`, `/sites/hold/NAME`, `/sites/let-back/NAME`. Errors: what was expected.
    pub(crate) fn answer_site_request(&mut self, path: &str) -> Result<String, SiteRequestError> {
        let now = self.engine.now();
        let GatewayServer {
            sites: Some(sites),
            set,
            ..
        } = self
        else {
            return Err(SiteRequestError::Off);
        };
        if let Some((word, name)) = path
            .strip_prefix("/sites/")
            .and_then(|rest| rest.split_once('/'))
        {
            let site_override = match word {
                "drain" => SiteOverride::Drain,
                "hold" => SiteOverride::HoldOut,
                "let-back" => SiteOverride::Restore,
                _ => return Err(SiteRequestError::Word(word.to_string())),
            };
            let site = site_of(zone_of(name));
            if sites.names.get(&site).is_none_or(|known| known != name) {
                let known: Vec<&str> = sites.names.values().map(String::as_str).collect();
                return Err(SiteRequestError::Site {
                    known: known.join(", "),
                    found: name.to_string(),
                });
            }
            sites
                .words
                .keep(name, site_override != SiteOverride::Restore)?;
            tracing::warn!(
                site = name,
                site_override = word,
                "site override received from an operator"
            );
            let event = Event::OverrideSet {
                site,
                site_override,
            };
            sites.on(now, event);
        } else if path != "/sites" {
            return Err(SiteRequestError::Path);
        }
        let status = sites.status(now, set);
        self.apply_site_plan();
        // Plain numbers and texts always have their form.
        Ok(serde_json::to_string(&status).unwrap_or_default())
    }
}
