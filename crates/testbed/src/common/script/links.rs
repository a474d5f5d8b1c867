//! Actions of faults of the links between sites.

use super::{zone_index, ScriptAction, TimedAction, CLIENTS_SITE};
use anyhow::bail;
use chalkdeck_proto::chalkdeck::lab::v1::{Day, Trouble};

/// The actions of a trouble whose kind begins with `link_`. The target is a zone, for all of its links to other zones, or
/// one direction of a link as `FROM>TO`, where FROM may be `clients`.
pub(super) fn actions(day: &Day, t: &Trouble) -> anyhow::Result<Vec<TimedAction>> {
    if !day.links {
        bail!("expected 'links: true' in the day");
    }
    let link = match t.target.split_once('>') {
        Some((from, to)) => {
            if from != CLIENTS_SITE {
                zone_index(day, from)?;
            }
            zone_index(day, to)?;
            format!("from={from}&to={to}")
        }
        None => {
            zone_index(day, &t.target)?;
            format!("from={}&both=1", t.target)
        }
    };
    let command = match t.kind.as_str() {
        "link_delay" => format!("delay_ms={}&jitter_ms={}", t.factor, t.factor / 2.0),
        "link_loss" => format!("loss={}", t.factor),
        "link_cut" => "cut=1".to_string(),
        "link_trickle" => format!("trickle={}", t.factor),
        "link_reset" => {
            return Ok(vec![TimedAction {
                at_ms: t.at_ms,
                action: ScriptAction::Links(format!("{link}&reset=1")),
            }]);
        }
        other => bail!("unknown kind of link fault '{other}'"),
    };
    let timed = |at_ms: u32, command: String| TimedAction {
        at_ms,
        action: ScriptAction::Links(format!("{link}&{command}")),
    };
    Ok(vec![
        timed(t.at_ms, command),
        timed(t.at_ms + t.for_ms, "heal=1".to_string()),
    ])
}
