//! What a day with a lost site came to: worth served against the optimum of those left, what was refused before what,
//! how soon it was noticed, and how the site came back.

use crate::audit::rules::Record;
use crate::common::event_log::{CallOutcome, Entry};
use anyhow::Context;
use chalkdeck_capacity_planner::input::{Demand, PlanningInput, Site};
use chalkdeck_capacity_planner::scenario;
use chalkdeck_grpc_gateway::sites::SitesStatus;
use chalkdeck_proto::chalkdeck::lab::v1::{Day, Trouble};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// How long after the loss counts as noticing it, and after the end as the return, in seconds.
const NOTICE: f64 = 1.5;
const RETURN: f64 = 8.0;
/// Calls within this of each other came at the same moment, in microseconds.
const MOMENT: u64 = 100_000;
/// Worth for each unit that differs by less counts as equal.
const EQUAL: f64 = 0.9;
/// Width of a slot, in seconds.
pub const SLOT: f64 = 0.5;

/// A call as its client saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Seconds from the first call.
    pub at: f64,
    pub gateway: usize,
    pub class: usize,
    pub plan: String,
    pub end: Option<CallOutcome>,
    /// Seconds to its answer.
    pub took: f64,
    /// What it is worth, and that for each unit.
    pub worth: f64,
    pub dense: f64,
    /// Seconds of a core.
    pub work: f64,
    /// It was served within its aim.
    pub in_time: bool,
}

/// A day taken apart.
pub struct SiteDay {
    pub day: Day,
    /// Zone that is lost, and from when to when, in seconds.
    pub zone: usize,
    pub begin: f64,
    pub end: f64,
    pub calls: Vec<Seen>,
    /// Work that arrived, in core seconds, by zone and slot.
    pub arrived: Vec<Vec<f64>>,
    /// Statuses by time and gateway.
    pub statuses: Vec<(f64, usize, SitesStatus)>,
}

/// Part of a day.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Phase {
    pub calls: usize,
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    /// Worth served in time as a part of what was offered, and of the optimum.
    pub worth: f64,
    pub of_optimum: f64,
    /// Of calls at gateways outside the lost site, in milliseconds.
    pub p99_ms: f64,
}

/// Figures of a day.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Figures {
    pub phases: BTreeMap<String, Phase>,
    /// Part of the refusals in the loss beside which cheaper work was let in.
    pub inversions: f64,
    /// Seconds until every gateway that sends there says that the site is out; until worth was steady; after the end
    /// until the site's own gateways say that it serves.
    pub noticed: Option<f64>,
    pub steady: Option<f64>,
    pub returned: Option<f64>,
    /// The most work that came to the returning site in a slot, as a part of what it bore then.
    pub overshoot: f64,
}

/// Seconds of a core that a call of that path takes on the mean.
pub fn work_of(day: &Day, path: &str) -> f64 {
    let work = day.work.iter().find(|w| w.path == path);
    work.map_or(0.0, |w| (w.min_ms + w.max_ms) / 2e3)
}

/// Core seconds a second of a zone.
pub fn capacity_of(day: &Day, zone: usize) -> f64 {
    f64::from(day.zones[zone].servers * day.farm.map_or(1, |f| f.cores.max(1)))
}

impl SiteDay {
    /// Takes a run apart. Errors: the day loses no whole site, or the logs lack what is needed.
    pub fn of(record: &Record) -> anyhow::Result<SiteDay> {
        let day = record.day.clone();
        let lost = day.troubles.iter().find(|t| t.kind.starts_with("site_"));
        let lost: &Trouble = lost.context("expected a trouble of a whole site in the day")?;
        let zone = day
            .zones
            .iter()
            .position(|z| z.name == lost.target)
            .context("expected the site's zone")?;
        let (begin, end) = (
            f64::from(lost.at_ms) / 1e3,
            f64::from(lost.at_ms + lost.for_ms) / 1e3,
        );
        let first = record.lines.iter().find_map(|l| {
            if let Entry::Call { t, .. } = l {
                Some(*t)
            } else {
                None
            }
        });
        let first = first.context("expected calls")?;
        let mut site_day = SiteDay {
            zone,
            begin,
            end,
            calls: Vec::new(),
            arrived: Vec::new(),
            statuses: Vec::new(),
            day,
        };
        site_day.read_calls(record, first);
        site_day.read_arrivals(record, first);
        site_day.read_statuses(record, first);
        Ok(site_day)
    }

    fn read_calls(&mut self, record: &Record, first: u64) {
        let gateway = self.day.gateway.clone().unwrap_or_default();
        let mut ends: HashMap<&str, (u64, CallOutcome)> = HashMap::new();
        for line in &record.lines {
            if let Entry::Answer { t, id, end, .. } = line {
                ends.insert(id, (*t, *end));
            }
        }
        for line in &record.lines {
            let Entry::Call {
                t,
                id,
                customer,
                path,
                gateway: at_gateway,
                ..
            } = line
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
            let answer = ends.get(id.as_str());
            let took = answer.map_or(0, |a| a.0.saturating_sub(*t));
            let worth = gateway.classes[class].worth * price;
            let units = if route.units == 0.0 { 1.0 } else { route.units };
            self.calls.push(Seen {
                at: t.saturating_sub(first) as f64 / 1e6,
                gateway: *at_gateway,
                class,
                plan: plan.to_string(),
                end: answer.map(|a| a.1),
                took: took as f64 / 1e6,
                worth,
                dense: worth / units,
                work: work_of(&self.day, path),
                in_time: answer.is_some_and(|a| a.1 == CallOutcome::Served)
                    && took <= u64::from(gateway.classes[class].aim_ms) * 1_000,
            });
        }
    }

    fn read_arrivals(&mut self, record: &Record, first: u64) {
        let mut zone_of: HashMap<&str, usize> = HashMap::new();
        for line in &record.lines {
            let Entry::Note { what, target, .. } = line else {
                continue;
            };
            if let Some((server, zone)) = target.split_once(' ').filter(|_| what == "server") {
                zone_of.insert(server, zone.parse().unwrap_or(0));
            }
        }
        let slots = (f64::from(self.day.seconds) / SLOT) as usize + 8;
        self.arrived = vec![vec![0.0; slots]; self.day.zones.len()];
        for line in &record.lines {
            let Entry::Arrive {
                t, server, path, ..
            } = line
            else {
                continue;
            };
            let slot = (t.saturating_sub(first) as f64 / 1e6 / SLOT) as usize;
            let work = work_of(&self.day, path);
            let Some(&zone) = zone_of.get(server.as_str()) else {
                continue;
            };
            self.arrived[zone]
                .get_mut(slot)
                .into_iter()
                .for_each(|w| *w += work);
        }
    }

    fn read_statuses(&mut self, record: &Record, first: u64) {
        for line in &record.lines {
            let Entry::Note { t, what, target } = line else {
                continue;
            };
            let Some((gateway, text)) = target.split_once(' ').filter(|_| what == "sites") else {
                continue;
            };
            let (Ok(gateway), Ok(status)) = (gateway.parse(), serde_json::from_str(text)) else {
                continue;
            };
            // Statuses from before the first call count as at it.
            self.statuses
                .push((t.saturating_sub(first) as f64 / 1e6, gateway, status));
        }
    }

    /// The name of a part of the day by its time.
    pub fn phase(&self, at: f64) -> &'static str {
        match at {
            t if t < self.begin => "1 before",
            t if t < self.begin + NOTICE => "2 first moments",
            t if t < self.end => "3 loss",
            t if t < self.end + RETURN => "4 return",
            _ => "5 after",
        }
    }

    /// Core seconds a second of a zone.
    pub fn capacity(&self, zone: usize) -> f64 {
        capacity_of(&self.day, zone)
    }

    /// Worth a second at best for these calls of so many seconds, with the site lost or not.
    pub fn optimum(&self, calls: &[&Seen], seconds: f64, lost: bool) -> anyhow::Result<f64> {
        let mut kinds: BTreeMap<(usize, &str), Demand> = BTreeMap::new();
        for c in calls {
            let kind = kinds.entry((c.class, &c.plan)).or_insert_with(|| Demand {
                class: c.class.to_string(),
                plan: c.plan.clone(),
                is_over_quota: false,
                rate: 0.0,
                units: c.work,
                value: c.worth,
            });
            kind.rate += 1.0 / seconds;
        }
        let site = |zone: usize| Site {
            name: self.day.zones[zone].name.clone(),
            capacity: self.capacity(zone),
            gateways: 1.0,
        };
        let sites = (0..self.day.zones.len()).map(site).collect();
        let input = PlanningInput {
            sites,
            demand: kinds.into_values().collect(),
            crossing_cost: 1e-6,
        };
        Ok(scenario::solve_case(
            &input,
            if lost {
                std::slice::from_ref(&self.zone)
            } else {
                &[]
            },
        )?
        .served_value)
    }

    /// All figures.
    pub fn figures(&self) -> anyhow::Result<Figures> {
        let mut by_phase: BTreeMap<&str, Vec<&Seen>> = BTreeMap::new();
        for c in self.calls.iter().filter(|c| c.at >= 1.0) {
            by_phase.entry(self.phase(c.at)).or_default().push(c);
        }
        let mut phases = BTreeMap::new();
        for (name, calls) in &by_phase {
            phases.insert(name.to_string(), self.figures_of(name, calls)?);
        }
        let empty = Vec::new();
        Ok(Figures {
            phases,
            inversions: inversions(by_phase.get("3 loss").unwrap_or(&empty)),
            noticed: self.noticed(),
            steady: self.steady()?,
            returned: self.returned(),
            overshoot: self.overshoot(),
        })
    }

    fn figures_of(&self, name: &str, calls: &[&Seen]) -> anyhow::Result<Phase> {
        let ended = |end: &[CallOutcome]| {
            calls
                .iter()
                .filter(|c| c.end.is_some_and(|e| end.contains(&e)))
                .count()
        };
        let seconds = match name {
            "1 before" => self.begin - 1.0,
            "2 first moments" => NOTICE,
            "3 loss" => self.end - self.begin - NOTICE,
            "4 return" => RETURN,
            _ => f64::from(self.day.seconds) - self.end - RETURN,
        };
        let worth: f64 = calls.iter().filter(|c| c.in_time).map(|c| c.worth).sum();
        let offered: f64 = calls.iter().map(|c| c.worth).sum();
        let lost = name.starts_with(['2', '3']);
        let best = self.optimum(calls, seconds.max(0.1), lost)? * seconds.max(0.1);
        let healthy = |c: &&&Seen| {
            c.gateway % self.day.zones.len() != self.zone && c.end == Some(CallOutcome::Served)
        };
        let mut took: Vec<f64> = calls.iter().filter(healthy).map(|c| c.took * 1e3).collect();
        took.sort_by(f64::total_cmp);
        Ok(Phase {
            calls: calls.len(),
            served: ended(&[CallOutcome::Served]),
            refused: ended(&[CallOutcome::Refused]),
            failed: ended(&[
                CallOutcome::Failed,
                CallOutcome::Lost,
                CallOutcome::Silent,
                CallOutcome::Other,
            ]),
            worth: worth / offered.max(1e-9),
            of_optimum: worth / best.max(1e-9),
            p99_ms: took.get(took.len() * 99 / 100).copied().unwrap_or(0.0),
        })
    }

    fn state(&self, status: &SitesStatus) -> String {
        let name = &self.day.zones[self.zone].name;
        status
            .sites
            .iter()
            .find(|s| s.site == *name)
            .map_or(String::new(), |s| s.state.clone())
    }

    /// Those that had sent there in the loss's first moments say so, or the list did; who has sent nothing cannot know.
    fn noticed(&self) -> Option<f64> {
        let mut first: BTreeMap<usize, f64> = BTreeMap::new();
        for (t, gateway, status) in self
            .statuses
            .iter()
            .filter(|s| s.0 >= self.begin && s.0 < self.end)
        {
            if ["lost", "cut off from here"].contains(&self.state(status).as_str()) {
                first.entry(*gateway).or_insert(t - self.begin);
            }
        }
        first.into_values().reduce(f64::max)
    }

    /// When worth first came to nine tenths of the optimum for two slots in a row.
    fn steady(&self) -> anyhow::Result<Option<f64>> {
        let slots = ((self.end - self.begin) / SLOT) as usize;
        let mut good = Vec::new();
        for slot in 0..slots {
            let from = self.begin + slot as f64 * SLOT;
            let calls: Vec<&Seen> = self
                .calls
                .iter()
                .filter(|c| c.at >= from && c.at < from + SLOT)
                .collect();
            let worth: f64 = calls.iter().filter(|c| c.in_time).map(|c| c.worth).sum();
            good.push(worth / SLOT >= 0.9 * self.optimum(&calls, SLOT, true)?);
        }
        Ok(good
            .windows(2)
            .position(|w| w[0] && w[1])
            .map(|slot| slot as f64 * SLOT))
    }

    /// All gateways of the site say that it serves, for good.
    fn returned(&self) -> Option<f64> {
        let own = |g: usize| g % self.day.zones.len() == self.zone;
        let after = self
            .statuses
            .iter()
            .filter(|(t, g, _)| own(*g) && *t > self.end);
        let mut last_not = None;
        let mut last = 0.0;
        for (t, _, status) in after {
            last = f64::max(last, *t);
            if self.state(status) != "serving" {
                last_not = Some(*t);
            }
        }
        let at = last_not.map_or(0.0, |t| t - self.end);
        (last > 0.0 && at + self.end < last).then_some(at)
    }

    fn overshoot(&self) -> f64 {
        let start = self
            .day
            .gateway
            .as_ref()
            .and_then(|g| g.start)
            .unwrap_or_default();
        let cold = f64::from(start.cold_ms) / 1e3;
        let slots = self.arrived[self.zone].iter().enumerate();
        let after = slots
            .map(|(i, w)| (i as f64 * SLOT - self.end, w))
            .filter(|(t, _)| *t >= 0.0 && *t < cold.max(SLOT));
        let part = |t: f64| {
            start.cold_from + (1.0 - start.cold_from) * ((t + SLOT) / cold.max(1e-9)).min(1.0)
        };
        after
            .map(|(t, w)| w / SLOT / (self.capacity(self.zone) * part(t)))
            .fold(0.0, f64::max)
    }
}

fn inversions(calls: &[&Seen]) -> f64 {
    let mut by_gateway: HashMap<usize, Vec<&Seen>> = HashMap::new();
    calls
        .iter()
        .for_each(|c| by_gateway.entry(c.gateway).or_default().push(c));
    let (mut refused, mut inverted) = (0_u32, 0_u32);
    for calls in by_gateway.values() {
        for c in calls.iter().filter(|c| c.end == Some(CallOutcome::Refused)) {
            let near = |o: &&&Seen| ((o.at - c.at).abs() * 1e6) as u64 <= MOMENT;
            let cheap = |o: &&Seen| o.end == Some(CallOutcome::Served) && o.dense < c.dense * EQUAL;
            refused += 1;
            inverted += u32::from(calls.iter().filter(near).any(cheap));
        }
    }
    f64::from(inverted) / f64::from(refused.max(1))
}
