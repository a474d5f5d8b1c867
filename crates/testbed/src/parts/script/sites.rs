//! Troubles of whole sites as acts.

use super::{zone_of, Act, Timed};
use anyhow::bail;
use chalkdeck_proto::chalkdeck::lab::v1::{Day, Trouble};

/// The acts of a trouble whose kind begins with `site_`.
pub(super) fn acts(day: &Day, t: &Trouble) -> anyhow::Result<Vec<Timed>> {
    let zone = zone_of(day, &t.target)?;
    let (begin, end) = (t.at_ms, t.at_ms + t.for_ms);
    let span = |first: Vec<Act>, last: Vec<Act>| {
        let at = |at: u32| move |act: Act| Timed { at, act };
        first
            .into_iter()
            .map(at(begin))
            .chain(last.into_iter().map(at(end)))
            .collect::<Vec<_>>()
    };
    let gateways = || (0..day.gateways as usize).filter(|g| g % day.zones.len() == zone);
    let with_counter = day.counter_zone == t.target;
    Ok(match t.kind.as_str() {
        "site_loss" => {
            let counter = |act: Act| with_counter.then_some(act);
            let mut first: Vec<Act> = vec![Act::KillCell(zone)];
            first.extend(
                gateways()
                    .map(Act::KillGateway)
                    .chain(counter(Act::KillCounter)),
            );
            let mut last: Vec<Act> = counter(Act::StartCounter).into_iter().collect();
            last.extend([Act::StartCell(zone), Act::ListCell(zone, true)]);
            last.extend(gateways().map(Act::StartGateway));
            let mut acts = span(first, last);
            if t.factor >= 0.0 && (t.factor as u32) < t.for_ms {
                acts.push(Timed {
                    at: begin + t.factor as u32,
                    act: Act::ListCell(zone, false),
                });
            }
            acts
        }
        "site_stop" => {
            let all = |stalled: bool| {
                let mut acts = vec![Act::StallCell(zone, stalled)];
                acts.extend(gateways().map(|g| Act::Stall(g, stalled)));
                let word = if stalled { "silent=1" } else { "silent=0" };
                acts.extend(with_counter.then(|| Act::Counter(word.to_string())));
                acts
            };
            span(all(true), all(false))
        }
        "site_half" => {
            let before: u32 = day.zones[..zone].iter().map(|z| z.servers).sum();
            let half = |word: &str| {
                let servers = before..before + day.zones[zone].servers.div_ceil(2);
                servers
                    .map(|s| Act::Server(s as usize, word.to_string()))
                    .collect()
            };
            span(half("down=1"), half("down=0"))
        }
        "site_slow" => span(
            vec![Act::Cell(zone, format!("slow={}", t.factor))],
            vec![Act::Cell(zone, "slow=1".into())],
        ),
        "site_cut" => cuts(day, t, "both")?,
        "site_cut_out" => cuts(day, t, "there")?,
        "site_cut_in" => cuts(day, t, "back")?,
        "site_drain" => span(
            vec![Act::Operator("drain".into(), zone)],
            vec![Act::Operator("let-back".into(), zone)],
        ),
        "site_hold" => span(
            vec![Act::Operator("hold".into(), zone)],
            vec![Act::Operator("let-back".into(), zone)],
        ),
        other => bail!("'{other}' is no kind of a site's trouble"),
    })
}

/// The site's links to all others, cut and healed in turns where it flaps.
fn cuts(day: &Day, t: &Trouble, way: &str) -> anyhow::Result<Vec<Timed>> {
    if !day.links {
        bail!("expected 'links: true' in the day");
    }
    let word = |on: u32| Act::Links(format!("from={}&both=1&way={way}&cut={on}", t.target));
    let (begin, end, each) = (t.at_ms, t.at_ms + t.for_ms, t.factor as u32);
    let flips = t.for_ms.checked_div(each).unwrap_or(1).max(1);
    let mut acts: Vec<Timed> = (0..flips)
        .map(|i| Timed {
            at: begin + i * each,
            act: word(1 - i % 2),
        })
        .collect();
    acts.push(Timed {
        at: end,
        act: word(0),
    });
    Ok(acts)
}
