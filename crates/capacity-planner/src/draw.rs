//! Cases as an SVG: one bar each, what is served inside quotas by class, and what is refused on top.

use crate::show::title;
use crate::solve::Case;
use anyhow::Context;
use plotters::prelude::*;
use std::path::Path;

/// Draws all cases. Errors name the file.
pub fn svg(path: &Path, cases: &[Case]) -> anyhow::Result<()> {
    draw(path, cases).with_context(|| path.display().to_string())
}

fn draw(path: &Path, cases: &[Case]) -> anyhow::Result<()> {
    let mut classes: Vec<&str> = Vec::new();
    for s in cases.iter().flat_map(|c| &c.served) {
        if !classes.contains(&s.class.as_str()) {
            classes.push(&s.class);
        }
    }
    let calls = |c: &Case| {
        c.served
            .iter()
            .filter(|s| !s.over)
            .map(|s| s.served + s.refused)
            .sum::<f64>()
    };
    let most = cases.iter().map(calls).fold(1.0, f64::max);
    let root = SVGBackend::new(path, (960, 80 + 34 * cases.len() as u32)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(28)
        .y_label_area_size(200)
        .caption(
            "calls a second inside quotas: served by class, refused in grey",
            ("sans-serif", 16),
        )
        .build_cartesian_2d(0.0..most * 1.02, 0.0..cases.len() as f64)?;
    let label = |y: &f64| {
        let place = cases.len() as f64 - *y - 0.5;
        let near = (place.round() - place).abs() < 0.01 && place > -0.1;
        cases
            .get(place.round() as usize)
            .filter(|_| near)
            .map_or(String::new(), title)
    };
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(4 * cases.len() + 1)
        .y_label_formatter(&label)
        .draw()?;
    for (i, class) in classes.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let bars = cases.iter().enumerate().map(|(row, case)| {
            let of = |c: &str| {
                case.served
                    .iter()
                    .filter(|s| !s.over && s.class == c)
                    .map(|s| s.served)
                    .sum::<f64>()
            };
            let from: f64 = classes[..i].iter().map(|c| of(c)).sum();
            bar(
                cases.len() - 1 - row,
                from,
                from + of(class),
                color.filled(),
            )
        });
        let series = chart.draw_series(bars)?;
        series
            .label(*class)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], color.filled()));
    }
    let refused = cases.iter().enumerate().map(|(row, case)| {
        let served: f64 = case
            .served
            .iter()
            .filter(|s| !s.over)
            .map(|s| s.served)
            .sum();
        bar(
            cases.len() - 1 - row,
            served,
            calls(case),
            BLACK.mix(0.25).filled(),
        )
    });
    chart.draw_series(refused)?;
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}

fn bar(row: usize, from: f64, to: f64, style: ShapeStyle) -> Rectangle<(f64, f64)> {
    Rectangle::new([(from, row as f64 + 0.15), (to, row as f64 + 0.85)], style)
}
