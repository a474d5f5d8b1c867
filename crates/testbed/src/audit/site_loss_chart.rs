//! Draws a run in which a site is lost as an SVG of four panels over time: load by site, refusals by class, the site's
//! state as each gateway sees it, and the worth served next to the planner's optimum.

use crate::audit::site_loss::{CallRecord, SiteLossRun, SLOT_S};
use crate::common::event_log::CallOutcome;
use anyhow::Context;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::path::Path;

type Panel<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Series = (String, Vec<(f64, f64)>);

/// States of a site, from the bottom of their panel to its top.
const STATES: [&str; 6] = [
    "held out",
    "lost",
    "cut off from here",
    "returning",
    "doubtful",
    "serving",
];

/// Writes the chart to an SVG file. Errors name the file.
pub fn write_chart(path: &Path, run: &SiteLossRun) -> anyhow::Result<()> {
    draw(path, run).with_context(|| path.display().to_string())
}

fn draw(path: &Path, run: &SiteLossRun) -> anyhow::Result<()> {
    let root = SVGBackend::new(path, (960, 920)).into_drawing_area();
    root.fill(&WHITE)?;
    let panels = root.split_evenly((4, 1));
    let seconds = f64::from(run.day.seconds);
    draw_panel(
        &panels[0],
        seconds,
        "load by site, as a part of its capacity",
        &load_by_site(run),
    )?;
    draw_panel(
        &panels[1],
        seconds,
        "refused calls a second, by class",
        &refused_by_class(run),
    )?;
    draw_panel(
        &panels[2],
        seconds,
        &states_caption(run),
        &states_by_gateway(run),
    )?;
    draw_panel(
        &panels[3],
        seconds,
        "worth a second served in time, and the planner's optimum",
        &worth_and_optimum(run)?,
    )?;
    root.present()?;
    Ok(())
}

fn slot_count(run: &SiteLossRun) -> usize {
    (f64::from(run.day.seconds) / SLOT_S) as usize
}

fn slot_middle_s(slot: usize) -> f64 {
    (slot as f64 + 0.5) * SLOT_S
}

fn calls_in_slot(run: &SiteLossRun, slot: usize) -> impl Iterator<Item = &CallRecord> {
    let start_s = slot as f64 * SLOT_S;
    run.calls
        .iter()
        .filter(move |c| c.sent_s >= start_s && c.sent_s < start_s + SLOT_S)
}

fn load_by_site(run: &SiteLossRun) -> Vec<Series> {
    let series_of = |zone: usize| {
        let points = (0..slot_count(run)).map(|s| {
            (
                slot_middle_s(s),
                run.arrived_work_s[zone][s] / SLOT_S / run.capacity(zone),
            )
        });
        (run.day.zones[zone].name.clone(), points.collect())
    };
    (0..run.day.zones.len()).map(series_of).collect()
}

fn refused_by_class(run: &SiteLossRun) -> Vec<Series> {
    let classes = run.day.gateway.iter().flat_map(|g| &g.classes).enumerate();
    let series_of = |(class, c): (usize, &chalkdeck_proto::chalkdeck::config::v1::Class)| {
        let count = |s: usize| {
            let refused = calls_in_slot(run, s)
                .filter(|c| c.class == class && c.outcome == Some(CallOutcome::Refused));
            (slot_middle_s(s), refused.count() as f64 / SLOT_S)
        };
        (c.name.clone(), (0..slot_count(run)).map(count).collect())
    };
    classes.map(series_of).collect()
}

fn states_caption(run: &SiteLossRun) -> String {
    let names: Vec<String> = STATES
        .iter()
        .enumerate()
        .map(|(i, s)| format!("{i} {s}"))
        .collect();
    format!(
        "{} as gateways see it: {}",
        run.day.zones[run.lost_zone].name,
        names.join(", ")
    )
}

/// The state of the lost site as each gateway sees it. The curves are shifted slightly, so that none hides another.
fn states_by_gateway(run: &SiteLossRun) -> Vec<Series> {
    let name = &run.day.zones[run.lost_zone].name;
    let gateways = run.day.gateways as usize;
    let series_of = |gateway: usize| {
        let points = run
            .statuses
            .iter()
            .filter(|s| s.1 == gateway)
            .filter_map(|(t, _, status)| {
                let state = &status.sites.iter().find(|s| s.site == *name)?.state;
                let level = STATES.iter().position(|s| s == state)?;
                Some((*t, level as f64 + 0.6 * gateway as f64 / gateways as f64))
            });
        (format!("gateway {gateway}"), points.collect())
    };
    (0..gateways).map(series_of).collect()
}

fn worth_and_optimum(run: &SiteLossRun) -> anyhow::Result<Vec<Series>> {
    let (mut served, mut optimum) = (Vec::new(), Vec::new());
    for slot in 0..slot_count(run) {
        let calls: Vec<&CallRecord> = calls_in_slot(run, slot).collect();
        let is_site_lost =
            slot_middle_s(slot) > run.loss_start_s && slot_middle_s(slot) < run.loss_end_s;
        served.push((
            slot_middle_s(slot),
            calls
                .iter()
                .filter(|c| c.is_on_time)
                .map(|c| c.worth)
                .sum::<f64>()
                / SLOT_S,
        ));
        optimum.push((
            slot_middle_s(slot),
            run.optimum(&calls, SLOT_S, is_site_lost)?,
        ));
    }
    Ok(vec![
        ("served".to_string(), served),
        ("optimum".to_string(), optimum),
    ])
}

fn draw_panel(panel: &Panel, seconds: f64, caption: &str, series: &[Series]) -> anyhow::Result<()> {
    let max_value = series
        .iter()
        .flat_map(|l| &l.1)
        .map(|p| p.1)
        .fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(panel)
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(48)
        .caption(caption, ("sans-serif", 14))
        .build_cartesian_2d(0.0..seconds, 0.0..max_value * 1.05)?;
    chart
        .configure_mesh()
        .light_line_style(TRANSPARENT)
        .draw()?;
    for (i, (name, points)) in series.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let drawn = chart.draw_series(LineSeries::new(
            points.iter().copied(),
            color.stroke_width(2),
        ))?;
        if series.len() <= 6 {
            drawn.label(name).legend(move |(x, y)| {
                PathElement::new(vec![(x, y), (x + 14, y)], color.stroke_width(2))
            });
        }
    }
    if series.len() <= 6 {
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .border_style(BLACK)
            .draw()?;
    }
    Ok(())
}
