//! Evaluates a run in which a site is lost: the worth served compared with the optimum for the remaining sites, calls that
//! were refused while cheaper ones were served, how soon gateways detected the loss, and how the site returned to service.

use crate::audit::rules::Record;
use crate::common::event_log::{CallOutcome, Entry};
use anyhow::Context;
use chalkdeck_capacity_planner::input::{Demand, PlanningInput, Site};
use chalkdeck_capacity_planner::scenario;
use chalkdeck_grpc_gateway::sites::SitesStatus;
use chalkdeck_proto::chalkdeck::lab::v1::{Day, Trouble};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// Length of the phase after the loss in which gateways detect it.
const DETECTION_PHASE_S: f64 = 1.5;
/// Length of the phase after the end of the loss in which the site returns to service.
const RETURN_PHASE_S: f64 = 8.0;
/// Calls sent within this time of each other count as simultaneous.
const SAME_TIME_US: u64 = 100_000;
/// A call counts as cheaper than another only if its worth per unit is less than this share of the other's.
const EQUAL_WORTH_SHARE: f64 = 0.9;
/// Width of the time slots.
pub const SLOT_S: f64 = 0.5;

/// A call as its client saw it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Time of sending, from the first call of the run.
    pub sent_s: f64,
    pub gateway: usize,
    pub class: usize,
    pub plan: String,
    pub outcome: Option<CallOutcome>,
    /// Time to its response; 0 if it got none.
    pub latency_s: f64,
    /// Worth of its class multiplied by the price of its plan.
    pub worth: f64,
    pub worth_per_unit: f64,
    /// Mean CPU time of a call of its path.
    pub work_s: f64,
    /// Whether it was served within the latency objective of its class.
    pub is_on_time: bool,
}

/// A run in which a site is lost, prepared for evaluation. Times are in seconds from the first call.
pub struct SiteLossRun {
    pub day: Day,
    /// Index of the zone that is lost.
    pub lost_zone: usize,
    pub loss_start_s: f64,
    pub loss_end_s: f64,
    pub calls: Vec<CallRecord>,
    /// CPU time of the calls that arrived at servers, by zone and slot.
    pub arrived_work_s: Vec<Vec<f64>>,
    /// Site statuses that gateways reported, with time and gateway, ordered by time.
    pub statuses: Vec<(f64, usize, SitesStatus)>,
}

/// Metrics of one phase of a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PhaseMetrics {
    pub calls: usize,
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    /// Worth served on time, as a share of the worth offered.
    pub worth: f64,
    /// Worth served on time, as a share of the optimum.
    pub of_optimum: f64,
    /// Latency of served calls at gateways outside the lost site.
    pub p99_ms: f64,
}

/// Metrics of a run in which a site is lost.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SiteLossMetrics {
    pub phases: BTreeMap<String, PhaseMetrics>,
    /// Priority inversions: the share of refusals during the loss for which the same gateway served a cheaper call at the
    /// same time.
    pub inversions: f64,
    /// Seconds from the loss until the last of the gateways that detect it does so.
    pub noticed: Option<f64>,
    /// Seconds from the loss until the worth served is near the optimum.
    pub steady: Option<f64>,
    /// Seconds from the end of the loss until all gateways of the site report that it serves.
    pub returned: Option<f64>,
    /// The most work that arrived at the returning site in a slot, as a share of the capacity that it had in its slow start.
    pub overshoot: f64,
}

/// Mean CPU time of a call of this path, in seconds.
pub fn mean_work_s(day: &Day, path: &str) -> f64 {
    let work = day.work.iter().find(|w| w.path == path);
    work.map_or(0.0, |w| (w.min_ms + w.max_ms) / 2e3)
}

/// Capacity of a zone, in CPU seconds per second.
pub fn zone_capacity(day: &Day, zone: usize) -> f64 {
    f64::from(day.zones[zone].servers * day.farm.map_or(1, |f| f.cores.max(1)))
}

impl SiteLossRun {
    /// Evaluates the logs of a run. Fails if the day has no trouble of a whole site, or the logs have no calls.
    pub fn from_record(record: &Record) -> anyhow::Result<SiteLossRun> {
        let day = record.day.clone();
        let loss = day.troubles.iter().find(|t| t.kind.starts_with("site_"));
        let loss: &Trouble = loss.context("expected a trouble of a whole site in the day")?;
        let lost_zone = day
            .zones
            .iter()
            .position(|z| z.name == loss.target)
            .context("expected the site's zone")?;
        let (loss_start_s, loss_end_s) = (
            f64::from(loss.at_ms) / 1e3,
            f64::from(loss.at_ms + loss.for_ms) / 1e3,
        );
        let first_call = record.events.iter().find_map(|event| {
            if let Entry::Call { t, .. } = event {
                Some(*t)
            } else {
                None
            }
        });
        let start_us = first_call.context("expected calls")?;
        let mut run = SiteLossRun {
            lost_zone,
            loss_start_s,
            loss_end_s,
            calls: Vec::new(),
            arrived_work_s: Vec::new(),
            statuses: Vec::new(),
            day,
        };
        run.read_calls(record, start_us);
        run.read_arrivals(record, start_us);
        run.read_statuses(record, start_us);
        Ok(run)
    }

    fn read_calls(&mut self, record: &Record, start_us: u64) {
        let gateway = self.day.gateway.clone().unwrap_or_default();
        let mut answers: HashMap<&str, (u64, CallOutcome)> = HashMap::new();
        for event in &record.events {
            if let Entry::Answer { t, id, end, .. } = event {
                answers.insert(id, (*t, *end));
            }
        }
        for event in &record.events {
            let Entry::Call {
                t,
                id,
                customer,
                path,
                gateway: gateway_index,
                ..
            } = event
            else {
                continue;
            };
            let Some(route) = gateway.routes.iter().find(|r| r.path == *path) else {
                continue;
            };
            let Some(class) = gateway.classes.iter().position(|c| c.name == route.class) else {
                continue;
            };
            let plan = customer.rsplit_once('-').map_or("", |p| p.0);
            let price = gateway
                .plans
                .iter()
                .find(|p| p.name == plan)
                .map_or(1.0, |p| p.price);
            let answer = answers.get(id.as_str());
            let latency_us = answer.map_or(0, |a| a.0.saturating_sub(*t));
            let worth = gateway.classes[class].worth * price;
            let units = if route.units == 0.0 { 1.0 } else { route.units };
            self.calls.push(CallRecord {
                sent_s: t.saturating_sub(start_us) as f64 / 1e6,
                gateway: *gateway_index,
                class,
                plan: plan.to_string(),
                outcome: answer.map(|a| a.1),
                latency_s: latency_us as f64 / 1e6,
                worth,
                worth_per_unit: worth / units,
                work_s: mean_work_s(&self.day, path),
                is_on_time: answer.is_some_and(|a| a.1 == CallOutcome::Served)
                    && latency_us <= u64::from(gateway.classes[class].aim_ms) * 1_000,
            });
        }
    }

    fn read_arrivals(&mut self, record: &Record, start_us: u64) {
        let mut zone_by_server: HashMap<&str, usize> = HashMap::new();
        for event in &record.events {
            let Entry::Note { what, target, .. } = event else {
                continue;
            };
            if let Some((server, zone)) = target.split_once(' ').filter(|_| what == "server") {
                zone_by_server.insert(server, zone.parse().unwrap_or(0));
            }
        }
        let slots = (f64::from(self.day.seconds) / SLOT_S) as usize + 8;
        self.arrived_work_s = vec![vec![0.0; slots]; self.day.zones.len()];
        for event in &record.events {
            let Entry::Arrive {
                t, server, path, ..
            } = event
            else {
                continue;
            };
            let slot = (t.saturating_sub(start_us) as f64 / 1e6 / SLOT_S) as usize;
            let work = mean_work_s(&self.day, path);
            let Some(&zone) = zone_by_server.get(server.as_str()) else {
                continue;
            };
            self.arrived_work_s[zone]
                .get_mut(slot)
                .into_iter()
                .for_each(|w| *w += work);
        }
    }

    fn read_statuses(&mut self, record: &Record, start_us: u64) {
        for event in &record.events {
            let Entry::Note { t, what, target } = event else {
                continue;
            };
            let Some((gateway, text)) = target.split_once(' ').filter(|_| what == "sites") else {
                continue;
            };
            let (Ok(gateway), Ok(status)) = (gateway.parse(), serde_json::from_str(text)) else {
                continue;
            };
            // A status from before the first call gets the time of the first call.
            self.statuses
                .push((t.saturating_sub(start_us) as f64 / 1e6, gateway, status));
        }
    }

    /// The name of the phase that a time, in seconds from the first call, falls into.
    pub fn phase(&self, time_s: f64) -> &'static str {
        match time_s {
            t if t < self.loss_start_s => "1 before",
            t if t < self.loss_start_s + DETECTION_PHASE_S => "2 first moments",
            t if t < self.loss_end_s => "3 loss",
            t if t < self.loss_end_s + RETURN_PHASE_S => "4 return",
            _ => "5 after",
        }
    }

    /// Capacity of a zone, in CPU seconds per second.
    pub fn capacity(&self, zone: usize) -> f64 {
        zone_capacity(&self.day, zone)
    }

    /// The highest worth per second that the planner finds for these calls, which were sent within the given time.
    pub fn optimum(
        &self,
        calls: &[&CallRecord],
        seconds: f64,
        is_site_lost: bool,
    ) -> anyhow::Result<f64> {
        let mut demand_by_kind: BTreeMap<(usize, &str), Demand> = BTreeMap::new();
        for c in calls {
            let demand = demand_by_kind
                .entry((c.class, &c.plan))
                .or_insert_with(|| Demand {
                    class: c.class.to_string(),
                    plan: c.plan.clone(),
                    is_over_quota: false,
                    rate: 0.0,
                    units: c.work_s,
                    value: c.worth,
                });
            demand.rate += 1.0 / seconds;
        }
        let site = |zone: usize| Site {
            name: self.day.zones[zone].name.clone(),
            capacity: self.capacity(zone),
            gateways: 1.0,
        };
        let sites = (0..self.day.zones.len()).map(site).collect();
        let input = PlanningInput {
            sites,
            demand: demand_by_kind.into_values().collect(),
            crossing_cost: 1e-6,
        };
        Ok(scenario::solve_case(
            &input,
            if is_site_lost {
                std::slice::from_ref(&self.lost_zone)
            } else {
                &[]
            },
        )?
        .served_value)
    }

    /// Computes all metrics. The first second of the run is left out of the phases.
    pub fn metrics(&self) -> anyhow::Result<SiteLossMetrics> {
        let mut by_phase: BTreeMap<&str, Vec<&CallRecord>> = BTreeMap::new();
        for c in self.calls.iter().filter(|c| c.sent_s >= 1.0) {
            by_phase.entry(self.phase(c.sent_s)).or_default().push(c);
        }
        let mut phases = BTreeMap::new();
        for (name, calls) in &by_phase {
            phases.insert(name.to_string(), self.phase_metrics(name, calls)?);
        }
        let empty = Vec::new();
        Ok(SiteLossMetrics {
            phases,
            inversions: inversion_share(by_phase.get("3 loss").unwrap_or(&empty)),
            noticed: self.detection_delay_s(),
            steady: self.stabilization_delay_s()?,
            returned: self.return_delay_s(),
            overshoot: self.return_overshoot(),
        })
    }

    fn phase_metrics(&self, name: &str, calls: &[&CallRecord]) -> anyhow::Result<PhaseMetrics> {
        let count_ended = |outcomes: &[CallOutcome]| {
            calls
                .iter()
                .filter(|c| c.outcome.is_some_and(|e| outcomes.contains(&e)))
                .count()
        };
        let seconds = match name {
            "1 before" => self.loss_start_s - 1.0,
            "2 first moments" => DETECTION_PHASE_S,
            "3 loss" => self.loss_end_s - self.loss_start_s - DETECTION_PHASE_S,
            "4 return" => RETURN_PHASE_S,
            _ => f64::from(self.day.seconds) - self.loss_end_s - RETURN_PHASE_S,
        };
        let worth: f64 = calls.iter().filter(|c| c.is_on_time).map(|c| c.worth).sum();
        let offered: f64 = calls.iter().map(|c| c.worth).sum();
        let is_site_lost = name.starts_with(['2', '3']);
        let optimum = self.optimum(calls, seconds.max(0.1), is_site_lost)? * seconds.max(0.1);
        let is_served_elsewhere = |c: &&&CallRecord| {
            c.gateway % self.day.zones.len() != self.lost_zone
                && c.outcome == Some(CallOutcome::Served)
        };
        let mut latencies_ms: Vec<f64> = calls
            .iter()
            .filter(is_served_elsewhere)
            .map(|c| c.latency_s * 1e3)
            .collect();
        latencies_ms.sort_by(f64::total_cmp);
        Ok(PhaseMetrics {
            calls: calls.len(),
            served: count_ended(&[CallOutcome::Served]),
            refused: count_ended(&[CallOutcome::Refused]),
            failed: count_ended(&[
                CallOutcome::Failed,
                CallOutcome::Lost,
                CallOutcome::Silent,
                CallOutcome::Other,
            ]),
            worth: worth / offered.max(1e-9),
            of_optimum: worth / optimum.max(1e-9),
            p99_ms: latencies_ms
                .get(latencies_ms.len() * 99 / 100)
                .copied()
                .unwrap_or(0.0),
        })
    }

    fn lost_site_state(&self, status: &SitesStatus) -> String {
        let name = &self.day.zones[self.lost_zone].name;
        status
            .sites
            .iter()
            .find(|s| s.site == *name)
            .map_or(String::new(), |s| s.state.clone())
    }

    /// Time from the loss until the last of the gateways that report the site as out does so. A gateway that sends no calls
    /// to the site can't detect its loss, so gateways without such a report are left out.
    fn detection_delay_s(&self) -> Option<f64> {
        let mut detected: BTreeMap<usize, f64> = BTreeMap::new();
        for (t, gateway, status) in self
            .statuses
            .iter()
            .filter(|s| s.0 >= self.loss_start_s && s.0 < self.loss_end_s)
        {
            if ["lost", "cut off from here"].contains(&self.lost_site_state(status).as_str()) {
                detected.entry(*gateway).or_insert(t - self.loss_start_s);
            }
        }
        detected.into_values().reduce(f64::max)
    }

    /// Time from the loss until the worth served reaches nine tenths of the optimum in two consecutive slots.
    fn stabilization_delay_s(&self) -> anyhow::Result<Option<f64>> {
        let slots = ((self.loss_end_s - self.loss_start_s) / SLOT_S) as usize;
        let mut is_near_optimum = Vec::new();
        for slot in 0..slots {
            let from = self.loss_start_s + slot as f64 * SLOT_S;
            let calls: Vec<&CallRecord> = self
                .calls
                .iter()
                .filter(|c| c.sent_s >= from && c.sent_s < from + SLOT_S)
                .collect();
            let worth: f64 = calls.iter().filter(|c| c.is_on_time).map(|c| c.worth).sum();
            is_near_optimum.push(worth / SLOT_S >= 0.9 * self.optimum(&calls, SLOT_S, true)?);
        }
        Ok(is_near_optimum
            .windows(2)
            .position(|w| w[0] && w[1])
            .map(|slot| slot as f64 * SLOT_S))
    }

    /// Time from the end of the loss until all gateways of the site report that it serves, and keep reporting it.
    fn return_delay_s(&self) -> Option<f64> {
        let is_of_lost_site = |g: usize| g % self.day.zones.len() == self.lost_zone;
        let after_loss = self
            .statuses
            .iter()
            .filter(|(t, g, _)| is_of_lost_site(*g) && *t > self.loss_end_s);
        let mut last_not_serving = None;
        let mut last_status = 0.0;
        for (t, _, status) in after_loss {
            last_status = f64::max(last_status, *t);
            if self.lost_site_state(status) != "serving" {
                last_not_serving = Some(*t);
            }
        }
        let delay_s = last_not_serving.map_or(0.0, |t| t - self.loss_end_s);
        (last_status > 0.0 && delay_s + self.loss_end_s < last_status).then_some(delay_s)
    }

    fn return_overshoot(&self) -> f64 {
        let start = self
            .day
            .gateway
            .as_ref()
            .and_then(|g| g.start)
            .unwrap_or_default();
        let warm_up_s = f64::from(start.cold_ms) / 1e3;
        let slots = self.arrived_work_s[self.lost_zone].iter().enumerate();
        let after_loss = slots
            .map(|(i, w)| (i as f64 * SLOT_S - self.loss_end_s, w))
            .filter(|(t, _)| *t >= 0.0 && *t < warm_up_s.max(SLOT_S));
        let ramped_share = |t: f64| {
            start.cold_from
                + (1.0 - start.cold_from) * ((t + SLOT_S) / warm_up_s.max(1e-9)).min(1.0)
        };
        after_loss
            .map(|(t, w)| w / SLOT_S / (self.capacity(self.lost_zone) * ramped_share(t)))
            .fold(0.0, f64::max)
    }
}

fn inversion_share(calls: &[&CallRecord]) -> f64 {
    let mut by_gateway: HashMap<usize, Vec<&CallRecord>> = HashMap::new();
    calls
        .iter()
        .for_each(|c| by_gateway.entry(c.gateway).or_default().push(c));
    let (mut refused, mut inverted) = (0_u32, 0_u32);
    for calls in by_gateway.values() {
        for c in calls
            .iter()
            .filter(|c| c.outcome == Some(CallOutcome::Refused))
        {
            let is_near =
                |o: &&&CallRecord| ((o.sent_s - c.sent_s).abs() * 1e6) as u64 <= SAME_TIME_US;
            let is_cheaper = |o: &&CallRecord| {
                o.outcome == Some(CallOutcome::Served)
                    && o.worth_per_unit < c.worth_per_unit * EQUAL_WORTH_SHARE
            };
            refused += 1;
            inverted += u32::from(calls.iter().filter(is_near).any(is_cheaper));
        }
    }
    f64::from(inverted) / f64::from(refused.max(1))
}
