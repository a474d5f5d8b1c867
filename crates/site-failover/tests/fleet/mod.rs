//! A simulated fleet: the failover cores of three gateways, three sites of four endpoints each, and a clock.
#![allow(
    dead_code,
    reason = "each test program that includes this module uses only some of it"
)]

use chalkdeck_site_failover::{
    AttemptEvidence, EndedAttempt, EndpointEntry, EndpointId, Event, FailoverCore, FailoverPlan,
    FailoverSettings, SiteId, SitePlan, SiteState,
};
use chalkdeck_time::{TimeDelta, Timestamp};
use std::collections::VecDeque;

pub const SECOND: TimeDelta = TimeDelta::from_secs(1);
pub const OBJECTIVE: TimeDelta = millis(500);
/// An endpoint without faults.
pub const HEALTHY: Behavior = Behavior::Answers(millis(40));
/// The number of sites, and of gateways: there is one at each site.
const SITES: usize = 3;
const ENDPOINTS_PER_SITE: usize = 4;
/// The time between two requests at a gateway.
const REQUEST_INTERVAL: TimeDelta = millis(10);
/// The fractional parts of its multiples are spread evenly over 0 to 1.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

pub const fn millis(millis: u64) -> TimeDelta {
    TimeDelta::from_millis(millis)
}

/// How an endpoint behaves towards a gateway.
#[derive(Clone, Copy, PartialEq)]
pub enum Behavior {
    Answers(TimeDelta),
    Silent,
    Refuses,
}

/// An attempt in flight and the time of its end.
struct PendingAttempt {
    at: Timestamp,
    gateway: usize,
    attempt: EndedAttempt,
}

pub struct Fleet {
    pub now: Timestamp,
    /// The core of each gateway.
    pub cores: Vec<FailoverCore>,
    /// The behavior of each endpoint, by gateway, site and endpoint.
    pub behavior: Vec<Vec<[Behavior; ENDPOINTS_PER_SITE]>>,
    /// When the endpoints of each site started.
    pub started_at: Vec<Option<Timestamp>>,
    /// Whether the list contains the endpoints of each site.
    pub is_listed: Vec<bool>,
    /// The attempts sent, by gateway and site.
    pub sent_attempts: Vec<Vec<u64>>,
    pending: VecDeque<PendingAttempt>,
    requests: u64,
}

pub fn settings(site: u32) -> FailoverSettings {
    FailoverSettings {
        own_site: SiteId(site),
        gateway_index: site,
        gateway_count: SITES as u32,
        slow_start_min_capacity: 0.25,
        slow_start_duration: TimeDelta::from_secs(3),
        overload_multiple: 2.0,
    }
}

pub fn listed_endpoint(endpoint: u64, site: u32, started_at: Option<Timestamp>) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(endpoint),
        site: SiteId(site),
        is_in_service: true,
        weight: 1.0,
        started_at,
    }
}

impl Fleet {
    pub fn new() -> Fleet {
        let mut fleet = Fleet {
            now: Timestamp::ZERO + SECOND,
            cores: (0..SITES as u32)
                .map(|site| FailoverCore::new(settings(site)))
                .collect(),
            behavior: vec![vec![[HEALTHY; ENDPOINTS_PER_SITE]; SITES]; SITES],
            started_at: vec![None; SITES],
            is_listed: vec![true; SITES],
            sent_attempts: vec![vec![0; SITES]; SITES],
            pending: VecDeque::new(),
            requests: 0,
        };
        fleet.publish_list();
        fleet
    }

    /// Sends the endpoint list to all gateways.
    pub fn publish_list(&mut self) {
        let mut entries = Vec::new();
        for site in (0..SITES).filter(|&site| self.is_listed[site]) {
            for endpoint in 0..ENDPOINTS_PER_SITE {
                let id = (site * ENDPOINTS_PER_SITE + endpoint) as u64;
                entries.push(listed_endpoint(id, site as u32, self.started_at[site]));
            }
        }
        for core in &mut self.cores {
            core.handle(self.now, Event::EndpointListUpdated(&entries));
        }
    }

    /// Sets the behavior of all endpoints of a site towards all gateways.
    pub fn set_behavior(&mut self, site: usize, behavior: Behavior) {
        for seen_from_gateway in &mut self.behavior {
            seen_from_gateway[site] = [behavior; ENDPOINTS_PER_SITE];
        }
    }

    pub fn plan(&mut self, gateway: usize) -> FailoverPlan {
        self.cores[gateway].plan(self.now)
    }

    pub fn site(&mut self, gateway: usize, site: usize) -> SitePlan {
        self.plan(gateway).sites[site].clone()
    }

    pub fn state(&mut self, gateway: usize, site: usize) -> SiteState {
        self.site(gateway, site).state
    }

    /// Passes an event that happens now to one gateway.
    pub fn handle(&mut self, gateway: usize, event: Event) {
        self.cores[gateway].handle(self.now, event);
    }

    /// Sends requests as the plans distribute them, for that time.
    pub fn run(&mut self, span: TimeDelta) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + REQUEST_INTERVAL;
            self.deliver_attempt_ends();
            for gateway in 0..self.cores.len() {
                self.send_request(gateway);
            }
            self.pending
                .make_contiguous()
                .sort_by_key(|pending| pending.at);
        }
    }

    /// Runs until the condition holds and returns how long that took. Panics after `max_span`.
    pub fn run_until(
        &mut self,
        max_span: TimeDelta,
        mut holds: impl FnMut(&mut Fleet) -> bool,
    ) -> TimeDelta {
        let start = self.now;
        while !holds(self) {
            assert!(
                self.now < start + max_span,
                "the condition does not hold within {max_span:?}"
            );
            self.run(REQUEST_INTERVAL);
        }
        self.now - start
    }

    fn deliver_attempt_ends(&mut self) {
        while let Some(pending) = self.pending.pop_front() {
            if pending.at > self.now {
                self.pending.push_front(pending);
                return;
            }
            let event = Event::AttemptEnded(pending.attempt);
            self.cores[pending.gateway].handle(pending.at, event);
        }
    }

    fn send_request(&mut self, gateway: usize) {
        self.requests += 1;
        let plan = self.plan(gateway);
        let offered = Event::RequestOffered {
            weight_per_unit: 1.0,
            units: 1.0,
        };
        self.handle(gateway, offered);
        // The draws are evenly spread and the same in each run.
        let mut draw = (self.requests as f64 * GOLDEN_RATIO).fract();
        let site = plan.sites.iter().position(|site| {
            draw -= site.share;
            draw < 0.0
        });
        if let Some(site) = site {
            self.send_attempt(gateway, site);
        }
    }

    fn send_attempt(&mut self, gateway: usize, site: usize) {
        let endpoint = (self.requests / SITES as u64) as usize % ENDPOINTS_PER_SITE;
        let id = EndpointId((site * ENDPOINTS_PER_SITE + endpoint) as u64);
        self.sent_attempts[gateway][site] += 1;
        self.handle(gateway, Event::AttemptSent(id));
        let (latency, evidence) = match self.behavior[gateway][site][endpoint] {
            Behavior::Answers(latency) => (latency, AttemptEvidence::Answered),
            Behavior::Silent => (OBJECTIVE, AttemptEvidence::TimedOut),
            Behavior::Refuses => (millis(1), AttemptEvidence::Unreachable),
        };
        self.pending.push_back(PendingAttempt {
            at: self.now + latency,
            gateway,
            attempt: EndedAttempt {
                endpoint: id,
                evidence,
                latency,
                objective: OBJECTIVE,
                units: 1.0,
            },
        });
    }
}
