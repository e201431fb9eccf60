//! Plot of the service received per workspace over time.

use std::path::Path;

use eyre::{Result, eyre};
use plotters::prelude::*;

use crate::analysis::{ServiceRun, received::received};

const SIZE: (u32, u32) = (1000, 600);
const MARGIN: u32 = 12;
const LABEL_AREA: u32 = 60;
const US_PER_S: f64 = 1e6;
/// More points than the plot has pixels only enlarge the file.
const MAX_POINTS: usize = 1000;

/// Writes an SVG with one line per workspace: cost divided by share.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn service_received(
    path: &Path,
    title: &str,
    names: &[String],
    run: &ServiceRun,
) -> Result<()> {
    let failed = |error: &dyn std::error::Error| eyre!("{}: {error}", path.display());
    let received = received(run, []);
    let start_us = received.times_us.first().copied().unwrap_or(0);
    let seconds = |time_us: u64| (time_us - start_us) as f64 / US_PER_S;
    let last_s = received.times_us.last().map_or(1.0, |last| seconds(*last));
    let most = received
        .service
        .iter()
        .filter_map(|service| service.last())
        .fold(1.0, |a, b| f64::max(a, *b));
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| failed(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA / 2)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..last_s, 0.0..most)
        .map_err(|error| failed(&error))?;
    let mut mesh = chart.configure_mesh();
    let mesh = mesh.x_desc("time [s]").y_desc("service received [cost / share]");
    mesh.draw().map_err(|error| failed(&error))?;
    let step = (received.times_us.len() / MAX_POINTS).max(1);
    for (number, (name, service)) in names.iter().zip(&received.service).enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let points = received.times_us.iter().zip(service).step_by(step);
        let points = points.map(|(time_us, service)| (seconds(*time_us), *service));
        let series = chart.draw_series(LineSeries::new(points, colour));
        let series = series.map_err(|error| failed(&error))?;
        series.label(name).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    let mut legend = chart.configure_series_labels();
    let legend = legend.position(SeriesLabelPosition::UpperLeft).background_style(WHITE.mix(0.8));
    legend.draw().map_err(|error| failed(&error))?;
    area.present().map_err(|error| failed(&error))
}
