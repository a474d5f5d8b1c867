//! Simulated sites of endpoints whose behavior changes over time.

use super::{MILLISECOND, SECOND};
use chalkdeck_site_failover::{EndpointEntry, EndpointId, SiteId};
use chalkdeck_time::Timestamp;
use fastrand::Rng;

/// How an endpoint behaves towards the gateway.
#[derive(Clone, Copy)]
pub enum Behavior {
    Answers { mean_latency: u64 },
    Rejects,
    Silent,
    Refuses,
}

struct Endpoint {
    id: u64,
    site: u32,
    behavior: Behavior,
    started_at: Option<u64>,
    is_in_service: bool,
    is_listed: bool,
    weight: f64,
}

pub struct SimulatedSites {
    endpoints: Vec<Endpoint>,
    site_count: u32,
}

/// The behavior of an endpoint without faults.
const HEALTHY: Behavior = Behavior::Answers {
    mean_latency: 40 * MILLISECOND,
};

impl SimulatedSites {
    pub fn new(rng: &mut Rng) -> SimulatedSites {
        let site_count = rng.u32(2..6);
        let mut endpoints = Vec::new();
        for site in 0..site_count {
            for _ in 0..rng.u64(1..6) {
                endpoints.push(Endpoint {
                    id: endpoints.len() as u64,
                    site,
                    behavior: HEALTHY,
                    started_at: (rng.u32(0..4) == 0).then_some(rng.u64(0..SECOND)),
                    is_in_service: true,
                    is_listed: true,
                    weight: f64::from(rng.u32(0..5)),
                });
            }
        }
        SimulatedSites {
            endpoints,
            site_count,
        }
    }

    pub fn draw_site(&self, rng: &mut Rng) -> u32 {
        rng.u32(0..self.site_count)
    }

    pub fn draw_endpoint(&self, rng: &mut Rng) -> u64 {
        self.endpoints[rng.usize(0..self.endpoints.len())].id
    }

    pub fn draw_endpoint_of(&self, site: u32, rng: &mut Rng) -> u64 {
        let of_site: Vec<u64> = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.site == site)
            .map(|endpoint| endpoint.id)
            .collect();
        of_site[rng.usize(0..of_site.len())]
    }

    /// The behavior of an endpoint; an unknown endpoint never answers.
    pub fn behavior(&self, id: u64) -> Behavior {
        let endpoint = self.endpoints.iter().find(|endpoint| endpoint.id == id);
        endpoint.map_or(Behavior::Silent, |endpoint| endpoint.behavior)
    }

    /// Changes the behavior of one endpoint, of one site, or of all sites but the gateway's own.
    pub fn change_behavior(&mut self, rng: &mut Rng, now: u64) {
        let behavior = match rng.u32(0..12) {
            0 => Behavior::Rejects,
            1 | 2 => Behavior::Silent,
            3 => Behavior::Refuses,
            4 | 5 => Behavior::Answers {
                mean_latency: rng.u64(100..600) * MILLISECOND,
            },
            _ => HEALTHY,
        };
        let has_restarted = rng.u32(0..5) == 0;
        let site = self.draw_site(rng);
        let endpoint_id = self.draw_endpoint(rng);
        let scope = rng.u32(0..7);
        for endpoint in &mut self.endpoints {
            let is_affected = match scope {
                0 => endpoint.id == endpoint_id,
                1..4 => endpoint.site != 0,
                _ => endpoint.site == site,
            };
            if is_affected {
                endpoint.behavior = behavior;
                endpoint.started_at = if has_restarted {
                    Some(now)
                } else {
                    endpoint.started_at
                };
            }
        }
    }

    /// Removes a site from the list or adds it again, or takes an endpoint out of service or puts it back.
    pub fn change_list(&mut self, rng: &mut Rng) {
        if rng.bool() {
            let index = rng.usize(0..self.endpoints.len());
            self.endpoints[index].is_in_service = !self.endpoints[index].is_in_service;
            return;
        }
        let site = self.draw_site(rng);
        let is_listed = rng.u32(0..3) > 0;
        for endpoint in self
            .endpoints
            .iter_mut()
            .filter(|endpoint| endpoint.site == site)
        {
            endpoint.is_listed = is_listed;
        }
    }

    /// The entries of the endpoint list.
    pub fn entries(&self, now: u64) -> Vec<EndpointEntry> {
        let listed = self.endpoints.iter().filter(|endpoint| endpoint.is_listed);
        let entry = |endpoint: &Endpoint| EndpointEntry {
            endpoint: EndpointId(endpoint.id),
            site: SiteId(endpoint.site),
            is_in_service: endpoint.is_in_service,
            weight: endpoint.weight,
            started_at: endpoint
                .started_at
                .map(|at| Timestamp::from_micros(at.min(now))),
        };
        listed.map(entry).collect()
    }
}
