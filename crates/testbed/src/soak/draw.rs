//! Draws the world and the faults of a seed.

use super::faults::{gateway_steps, Action, DrawnFault, FaultKind, Step, Target};
use crate::parts::script::{self, Act, Timed, MESSAGE};
use anyhow::Context;
use chalkdeck_proto::chalkdeck::lab::v1::{Day, Trouble};
use chalkdeck_proto::text;
use fastrand::Rng;

/// Nothing happens before this, in milliseconds: clients connect.
const FIRST_FAULT_MS: u32 = 500;
/// The least and the most faults that are looked for.
const FAULTS: std::ops::RangeInclusive<usize> = 4..=9;
/// Draws until a fault finds its target free.
const MAX_DRAWS: usize = 60;
/// How long what is stopped or dead stays so, in milliseconds.
const PAUSE_MS: std::ops::Range<u32> = 200..1_500;
/// How long faults that are no gateway's last, in milliseconds.
const SPAN_MS: std::ops::Range<u32> = 600..3_000;
/// Zones of `days/soak.txtpb`.
const ZONES: [&str; 3] = ["north", "middle", "south"];

/// What a seed plays.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// The seed.
    pub seed: u64,
    /// Gateways, servers, counter and load.
    pub day: Day,
    /// The faults, by their times.
    pub faults: Vec<DrawnFault>,
}

impl SoakPlan {
    /// One line about the world.
    pub fn world(&self) -> String {
        let servers: u32 = self.day.zones.iter().map(|zone| zone.servers).sum();
        let counter = if self.day.own_counter {
            "own counter"
        } else {
            "stand-in counter"
        };
        let mut world = format!(
            "{} gateways, {servers} servers, {counter}",
            self.day.gateways
        );
        if self.day.links {
            world += ", links";
        }
        if self.day.own_keeper {
            world += ", coordinator";
        }
        world
    }
}

/// Draws what a seed plays in so many seconds, without some kinds of faults. The other faults stay as they are.
///
/// # Errors
/// The day that comes with the program is not sound.
pub fn draw(seed: u64, seconds: u32, without: &[FaultKind]) -> anyhow::Result<SoakPlan> {
    let mut rng = Rng::with_seed(seed);
    let day = draw_world(&mut rng, seed, seconds)?;
    let mut faults: Vec<DrawnFault> = Vec::new();
    let wanted = rng.usize(FAULTS);
    for _ in 0..MAX_DRAWS {
        if faults.len() == wanted {
            break;
        }
        let fault = draw_fault(&mut rng, &day)?;
        let in_time = fault.until_ms + FIRST_FAULT_MS <= seconds * 1_000;
        if in_time && faults.iter().all(|other| may_both_be(other, &fault)) {
            faults.push(fault);
        }
    }
    faults.retain(|fault| !without.contains(&fault.kind));
    faults.sort_by_key(|fault| fault.at_ms);
    Ok(SoakPlan { seed, day, faults })
}

fn draw_world(rng: &mut Rng, seed: u64, seconds: u32) -> anyhow::Result<Day> {
    let source = include_str!("../../days/soak.txtpb");
    let mut day: Day =
        text::parse(MESSAGE, source).map_err(|error| anyhow::anyhow!("the soak's day: {error}"))?;
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

fn may_both_be(one: &DrawnFault, other: &DrawnFault) -> bool {
    let apart = one.until_ms < other.at_ms || other.until_ms < one.at_ms;
    apart || !one.target.excludes(other.target)
}

fn draw_fault(rng: &mut Rng, day: &Day) -> anyhow::Result<DrawnFault> {
    let kind = FaultKind::ALL[rng.usize(..FaultKind::ALL.len())];
    let kind = playable(kind, day);
    let at_ms = rng.u32(FIRST_FAULT_MS..day.seconds.max(2) * 1_000);
    let gateway = rng.usize(..day.gateways as usize);
    let zone = rng.usize(..ZONES.len());
    let pause_ms = rng.u32(PAUSE_MS);
    let span_ms = rng.u32(SPAN_MS);
    let (target, steps) = match kind {
        FaultKind::Crowd => (Target::Clients, crowd_steps(at_ms, span_ms)),
        kind => match trouble_of(rng, kind, day, zone) {
            Some((target, mut trouble)) => {
                (trouble.at_ms, trouble.for_ms) = (at_ms, span_ms);
                (target, trouble_steps(day, trouble)?)
            }
            None => {
                let steps = gateway_steps(kind, gateway, at_ms, pause_ms);
                (Target::Gateway(gateway), steps)
            }
        },
    };
    let until_ms = steps.iter().map(|step| step.at_ms).max().unwrap_or(at_ms);
    Ok(DrawnFault {
        kind,
        target,
        at_ms,
        until_ms,
        steps,
    })
}

/// What a world has no part for is another fault there: the project's counter can only be killed or fall silent, and without links
/// none has faults.
fn playable(kind: FaultKind, day: &Day) -> FaultKind {
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

fn crowd_steps(at_ms: u32, span_ms: u32) -> Vec<Step> {
    let step = |at_ms: u32, action: Action| Step { at_ms, action };
    vec![
        step(at_ms, Action::CrowdArrives),
        step(at_ms + span_ms, Action::CrowdLeaves),
    ]
}

/// Faults that days know, too; `None`: it is one of a gateway.
fn trouble_of(rng: &mut Rng, kind: FaultKind, day: &Day, zone: usize) -> Option<(Target, Trouble)> {
    let before: u32 = day.zones[..zone].iter().map(|zone| zone.servers).sum();
    let server = before + rng.u32(..day.zones[zone].servers);
    let zone_name = ZONES[zone].to_string();
    let server = server.to_string();
    let none = String::new();
    let (target, name, what, factor) = match kind {
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
        kind: name.to_string(),
        target: what,
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
    let as_step = |timed: Timed| Step {
        at_ms: timed.at,
        action: Action::Day(timed.act),
    };
    // The project's own counter has its counts when it is back.
    let is_playable = |timed: &Timed| !matches!(&timed.act, Act::Counter(word) if word == "empty");
    let acts = script::script(&day)?.into_iter().filter(is_playable);
    Ok(acts.map(as_step).collect())
}
