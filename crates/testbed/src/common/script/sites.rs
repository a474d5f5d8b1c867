//! Actions of faults of whole sites.

use super::{zone_index, ScriptAction, TimedAction};
use anyhow::bail;
use chalkdeck_proto::chalkdeck::lab::v1::{Day, Trouble};

/// The actions of a trouble whose kind begins with `site_`.
pub(super) fn actions(day: &Day, t: &Trouble) -> anyhow::Result<Vec<TimedAction>> {
    let zone = zone_index(day, &t.target)?;
    let (begin_ms, end_ms) = (t.at_ms, t.at_ms + t.for_ms);
    let span = |first: Vec<ScriptAction>, last: Vec<ScriptAction>| {
        let timed_at = |at_ms: u32| move |action: ScriptAction| TimedAction { at_ms, action };
        first
            .into_iter()
            .map(timed_at(begin_ms))
            .chain(last.into_iter().map(timed_at(end_ms)))
            .collect::<Vec<_>>()
    };
    let gateways = || (0..day.gateways as usize).filter(|g| g % day.zones.len() == zone);
    let has_counter = day.counter_zone == t.target;
    Ok(match t.kind.as_str() {
        "site_loss" => {
            let counter = |action: ScriptAction| has_counter.then_some(action);
            let mut first: Vec<ScriptAction> = vec![ScriptAction::KillCell(zone)];
            first.extend(
                gateways()
                    .map(ScriptAction::KillGateway)
                    .chain(counter(ScriptAction::KillCounter)),
            );
            let mut last: Vec<ScriptAction> =
                counter(ScriptAction::StartCounter).into_iter().collect();
            last.extend([
                ScriptAction::StartCell(zone),
                ScriptAction::ListCell(zone, true),
            ]);
            last.extend(gateways().map(ScriptAction::StartGateway));
            let mut actions = span(first, last);
            if t.factor >= 0.0 && (t.factor as u32) < t.for_ms {
                actions.push(TimedAction {
                    at_ms: begin_ms + t.factor as u32,
                    action: ScriptAction::ListCell(zone, false),
                });
            }
            actions
        }
        "site_stop" => {
            let stall_all = |is_stalled: bool| {
                let mut actions = vec![ScriptAction::StallCell(zone, is_stalled)];
                actions.extend(gateways().map(|g| ScriptAction::Stall(g, is_stalled)));
                let command = if is_stalled { "silent=1" } else { "silent=0" };
                actions.extend(has_counter.then(|| ScriptAction::Counter(command.to_string())));
                actions
            };
            span(stall_all(true), stall_all(false))
        }
        "site_half" => {
            let first_server: u32 = day.zones[..zone].iter().map(|z| z.servers).sum();
            let set_half = |command: &str| {
                let servers = first_server..first_server + day.zones[zone].servers.div_ceil(2);
                servers
                    .map(|s| ScriptAction::Server(s as usize, command.to_string()))
                    .collect()
            };
            span(set_half("down=1"), set_half("down=0"))
        }
        "site_slow" => span(
            vec![ScriptAction::Cell(zone, format!("slow={}", t.factor))],
            vec![ScriptAction::Cell(zone, "slow=1".into())],
        ),
        "site_cut" => cut_actions(day, t, "both")?,
        "site_cut_out" => cut_actions(day, t, "there")?,
        "site_cut_in" => cut_actions(day, t, "back")?,
        "site_drain" => span(
            vec![ScriptAction::Operator("drain".into(), zone)],
            vec![ScriptAction::Operator("let-back".into(), zone)],
        ),
        "site_hold" => span(
            vec![ScriptAction::Operator("hold".into(), zone)],
            vec![ScriptAction::Operator("let-back".into(), zone)],
        ),
        other => bail!("unknown kind of site fault '{other}'"),
    })
}

/// Cuts the site's links to all others in the given direction. With a `factor`, the links flap: they are cut and healed
/// alternately, each for `factor` milliseconds.
fn cut_actions(day: &Day, t: &Trouble, direction: &str) -> anyhow::Result<Vec<TimedAction>> {
    if !day.links {
        bail!("expected 'links: true' in the day");
    }
    let command = |cut: u32| {
        ScriptAction::Links(format!(
            "from={}&both=1&way={direction}&cut={cut}",
            t.target
        ))
    };
    let (begin_ms, end_ms, flap_ms) = (t.at_ms, t.at_ms + t.for_ms, t.factor as u32);
    let commands = t.for_ms.checked_div(flap_ms).unwrap_or(1).max(1);
    let mut actions: Vec<TimedAction> = (0..commands)
        .map(|i| TimedAction {
            at_ms: begin_ms + i * flap_ms,
            action: command(1 - i % 2),
        })
        .collect();
    actions.push(TimedAction {
        at_ms: end_ms,
        action: command(0),
    });
    Ok(actions)
}
