//! Reads and validates a scripted day, and turns its troubles (scheduled faults) into timed actions.

use anyhow::{bail, Context};
use chalkdeck_proto::chalkdeck::lab::v1::{Day, Trouble};
use chalkdeck_proto::text;
use std::path::Path;

mod links;
mod sites;

/// Full name of the protobuf message of a day.
pub const DAY_MESSAGE: &str = "chalkdeck.lab.v1.Day";
/// The site of all clients. A relay command applies to the clients' links only if it names this site.
pub const CLIENTS_SITE: &str = "clients";
/// How long after the loss of a zone or server the endpoint list drops it.
const LIST_DELAY_MS: u32 = 1_000;

/// One action on the processes of a run. Cells are given by the index of their zone, and names of variants go into the event
/// log.
#[derive(Clone, Debug, PartialEq)]
pub enum ScriptAction {
    /// A control command to the counter.
    Counter(String),
    KillCounter,
    StartCounter,
    /// A control command to the servers of a zone.
    Cell(usize, String),
    /// A control command to one server, by its index over all cells.
    Server(usize, String),
    KillCell(usize),
    StartCell(usize),
    /// Adds the servers of a zone to the endpoint list, or removes them.
    ListCell(usize, bool),
    /// Sets the state of one server in the endpoint list, by its index over all cells.
    List(usize, ListStatus),
    KillGateway(usize),
    StartGateway(usize),
    /// Stops a gateway by SIGSTOP (true), or resumes it by SIGCONT.
    Stall(usize, bool),
    /// Stops or resumes the servers of a zone in the same way.
    StallCell(usize, bool),
    /// A control command to a relay, which injects faults into links.
    Links(String),
    /// An operator's command on a zone, sent to all gateways: `drain`, `hold` or `let-back`.
    Operator(String, usize),
    /// A control command to the load.
    Load(String),
}

/// A server's state in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListStatus {
    Healthy,
    Draining,
    Gone,
    /// Healthy, with the present time as its start.
    Fresh,
}

/// An action and its time since the start of the load, in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedAction {
    pub at_ms: u32,
    pub action: ScriptAction,
}

/// Reads a day from a file. Errors name the file, and the line where there is one.
pub fn read(path: &Path) -> anyhow::Result<Day> {
    let source = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    let day: Day = text::parse(DAY_MESSAGE, &source)
        .map_err(|e| anyhow::anyhow!("{}:{}: {}", path.display(), e.line, e.message))?;
    if day.gateway.is_none() || day.load.is_none() || day.farm.is_none() || day.zones.is_empty() {
        bail!(
            "{}:1: expected gateway, load, farm and at least one of zones",
            path.display()
        );
    }
    day_actions(&day)?;
    Ok(day)
}

pub(super) fn zone_index(day: &Day, name: &str) -> anyhow::Result<usize> {
    day.zones
        .iter()
        .position(|z| z.name == name)
        .with_context(|| format!("expected a zone, found '{name}'"))
}

fn parse_index(what: &str, text: &str, below: usize) -> anyhow::Result<usize> {
    let n: usize = text
        .parse()
        .with_context(|| format!("expected a {what}'s number, found '{text}'"))?;
    if n >= below {
        bail!("expected a {what}'s number below {below}, found {n}");
    }
    Ok(n)
}

/// All actions of a day, ordered by time. Fails if a trouble has an unknown kind or an invalid target.
pub fn day_actions(day: &Day) -> anyhow::Result<Vec<TimedAction>> {
    let mut actions = Vec::new();
    for (i, trouble) in day.troubles.iter().enumerate() {
        let of_trouble = trouble_actions(day, trouble)
            .with_context(|| format!("troubles[{i}] ({})", trouble.kind))?;
        actions.extend(of_trouble);
    }
    actions.sort_by_key(|a| a.at_ms);
    Ok(actions)
}

/// Moves actions that are due after the end of the load to its end, so that every fault is reverted. Drops commands to the
/// load from 100 ms before its end on, when the load no longer takes them.
pub fn clip_to_duration(actions: Vec<TimedAction>, end_ms: u32) -> Vec<TimedAction> {
    let is_too_late_for_load =
        |a: &TimedAction| a.at_ms + 100 >= end_ms && matches!(a.action, ScriptAction::Load(_));
    let kept = actions.into_iter().filter(|a| !is_too_late_for_load(a));
    kept.map(|a| TimedAction {
        at_ms: a.at_ms.min(end_ms),
        action: a.action,
    })
    .collect()
}

/// Whether a relay command applies to the links of the clients.
pub fn is_for_client_links(command: &str) -> bool {
    command.split('&').any(|pair| {
        pair.split_once('=')
            .is_some_and(|(_, site)| site == CLIENTS_SITE)
    })
}

fn trouble_actions(day: &Day, t: &Trouble) -> anyhow::Result<Vec<TimedAction>> {
    let servers: usize = day.zones.iter().map(|z| z.servers as usize).sum();
    let gateways = day.gateways as usize;
    let (begin_ms, end_ms) = (t.at_ms, t.at_ms + t.for_ms);
    let both = |first: ScriptAction, last: ScriptAction| {
        vec![
            TimedAction {
                at_ms: begin_ms,
                action: first,
            },
            TimedAction {
                at_ms: end_ms,
                action: last,
            },
        ]
    };
    // The fraction `factor` of the servers, at least one, spread evenly over the zones.
    let affected_servers = || {
        let count = ((t.factor * servers as f64).round() as usize).clamp(1, servers);
        (0..count)
            .map(move |k| k * servers / count)
            .collect::<Vec<_>>()
    };
    let on_affected_servers = |on: &str, off: &str| {
        let each = |i: usize| {
            both(
                ScriptAction::Server(i, on.to_string()),
                ScriptAction::Server(i, off.to_string()),
            )
        };
        affected_servers()
            .into_iter()
            .flat_map(each)
            .collect::<Vec<_>>()
    };
    let counter = |on: &str, off: &str| {
        both(
            ScriptAction::Counter(on.into()),
            ScriptAction::Counter(off.into()),
        )
    };
    let load = |on: String, off: &str| both(ScriptAction::Load(on), ScriptAction::Load(off.into()));
    Ok(match t.kind.as_str() {
        "counter_down" => counter("silent=1", "silent=0&empty"),
        "counter_kill" => both(ScriptAction::KillCounter, ScriptAction::StartCounter),
        "counter_refusing" => counter("refusing=1", "refusing=0"),
        "counter_slow" => counter(&format!("slow_ms={}", t.factor), "slow_ms=0"),
        "counter_empty" => vec![TimedAction {
            at_ms: begin_ms,
            action: ScriptAction::Counter("empty".into()),
        }],
        "zone_loss" => {
            let zone = zone_index(day, &t.target)?;
            let steps = [
                (begin_ms, ScriptAction::KillCell(zone)),
                (
                    begin_ms + LIST_DELAY_MS.min(t.for_ms / 2),
                    ScriptAction::ListCell(zone, false),
                ),
                (end_ms, ScriptAction::StartCell(zone)),
                (end_ms + 1, ScriptAction::ListCell(zone, true)),
            ];
            steps
                .map(|(at_ms, action)| TimedAction { at_ms, action })
                .into()
        }
        "zone_cut" => {
            let zone = zone_index(day, &t.target)?;
            both(
                ScriptAction::Cell(zone, "silent=1".into()),
                ScriptAction::Cell(zone, "silent=0".into()),
            )
        }
        "crash" => {
            let crash = |i: usize| {
                [
                    (begin_ms, ScriptAction::Server(i, "down=1".into())),
                    (
                        begin_ms + LIST_DELAY_MS.min(t.for_ms / 2),
                        ScriptAction::List(i, ListStatus::Gone),
                    ),
                    (end_ms, ScriptAction::Server(i, "down=0".into())),
                    (end_ms + 1, ScriptAction::List(i, ListStatus::Fresh)),
                ]
                .map(|(at_ms, action)| TimedAction { at_ms, action })
            };
            affected_servers().into_iter().flat_map(crash).collect()
        }
        "drain" => {
            let server = parse_index("server", &t.target, servers)?;
            both(
                ScriptAction::List(server, ListStatus::Draining),
                ScriptAction::List(server, ListStatus::Healthy),
            )
        }
        "silence" => {
            let server = parse_index("server", &t.target, servers)?;
            both(
                ScriptAction::Server(server, "silent=1".into()),
                ScriptAction::Server(server, "silent=0".into()),
            )
        }
        "fast_errors" => on_affected_servers(
            &format!("errors=0.5&errors_path={}", t.target),
            "errors=0&errors_path=",
        ),
        "class_fail" => on_affected_servers(
            &format!("errors=1&errors_path={}", t.target),
            "errors=0&errors_path=",
        ),
        "origin_slow" => {
            let slow = |zone| {
                both(
                    ScriptAction::Cell(zone, format!("slow={}", t.factor)),
                    ScriptAction::Cell(zone, "slow=1".into()),
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
            let gateway = parse_index("gateway", &t.target, gateways)?;
            load(format!("shift={gateway}"), "shift=-1")
        }
        "reconnect" => vec![TimedAction {
            at_ms: begin_ms,
            action: ScriptAction::Load("reconnect".into()),
        }],
        "retry_abuse" => load(
            format!("naive_retries={}", t.factor.max(1.0)),
            "naive_retries=0",
        ),
        "balancer_stall" => {
            let gateway = parse_index("gateway", &t.target, gateways)?;
            both(
                ScriptAction::Stall(gateway, true),
                ScriptAction::Stall(gateway, false),
            )
        }
        "gateway_kill" => {
            let gateway = parse_index("gateway", &t.target, gateways)?;
            both(
                ScriptAction::KillGateway(gateway),
                ScriptAction::StartGateway(gateway),
            )
        }
        kind if kind.starts_with("site_") => sites::actions(day, t)?,
        kind if kind.starts_with("link_") => links::actions(day, t)?,
        other => bail!("unknown kind '{other}'"),
    })
}

#[cfg(test)]
mod tests;
