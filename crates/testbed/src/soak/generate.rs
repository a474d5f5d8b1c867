//! Generates the fleet and the faults of a seed.

use super::faults::{gateway_steps, FaultKind, PlannedFault, SoakAction, Step, Target};
use crate::common::script::{self, ScriptAction, TimedAction, DAY_MESSAGE};
use anyhow::Context;
use chalkdeck_proto::chalkdeck::lab::v1::{Day, Trouble};
use chalkdeck_proto::text;
use fastrand::Rng;

/// The earliest time of a fault, in milliseconds, so that clients can connect first.
const FIRST_FAULT_MS: u32 = 500;
/// The number of faults that a plan should have; fewer if no more fit in.
const FAULT_COUNT: std::ops::RangeInclusive<usize> = 4..=9;
/// The most faults that are generated for a plan; one whose target is taken at its time is discarded.
const MAX_ATTEMPTS: usize = 60;
/// How long a stopped or killed gateway stays down, in milliseconds.
const DOWNTIME_MS: std::ops::Range<u32> = 200..1_500;
/// How long faults of other targets last, in milliseconds.
const DURATION_MS: std::ops::Range<u32> = 600..3_000;
/// Zones of `days/soak.txtpb`.
const ZONES: [&str; 3] = ["north", "middle", "south"];

/// The plan of a soak run.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// The seed that the plan was generated from.
    pub seed: u64,
    /// The fleet and its load.
    pub day: Day,
    /// The faults, ordered by time.
    pub faults: Vec<PlannedFault>,
}

impl SoakPlan {
    /// A one-line summary of the fleet.
    pub fn topology(&self) -> String {
        let servers: u32 = self.day.zones.iter().map(|zone| zone.servers).sum();
        let counter = if self.day.own_counter {
            "own counter"
        } else {
            "stand-in counter"
        };
        let mut topology = format!(
            "{} gateways, {servers} servers, {counter}",
            self.day.gateways
        );
        if self.day.links {
            topology += ", links";
        }
        if self.day.own_keeper {
            topology += ", coordinator";
        }
        topology
    }
}

/// Generates the plan of a seed for a load of `seconds`. Leaves out faults of the excluded kinds; the others are the same as
/// without the exclusion.
///
/// # Errors
/// The built-in `days/soak.txtpb` is invalid.
pub fn generate_plan(seed: u64, seconds: u32, excluded: &[FaultKind]) -> anyhow::Result<SoakPlan> {
    let mut rng = Rng::with_seed(seed);
    let day = generate_day(&mut rng, seed, seconds)?;
    let mut faults: Vec<PlannedFault> = Vec::new();
    let count = rng.usize(FAULT_COUNT);
    for _ in 0..MAX_ATTEMPTS {
        if faults.len() == count {
            break;
        }
        let fault = generate_fault(&mut rng, &day)?;
        let in_time = fault.until_ms + FIRST_FAULT_MS <= seconds * 1_000;
        if in_time && faults.iter().all(|other| can_coexist(other, &fault)) {
            faults.push(fault);
        }
    }
    faults.retain(|fault| !excluded.contains(&fault.kind));
    faults.sort_by_key(|fault| fault.at_ms);
    Ok(SoakPlan { seed, day, faults })
}

fn generate_day(rng: &mut Rng, seed: u64, seconds: u32) -> anyhow::Result<Day> {
    let source = include_str!("../../days/soak.txtpb");
    let mut day: Day = text::parse(DAY_MESSAGE, source)
        .map_err(|error| anyhow::anyhow!("days/soak.txtpb: {error}"))?;
    day.seed = seed;
    day.seconds = seconds;
    day.gateways = rng.u32(2..=4);
    for zone in &mut day.zones {
        zone.servers = rng.u32(2..=4);
    }
    day.own_counter = rng.bool();
    day.own_keeper = rng.u8(..3) == 0;
    day.links = rng.u8(..3) == 0;
    let load = day.load.as_mut().context("expected a load in the day")?;
    load.rate = rng.f64() * 90.0 + 60.0;
    for mix in &mut load.mix {
        mix.timeout_ms = mix.timeout_ms * rng.u32(50..=100) / 100;
    }
    Ok(day)
}

fn can_coexist(one: &PlannedFault, other: &PlannedFault) -> bool {
    let are_disjoint = one.until_ms < other.at_ms || other.until_ms < one.at_ms;
    are_disjoint || !one.target.excludes(other.target)
}

fn generate_fault(rng: &mut Rng, day: &Day) -> anyhow::Result<PlannedFault> {
    let kind = FaultKind::ALL[rng.usize(..FaultKind::ALL.len())];
    let kind = supported_kind(kind, day);
    let at_ms = rng.u32(FIRST_FAULT_MS..day.seconds.max(2) * 1_000);
    let gateway = rng.usize(..day.gateways as usize);
    let zone = rng.usize(..ZONES.len());
    let downtime_ms = rng.u32(DOWNTIME_MS);
    let duration_ms = rng.u32(DURATION_MS);
    let (target, steps) = match kind {
        FaultKind::Crowd => (Target::Clients, crowd_steps(at_ms, duration_ms)),
        kind => match script_trouble(rng, kind, day, zone) {
            Some((target, mut trouble)) => {
                (trouble.at_ms, trouble.for_ms) = (at_ms, duration_ms);
                (target, trouble_steps(day, trouble)?)
            }
            None => {
                let steps = gateway_steps(kind, gateway, at_ms, downtime_ms);
                (Target::Gateway(gateway), steps)
            }
        },
    };
    let until_ms = steps.iter().map(|step| step.at_ms).max().unwrap_or(at_ms);
    Ok(PlannedFault {
        kind,
        target,
        at_ms,
        until_ms,
        steps,
    })
}

/// Replaces a kind of fault that the fleet does not support: the product's counter can only be killed or silenced, and link
/// faults need links.
fn supported_kind(kind: FaultKind, day: &Day) -> FaultKind {
    match kind {
        FaultKind::CounterSlow | FaultKind::CounterRefusing if day.own_counter => {
            FaultKind::CounterKill
        }
        FaultKind::LinkCut | FaultKind::LinkDelay | FaultKind::LinkReset if !day.links => {
            FaultKind::Term
        }
        kind => kind,
    }
}

fn crowd_steps(at_ms: u32, duration_ms: u32) -> Vec<Step> {
    let step = |at_ms: u32, action: SoakAction| Step { at_ms, action };
    vec![
        step(at_ms, SoakAction::CrowdArrives),
        step(at_ms + duration_ms, SoakAction::CrowdLeaves),
    ]
}

/// The trouble and target of a kind of fault that scripted days have, too; `None` for faults of a gateway.
fn script_trouble(
    rng: &mut Rng,
    kind: FaultKind,
    day: &Day,
    zone: usize,
) -> Option<(Target, Trouble)> {
    let first_server: u32 = day.zones[..zone].iter().map(|zone| zone.servers).sum();
    let server = first_server + rng.u32(..day.zones[zone].servers);
    let zone_name = ZONES[zone].to_string();
    let server = server.to_string();
    let none = String::new();
    let (target, kind_name, trouble_target, factor) = match kind {
        FaultKind::ZoneLoss => (Target::Zone(zone), "zone_loss", zone_name, 0.0),
        FaultKind::ZoneCut => (Target::Zone(zone), "zone_cut", zone_name, 0.0),
        FaultKind::Drain => (Target::Zone(zone), "drain", server, 0.0),
        FaultKind::Silence => (Target::Zone(zone), "silence", server, 0.0),
        FaultKind::Crash => (Target::AllZones, "crash", none, 0.2),
        FaultKind::Slow => (Target::AllZones, "origin_slow", none, 3.0),
        FaultKind::FastErrors => {
            let path = "/farm.v1.Farm/Sell".to_string();
            (Target::AllZones, "fast_errors", path, 0.34)
        }
        FaultKind::CounterDown => (Target::Counter, "counter_down", none, 0.0),
        FaultKind::CounterSlow => (Target::Counter, "counter_slow", none, 50.0),
        FaultKind::CounterKill => (Target::Counter, "counter_kill", none, 0.0),
        FaultKind::CounterRefusing => (Target::Counter, "counter_refusing", none, 0.0),
        FaultKind::Burst => (Target::Clients, "tenant_burst", "seed".to_string(), 200.0),
        FaultKind::Reconnect => (Target::Clients, "reconnect", none, 0.0),
        FaultKind::RetryAbuse => (Target::Clients, "retry_abuse", none, 2.0),
        FaultKind::LinkCut => (Target::Links, "link_cut", zone_name, 0.0),
        FaultKind::LinkDelay => (Target::Links, "link_delay", zone_name, 40.0),
        FaultKind::LinkReset => (Target::Links, "link_reset", zone_name, 0.0),
        _ => return None,
    };
    let trouble = Trouble {
        kind: kind_name.to_string(),
        target: trouble_target,
        factor,
        ..Trouble::default()
    };
    Some((target, trouble))
}

fn trouble_steps(day: &Day, trouble: Trouble) -> anyhow::Result<Vec<Step>> {
    let day = Day {
        troubles: vec![trouble],
        ..day.clone()
    };
    let as_step = |timed: TimedAction| Step {
        at_ms: timed.at_ms,
        action: SoakAction::Day(timed.action),
    };
    // The product's counter keeps its counts over a restart: the command that empties the stand-in is left out.
    let is_supported = |timed: &TimedAction| !matches!(&timed.action, ScriptAction::Counter(command) if command == "empty");
    let actions = script::day_actions(&day)?.into_iter().filter(is_supported);
    Ok(actions.map(as_step).collect())
}
