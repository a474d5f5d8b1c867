//! Draws cases as an SVG: one bar for each case, which stacks the calls within the quotas that are served, by class, and those that are
//! rejected.

use crate::scenario::SiteLossCase;
use crate::table::title;
use anyhow::Context;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::{
    Cartesian2d, ChartBuilder, ChartContext, Color, IntoDrawingArea, Palette, Palette99, Rectangle,
    SVGBackend, ShapeStyle, BLACK, WHITE,
};
use std::path::Path;

/// Width of the picture. Lengths are in pixels unless stated otherwise.
const WIDTH: u32 = 960;
/// Height of the picture without its rows.
const BASE_HEIGHT: u32 = 80;
/// Height of the row of a case: a bar and its gaps.
const ROW_HEIGHT: u32 = 34;
const MARGIN: u32 = 12;
const X_LABEL_HEIGHT: u32 = 28;
const Y_LABEL_WIDTH: u32 = 200;
const CAPTION: &str = "calls a second inside quotas: served by class, refused in grey";
const CAPTION_SIZE: u32 = 16;
/// The gap above and below a bar, as a fraction of the row.
const BAR_GAP: f64 = 0.15;
/// The x-axis ends at this many times the longest bar.
const X_AXIS_STRETCH: f64 = 1.02;
/// Grid lines for each row; only those at the middle of a row have a label.
const GRID_LINES_PER_ROW: usize = 4;
/// Maximum distance, as a fraction of a row, between the row's middle and the grid line with its label.
const LABEL_TOLERANCE: f64 = 0.01;
/// Width of a class's color sample in the legend.
const LEGEND_SAMPLE_WIDTH: i32 = 12;

type Chart<'a> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;
type Bar = Rectangle<(f64, f64)>;

/// Draws all cases into a file.
///
/// # Errors
/// The file cannot be written; the error names it.
pub fn write_svg(path: &Path, cases: &[SiteLossCase]) -> anyhow::Result<()> {
    draw(path, cases).with_context(|| path.display().to_string())
}

fn draw(path: &Path, cases: &[SiteLossCase]) -> anyhow::Result<()> {
    let height = BASE_HEIGHT + ROW_HEIGHT * cases.len() as u32;
    let root = SVGBackend::new(path, (WIDTH, height)).into_drawing_area();
    root.fill(&WHITE)?;
    let longest = cases.iter().map(offered_calls).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .margin(MARGIN)
        .x_label_area_size(X_LABEL_HEIGHT)
        .y_label_area_size(Y_LABEL_WIDTH)
        .caption(CAPTION, ("sans-serif", CAPTION_SIZE))
        .build_cartesian_2d(0.0..longest * X_AXIS_STRETCH, 0.0..cases.len() as f64)?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(GRID_LINES_PER_ROW * cases.len() + 1)
        .y_label_formatter(&|y: &f64| row_label(cases, *y))
        .draw()?;
    draw_served(&mut chart, cases)?;
    chart.draw_series(rejected_bars(cases))?;
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}

/// Draws the served calls: in each row, the bar of a class starts where that of the class before ends.
fn draw_served(chart: &mut Chart, cases: &[SiteLossCase]) -> anyhow::Result<()> {
    let classes = classes(cases);
    for (index, class) in classes.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let bars = cases.iter().enumerate().map(|(position, case)| {
            let earlier_classes = &classes[..index];
            let start: f64 = earlier_classes
                .iter()
                .map(|earlier| served_calls_of_class(case, earlier))
                .sum();
            let end = start + served_calls_of_class(case, class);
            bar(row_of_case(cases, position), start, end, color.filled())
        });
        chart
            .draw_series(bars)?
            .label(*class)
            .legend(move |(x, y)| {
                let corners = [
                    (x, y - LEGEND_SAMPLE_WIDTH / 3),
                    (x + LEGEND_SAMPLE_WIDTH, y + LEGEND_SAMPLE_WIDTH / 3),
                ];
                Rectangle::new(corners, color.filled())
            });
    }
    Ok(())
}

fn rejected_bars(cases: &[SiteLossCase]) -> Vec<Bar> {
    let bar_of = |(position, case): (usize, &SiteLossCase)| {
        let style = BLACK.mix(0.25).filled();
        bar(
            row_of_case(cases, position),
            served_calls(case),
            offered_calls(case),
            style,
        )
    };
    cases.iter().enumerate().map(bar_of).collect()
}

/// The classes of all cases in the order of their first use.
fn classes(cases: &[SiteLossCase]) -> Vec<&str> {
    let mut classes: Vec<&str> = Vec::new();
    for outcome in cases.iter().flat_map(|case| &case.outcomes) {
        if !classes.contains(&outcome.class.as_str()) {
            classes.push(&outcome.class);
        }
    }
    classes
}

/// Calls per second within the quotas.
fn offered_calls(case: &SiteLossCase) -> f64 {
    let within_quota = case.outcomes.iter().filter(|o| !o.is_over_quota);
    within_quota.map(|o| o.served + o.rejected).sum()
}

/// Calls per second within the quotas that are served.
fn served_calls(case: &SiteLossCase) -> f64 {
    let within_quota = case.outcomes.iter().filter(|o| !o.is_over_quota);
    within_quota.map(|o| o.served).sum()
}

/// Calls per second of a class within the quotas that are served.
fn served_calls_of_class(case: &SiteLossCase, class: &str) -> f64 {
    let within_quota = case.outcomes.iter().filter(|o| !o.is_over_quota);
    within_quota
        .filter(|o| o.class == class)
        .map(|o| o.served)
        .sum()
}

/// The row of a case, counted from the bottom; the first case is at the top.
fn row_of_case(cases: &[SiteLossCase], position: usize) -> usize {
    cases.len() - 1 - position
}

/// The title of the case whose row has its middle at `y`; empty elsewhere.
fn row_label(cases: &[SiteLossCase], y: f64) -> String {
    let position = cases.len() as f64 - y - 0.5;
    let is_middle = (position.round() - position).abs() < LABEL_TOLERANCE && position > -0.1;
    if !is_middle {
        return String::new();
    }
    cases
        .get(position.round() as usize)
        .map_or(String::new(), title)
}

fn bar(row: usize, start: f64, end: f64, style: ShapeStyle) -> Bar {
    let bottom = row as f64 + BAR_GAP;
    let top = row as f64 + 1.0 - BAR_GAP;
    Rectangle::new([(start, bottom), (end, top)], style)
}
