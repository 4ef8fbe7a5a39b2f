//! The experiments.

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

/// Runs experiments; all of them without a choice.
///
/// # Errors
///
/// Returns an error if an experiment does not exist or cannot be carried out.
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
