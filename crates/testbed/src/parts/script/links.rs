//! Troubles of links between sites as acts.

use super::{zone_of, Act, Timed, CLIENTS};
use anyhow::bail;
use chalkdeck_proto::chalkdeck::lab::v1::{Day, Trouble};

/// The acts of a trouble whose kind begins with `link_`. The target names a zone, for all its links to others, or two;
/// the first may be `clients`.
pub(super) fn acts(day: &Day, t: &Trouble) -> anyhow::Result<Vec<Timed>> {
    if !day.links {
        bail!("expected 'links: true' in the day");
    }
    let which = match t.target.split_once('>') {
        Some((from, to)) => {
            if from != CLIENTS {
                zone_of(day, from)?;
            }
            zone_of(day, to)?;
            format!("from={from}&to={to}")
        }
        None => {
            zone_of(day, &t.target)?;
            format!("from={}&both=1", t.target)
        }
    };
    let on = match t.kind.as_str() {
        "link_delay" => format!("delay_ms={}&jitter_ms={}", t.factor, t.factor / 2.0),
        "link_loss" => format!("loss={}", t.factor),
        "link_cut" => "cut=1".to_string(),
        "link_trickle" => format!("trickle={}", t.factor),
        "link_reset" => {
            return Ok(vec![Timed {
                at: t.at_ms,
                act: Act::Links(format!("{which}&reset=1")),
            }]);
        }
        other => bail!("'{other}' is no kind of a link's trouble"),
    };
    let act = |at: u32, word: String| Timed {
        at,
        act: Act::Links(format!("{which}&{word}")),
    };
    Ok(vec![
        act(t.at_ms, on),
        act(t.at_ms + t.for_ms, "heal=1".to_string()),
    ])
}
