//! Experiments, each of which starts its own system and reports its figures.

mod claims;
mod config;
mod failure;
mod fleet;
mod latency;
mod load;
mod service;
mod streams;

use std::path::Path;

use crate::measure_error::MeasureError;
use crate::report::Report;

/// Names of the experiments.
pub const NAMES: [&str; 8] = [
    "latency", "load", "streams", "fleet", "config", "failure", "claims", "service",
];

/// Runs the experiments named in `only`, or all of them if it is empty.
///
/// # Errors
///
/// Returns an error if a name is unknown or an experiment fails.
pub async fn run(
    geraniumd: &Path,
    only: &[String],
    report: &mut Report,
) -> Result<(), MeasureError> {
    for name in only {
        if !NAMES.contains(&name.as_str()) {
            return Err(MeasureError::UnknownExperiment(name.clone()));
        }
    }
    let wanted = |name: &str| only.is_empty() || only.iter().any(|only| only == name);
    for name in NAMES.iter().filter(|name| wanted(name)) {
        println!("== {name}");
        match *name {
            "latency" => latency::run(geraniumd, report).await?,
            "load" => load::run(geraniumd, report).await?,
            "streams" => streams::run(geraniumd, report).await?,
            "fleet" => fleet::run(geraniumd, report).await?,
            "config" => config::run(geraniumd, report).await?,
            "failure" => failure::run(geraniumd, report).await?,
            "service" => service::run(geraniumd, report).await?,
            _ => claims::run(geraniumd, report).await?,
        }
    }
    Ok(())
}
