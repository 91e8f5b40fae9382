//! Charts, as SVG.

use crate::load;
use plotters::prelude::*;
use std::path::Path;

const SIZE: (u32, u32) = (900, 520);
/// Colours that can be told apart by most eyes.
const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
];

/// Latency by percentile, a curve for each arm: the further right, the rarer.
pub fn latencies(path: &Path, title: &str, arms: &[(String, load::Result)]) -> Result<(), String> {
    let most = arms.iter().map(|(_, r)| r.latency.max()).max().unwrap_or(1).max(2) as f64 / 1000.0;
    let least = arms.iter().map(|(_, r)| r.latency.min()).min().unwrap_or(1).max(1) as f64 / 1000.0;
    let draw = || -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::new(path, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 20))
            .margin(16)
            .x_label_area_size(44)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..4.0, (least..most * 1.2).log_scale())?;
        chart
            .configure_mesh()
            .x_desc("percentile")
            .y_desc("ms from the intended start")
            .x_labels(9)
            .x_label_formatter(&|x: &f64| {
                format!("{:.4}", 100.0 * (1.0 - 10f64.powf(-x)))
                    .trim_end_matches('0')
                    .trim_end_matches('.')
                    .to_string()
            })
            .draw()?;
        for ((name, result), colour) in arms.iter().zip(COLOURS.iter().cycle()) {
            let points = (0..=160).map(|i| f64::from(i) / 40.0).map(|x| {
                let value = result.latency.value_at_quantile(1.0 - 10f64.powf(-x));
                (x, value.max(1) as f64 / 1000.0)
            });
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
                .label(format!("{name} ({} served)", result.served))
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        area.present()?;
        Ok(())
    };
    draw().map_err(|e| e.to_string())
}

/// Curves over two axes, each with points of its own.
pub fn lines(
    path: &Path,
    title: &str,
    (x, y): (&str, &str),
    curves: &[(String, Vec<(f64, f64)>)],
) -> Result<(), String> {
    let all = || curves.iter().flat_map(|(_, points)| points);
    let most_x = all().map(|p| p.0).fold(1.0, f64::max);
    let most_y = all().map(|p| p.1).fold(0.001, f64::max) * 1.1;
    let draw = || -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::new(path, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 20))
            .margin(16)
            .x_label_area_size(44)
            .y_label_area_size(72)
            .build_cartesian_2d(0.0..most_x, 0.0..most_y)?;
        chart.configure_mesh().x_desc(x).y_desc(y).draw()?;
        for ((name, points), colour) in curves.iter().zip(COLOURS.iter().cycle()) {
            chart
                .draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)).point_size(3))?
                .label(name.clone())
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        area.present()?;
        Ok(())
    };
    draw().map_err(|e| e.to_string())
}
