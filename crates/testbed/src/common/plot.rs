//! Line charts over time, as SVG.

use anyhow::Context;
use plotters::prelude::*;
use std::path::Path;

/// One line of a chart.
pub struct Curve {
    pub name: String,
    /// Pairs of time in seconds and value.
    pub points: Vec<(f64, f64)>,
}

/// Writes a chart of the curves to an SVG file, with both axes starting at 0. Errors name the file.
pub fn write_chart(path: &Path, caption: &str, curves: &[Curve]) -> anyhow::Result<()> {
    draw(path, caption, curves).with_context(|| path.display().to_string())
}

fn draw(path: &Path, caption: &str, curves: &[Curve]) -> anyhow::Result<()> {
    let root = SVGBackend::new(path, (900, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let points = || curves.iter().flat_map(|c| &c.points);
    let max_seconds = points().map(|p| p.0).fold(0.1, f64::max);
    let max_value = points().map(|p| p.1).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(56)
        .caption(caption, ("sans-serif", 18))
        .build_cartesian_2d(0.0..max_seconds, 0.0..max_value * 1.05)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    for (i, curve) in curves.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let series = chart.draw_series(LineSeries::new(
            curve.points.iter().copied(),
            color.stroke_width(2),
        ))?;
        series.label(&curve.name).legend(move |(x, y)| {
            PathElement::new(vec![(x, y), (x + 16, y)], color.stroke_width(2))
        });
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
