//! A day with a lost site as one SVG on one time axis: load by site, refusals by class, states, worth beside the
//! planner's line.

use crate::audit::sites::{Seen, SiteDay, SLOT};
use crate::common::event_log::CallOutcome;
use anyhow::Context;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::path::Path;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Line = (String, Vec<(f64, f64)>);

/// States from the bottom of their panel up.
const STATES: [&str; 6] = [
    "held out",
    "lost",
    "cut off from here",
    "returning",
    "doubtful",
    "serving",
];

/// Draws it. Errors name the file.
pub fn svg(path: &Path, day: &SiteDay) -> anyhow::Result<()> {
    draw(path, day).with_context(|| path.display().to_string())
}

fn draw(path: &Path, day: &SiteDay) -> anyhow::Result<()> {
    let root = SVGBackend::new(path, (960, 920)).into_drawing_area();
    root.fill(&WHITE)?;
    let panels = root.split_evenly((4, 1));
    let seconds = f64::from(day.day.seconds);
    panel(
        &panels[0],
        seconds,
        "load by site, as a part of its capacity",
        &load(day),
    )?;
    panel(
        &panels[1],
        seconds,
        "refused calls a second, by class",
        &refused(day),
    )?;
    panel(&panels[2], seconds, &states_caption(day), &states(day))?;
    panel(
        &panels[3],
        seconds,
        "worth a second served in time, and the planner's optimum",
        &worth(day)?,
    )?;
    root.present()?;
    Ok(())
}

fn slots(day: &SiteDay) -> usize {
    (f64::from(day.day.seconds) / SLOT) as usize
}

fn at(slot: usize) -> f64 {
    (slot as f64 + 0.5) * SLOT
}

fn in_slot(day: &SiteDay, slot: usize) -> impl Iterator<Item = &Seen> {
    let from = slot as f64 * SLOT;
    day.calls
        .iter()
        .filter(move |c| c.at >= from && c.at < from + SLOT)
}

fn load(day: &SiteDay) -> Vec<Line> {
    let of = |zone: usize| {
        let points =
            (0..slots(day)).map(|s| (at(s), day.arrived[zone][s] / SLOT / day.capacity(zone)));
        (day.day.zones[zone].name.clone(), points.collect())
    };
    (0..day.day.zones.len()).map(of).collect()
}

fn refused(day: &SiteDay) -> Vec<Line> {
    let classes = day.day.gateway.iter().flat_map(|g| &g.classes).enumerate();
    let of = |(class, c): (usize, &chalkdeck_proto::chalkdeck::config::v1::Class)| {
        let count = |s: usize| {
            let those =
                in_slot(day, s).filter(|c| c.class == class && c.end == Some(CallOutcome::Refused));
            (at(s), those.count() as f64 / SLOT)
        };
        (c.name.clone(), (0..slots(day)).map(count).collect())
    };
    classes.map(of).collect()
}

fn states_caption(day: &SiteDay) -> String {
    let names: Vec<String> = STATES
        .iter()
        .enumerate()
        .map(|(i, s)| format!("{i} {s}"))
        .collect();
    format!(
        "{} as gateways see it: {}",
        day.day.zones[day.zone].name,
        names.join(", ")
    )
}

/// Each gateway a little apart from the next, so that lines do not hide each other.
fn states(day: &SiteDay) -> Vec<Line> {
    let name = &day.day.zones[day.zone].name;
    let gateways = day.day.gateways as usize;
    let of = |gateway: usize| {
        let points = day
            .statuses
            .iter()
            .filter(|s| s.1 == gateway)
            .filter_map(|(t, _, status)| {
                let state = &status.sites.iter().find(|s| s.site == *name)?.state;
                let place = STATES.iter().position(|s| s == state)?;
                Some((*t, place as f64 + 0.6 * gateway as f64 / gateways as f64))
            });
        (format!("gateway {gateway}"), points.collect())
    };
    (0..gateways).map(of).collect()
}

fn worth(day: &SiteDay) -> anyhow::Result<Vec<Line>> {
    let (mut served, mut best) = (Vec::new(), Vec::new());
    for slot in 0..slots(day) {
        let calls: Vec<&Seen> = in_slot(day, slot).collect();
        let lost = at(slot) > day.begin && at(slot) < day.end;
        served.push((
            at(slot),
            calls
                .iter()
                .filter(|c| c.in_time)
                .map(|c| c.worth)
                .sum::<f64>()
                / SLOT,
        ));
        best.push((at(slot), day.optimum(&calls, SLOT, lost)?));
    }
    Ok(vec![
        ("served".to_string(), served),
        ("optimum".to_string(), best),
    ])
}

fn panel(area: &Area, seconds: f64, caption: &str, lines: &[Line]) -> anyhow::Result<()> {
    let most = lines
        .iter()
        .flat_map(|l| &l.1)
        .map(|p| p.1)
        .fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(48)
        .caption(caption, ("sans-serif", 14))
        .build_cartesian_2d(0.0..seconds, 0.0..most * 1.05)?;
    chart
        .configure_mesh()
        .light_line_style(TRANSPARENT)
        .draw()?;
    for (i, (name, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let series = chart.draw_series(LineSeries::new(
            points.iter().copied(),
            color.stroke_width(2),
        ))?;
        if lines.len() <= 6 {
            series.label(name).legend(move |(x, y)| {
                PathElement::new(vec![(x, y), (x + 14, y)], color.stroke_width(2))
            });
        }
    }
    if lines.len() <= 6 {
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .border_style(BLACK)
            .draw()?;
    }
    Ok(())
}
