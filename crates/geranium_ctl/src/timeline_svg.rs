//! Rendering of the timeline as SVG.

use geranium_telemetry::Event;
use plotters::prelude::*;

use crate::ctl_error::CtlError;

/// Width and height of the image, in pixels.
const SIZE: (u32, u32) = (1_200, 600);

/// Writes the events to an SVG file, with time on the x axis and one row for each host.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn write(path: &str, events: &[Event]) -> Result<(), CtlError> {
    let mut hosts: Vec<&str> = events.iter().map(|event| event.id.host.as_str()).collect();
    hosts.sort_unstable();
    hosts.dedup();
    let start = events
        .first()
        .map_or(0, |event| event.time.wall.as_millis());
    let end = events.last().map_or(1, |event| event.time.wall.as_millis());
    let span = end.saturating_sub(start).max(1) as f64;
    let points = events.iter().filter_map(|event| {
        let row = hosts
            .iter()
            .position(|host| *host == event.id.host.as_str())?;
        let x = event.time.wall.as_millis().saturating_sub(start) as f64;
        Some((x, row as f64, event.kind as usize))
    });
    draw(path, &hosts, span, points).map_err(CtlError::Output)
}

fn draw(
    path: &str,
    hosts: &[&str],
    span: f64,
    points: impl Iterator<Item = (f64, f64, usize)>,
) -> Result<(), String> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|e| e.to_string())?;
    let rows = -1.0..hosts.len() as f64;
    let mut chart = ChartBuilder::on(&root)
        .caption("events of all entry hosts", ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(120)
        .build_cartesian_2d(0.0..span, rows)
        .map_err(|e| e.to_string())?;
    let host_label = |y: &f64| -> String {
        let row = y.round();
        let exact = (row - y).abs() < f64::EPSILON && row >= 0.0;
        let host = if exact { hosts.get(row as usize) } else { None };
        host.map(|host| (*host).to_owned()).unwrap_or_default()
    };
    chart
        .configure_mesh()
        .x_desc("milliseconds since the first event")
        .y_labels(hosts.len() + 2)
        .y_label_formatter(&host_label)
        .draw()
        .map_err(|e| e.to_string())?;
    let marks = points.map(|(x, y, kind)| Circle::new((x, y), 4, Palette99::pick(kind).filled()));
    chart.draw_series(marks).map_err(|e| e.to_string())?;
    root.present().map_err(|e| e.to_string())
}
