//! What a scripted day asks for: its message read and checked, its troubles as acts by the clock.

use anyhow::{bail, Context};
use chalkdeck_proto::chalkdeck::lab::v1::{Day, Trouble};
use chalkdeck_proto::text;
use std::path::Path;

mod links;
mod sites;

/// The name of the day's message.
pub const MESSAGE: &str = "chalkdeck.lab.v1.Day";
/// Where all clients stand; words to the relays mean their links only where they name it.
pub const CLIENTS: &str = "clients";
/// How late the list tells that a zone is lost, and that one is back.
const LIST_LATE: u32 = 1_000;

/// One thing to do at its time.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    Counter(String),
    KillCounter,
    StartCounter,
    Cell(usize, String),
    /// A command to one server, by its number over all cells.
    Server(usize, String),
    KillCell(usize),
    StartCell(usize),
    ListCell(usize, bool),
    List(usize, Listed),
    KillGateway(usize),
    StartGateway(usize),
    Stall(usize, bool),
    StallCell(usize, bool),
    /// A word to the relay between the parties.
    Links(String),
    /// An operator's word on a zone, to all gateways: drain, hold, let-back.
    Operator(String, usize),
    Load(String),
}

/// How the list tells a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    Healthy,
    Draining,
    Gone,
    /// Healthy, and started just now.
    Fresh,
}

/// An act with its time in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Timed {
    pub at: u32,
    pub act: Act,
}

/// Reads a day. Errors name the line.
pub fn read(path: &Path) -> anyhow::Result<Day> {
    let source = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    let day: Day = text::parse(MESSAGE, &source)
        .map_err(|e| anyhow::anyhow!("{}:{}: {}", path.display(), e.line, e.message))?;
    if day.gateway.is_none() || day.load.is_none() || day.farm.is_none() || day.zones.is_empty() {
        bail!(
            "{}:1: expected gateway, load, farm and at least one of zones",
            path.display()
        );
    }
    script(&day)?;
    Ok(day)
}

pub(super) fn zone_of(day: &Day, name: &str) -> anyhow::Result<usize> {
    day.zones
        .iter()
        .position(|z| z.name == name)
        .with_context(|| format!("expected a zone, found '{name}'"))
}

fn number(what: &str, text: &str, below: usize) -> anyhow::Result<usize> {
    let n: usize = text
        .parse()
        .with_context(|| format!("expected a {what}'s number, found '{text}'"))?;
    if n >= below {
        bail!("expected a {what}'s number below {below}, found {n}");
    }
    Ok(n)
}

/// All acts of a day in the order of their times. Errors: a trouble that is not known or has a wrong target.
pub fn script(day: &Day) -> anyhow::Result<Vec<Timed>> {
    let mut acts = Vec::new();
    for (i, trouble) in day.troubles.iter().enumerate() {
        let of =
            acts_of(day, trouble).with_context(|| format!("troubles[{i}] ({})", trouble.kind))?;
        acts.extend(of);
    }
    acts.sort_by_key(|a| a.at);
    Ok(acts)
}

/// The acts that a day of that length has time for. What sets a process right again is done at the end at the latest; the
/// load is told nothing any more by then.
pub fn within(acts: Vec<Timed>, end: u32) -> Vec<Timed> {
    let late_for_load = |a: &Timed| a.at + 100 >= end && matches!(a.act, Act::Load(_));
    let kept = acts.into_iter().filter(|a| !late_for_load(a));
    kept.map(|a| Timed {
        at: a.at.min(end),
        act: a.act,
    })
    .collect()
}

/// Whether a word to the relays is about the clients' links.
pub fn of_clients(word: &str) -> bool {
    word.split('&').any(|pair| {
        pair.split_once('=')
            .is_some_and(|(_, site)| site == CLIENTS)
    })
}

fn acts_of(day: &Day, t: &Trouble) -> anyhow::Result<Vec<Timed>> {
    let servers: usize = day.zones.iter().map(|z| z.servers as usize).sum();
    let gateways = day.gateways as usize;
    let (begin, end) = (t.at_ms, t.at_ms + t.for_ms);
    let both = |first: Act, last: Act| {
        vec![
            Timed {
                at: begin,
                act: first,
            },
            Timed { at: end, act: last },
        ]
    };
    // A part of the servers, spread over the zones, at least one.
    let some = || {
        let count = ((t.factor * servers as f64).round() as usize).clamp(1, servers);
        (0..count)
            .map(move |k| k * servers / count)
            .collect::<Vec<_>>()
    };
    let on_some = |on: &str, off: &str| {
        let each = |i: usize| {
            both(
                Act::Server(i, on.to_string()),
                Act::Server(i, off.to_string()),
            )
        };
        some().into_iter().flat_map(each).collect::<Vec<_>>()
    };
    let counter = |on: &str, off: &str| both(Act::Counter(on.into()), Act::Counter(off.into()));
    let load = |on: String, off: &str| both(Act::Load(on), Act::Load(off.into()));
    Ok(match t.kind.as_str() {
        "counter_down" => counter("silent=1", "silent=0&empty"),
        "counter_kill" => both(Act::KillCounter, Act::StartCounter),
        "counter_refusing" => counter("refusing=1", "refusing=0"),
        "counter_slow" => counter(&format!("slow_ms={}", t.factor), "slow_ms=0"),
        "counter_empty" => vec![Timed {
            at: begin,
            act: Act::Counter("empty".into()),
        }],
        "zone_loss" => {
            let zone = zone_of(day, &t.target)?;
            let steps = [
                (begin, Act::KillCell(zone)),
                (
                    begin + LIST_LATE.min(t.for_ms / 2),
                    Act::ListCell(zone, false),
                ),
                (end, Act::StartCell(zone)),
                (end + 1, Act::ListCell(zone, true)),
            ];
            steps.map(|(at, act)| Timed { at, act }).into()
        }
        "zone_cut" => {
            let zone = zone_of(day, &t.target)?;
            both(
                Act::Cell(zone, "silent=1".into()),
                Act::Cell(zone, "silent=0".into()),
            )
        }
        "crash" => {
            let life = |i: usize| {
                [
                    (begin, Act::Server(i, "down=1".into())),
                    (
                        begin + LIST_LATE.min(t.for_ms / 2),
                        Act::List(i, Listed::Gone),
                    ),
                    (end, Act::Server(i, "down=0".into())),
                    (end + 1, Act::List(i, Listed::Fresh)),
                ]
                .map(|(at, act)| Timed { at, act })
            };
            some().into_iter().flat_map(life).collect()
        }
        "drain" => {
            let server = number("server", &t.target, servers)?;
            both(
                Act::List(server, Listed::Draining),
                Act::List(server, Listed::Healthy),
            )
        }
        "silence" => {
            let server = number("server", &t.target, servers)?;
            both(
                Act::Server(server, "silent=1".into()),
                Act::Server(server, "silent=0".into()),
            )
        }
        "fast_errors" => on_some(
            &format!("errors=0.5&errors_path={}", t.target),
            "errors=0&errors_path=",
        ),
        "class_fail" => on_some(
            &format!("errors=1&errors_path={}", t.target),
            "errors=0&errors_path=",
        ),
        "origin_slow" => {
            let slow = |zone| {
                both(
                    Act::Cell(zone, format!("slow={}", t.factor)),
                    Act::Cell(zone, "slow=1".into()),
                )
            };
            (0..day.zones.len()).flat_map(slow).collect()
        }
        "tenant_burst" | "hot_caller" | "hot_key" => {
            let plan = if t.target.is_empty() {
                String::new()
            } else {
                format!("&burst_plan={}", t.target)
            };
            load(
                format!("burst_rate={}&burst_count=1{plan}", t.factor),
                "burst_rate=0",
            )
        }
        "shift" => {
            let gateway = number("gateway", &t.target, gateways)?;
            load(format!("shift={gateway}"), "shift=-1")
        }
        "reconnect" => vec![Timed {
            at: begin,
            act: Act::Load("reconnect".into()),
        }],
        "retry_abuse" => load(
            format!("naive_retries={}", t.factor.max(1.0)),
            "naive_retries=0",
        ),
        "balancer_stall" => {
            let gateway = number("gateway", &t.target, gateways)?;
            both(Act::Stall(gateway, true), Act::Stall(gateway, false))
        }
        "gateway_kill" => {
            let gateway = number("gateway", &t.target, gateways)?;
            both(Act::KillGateway(gateway), Act::StartGateway(gateway))
        }
        kind if kind.starts_with("site_") => sites::acts(day, t)?,
        kind if kind.starts_with("link_") => links::acts(day, t)?,
        other => bail!("'{other}' is no kind that can be played here"),
    })
}

#[cfg(test)]
mod tests;
