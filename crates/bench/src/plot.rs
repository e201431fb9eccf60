//! Plots the service that each workspace received over time.

use std::path::Path;

use eyre::{Result, eyre};
use plotters::prelude::*;

use crate::analysis::{ServiceRun, received::service_received};

const PLOT_SIZE_PX: (u32, u32) = (1000, 600);
const MARGIN_PX: u32 = 12;
const LABEL_AREA_PX: u32 = 60;
const US_PER_S: f64 = 1e6;
/// Lines with at least twice as many points are thinned out to about this number. More
/// points than the width in pixels would only enlarge the file.
const TARGET_POINTS_PER_LINE: usize = 1000;

/// Writes an SVG file with one line per workspace: cumulative cost divided by share.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn plot_service_received(
    path: &Path,
    title: &str,
    names: &[String],
    run: &ServiceRun,
) -> Result<()> {
    let plot_error = |error: &dyn std::error::Error| eyre!("{}: {error}", path.display());
    let received = service_received(run, []);
    let start_us = received.times_us.first().copied().unwrap_or(0);
    let seconds = |time_us: u64| (time_us - start_us) as f64 / US_PER_S;
    let last_s = received.times_us.last().map_or(1.0, |last| seconds(*last));
    let max_service = received
        .service
        .iter()
        .filter_map(|service| service.last())
        .fold(1.0, |a, b| f64::max(a, *b));
    let area = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
    area.fill(&WHITE).map_err(|error| plot_error(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(MARGIN_PX)
        .x_label_area_size(LABEL_AREA_PX / 2)
        .y_label_area_size(LABEL_AREA_PX)
        .build_cartesian_2d(0.0..last_s, 0.0..max_service)
        .map_err(|error| plot_error(&error))?;
    let mut mesh = chart.configure_mesh();
    let mesh = mesh.x_desc("time [s]").y_desc("service received [cost / share]");
    mesh.draw().map_err(|error| plot_error(&error))?;
    let step = (received.times_us.len() / TARGET_POINTS_PER_LINE).max(1);
    for (number, (name, service)) in names.iter().zip(&received.service).enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let points = received.times_us.iter().zip(service).step_by(step);
        let points = points.map(|(time_us, service)| (seconds(*time_us), *service));
        let series = chart.draw_series(LineSeries::new(points, colour));
        let series = series.map_err(|error| plot_error(&error))?;
        series.label(name).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    let mut legend = chart.configure_series_labels();
    let legend = legend.position(SeriesLabelPosition::UpperLeft).background_style(WHITE.mix(0.8));
    legend.draw().map_err(|error| plot_error(&error))?;
    area.present().map_err(|error| plot_error(&error))
}
