//! `geranium-measure`: measures latency, throughput and scaling with real processes.
//!
//! `scripts/measure` builds everything in release mode and runs it. Each output line holds one
//! figure, under the heading of the experiment that produced it.

mod experiment;
mod linear_fit;
mod measure_error;
mod process_stats;
mod report;

use std::path::PathBuf;
use std::process::ExitCode;

use geranium_settings::{EXIT_INVALID_SETTINGS, SettingSpec, SettingsReader, render_help};

use measure_error::MeasureError;
use report::Report;

const GERANIUMD: SettingSpec = SettingSpec::new(
    "--geraniumd",
    "PATH",
    "Path of the daemon binary to measure.",
);
const ONLY: SettingSpec = SettingSpec::new(
    "--only",
    "NAME,...",
    "Experiments to run; all of them by default.",
);

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args_os().skip(1).collect();
    match run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e @ MeasureError::Settings(_)) => {
            eprintln!("{e}");
            ExitCode::from(EXIT_INVALID_SETTINGS)
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: Vec<std::ffi::OsString>) -> Result<(), MeasureError> {
    let mut reader = SettingsReader::new(args, |name| std::env::var(name).ok());
    if reader.switch("--help") {
        let names = experiment::NAMES.join(", ");
        print!(
            "geranium-measure\n\n{}\nexperiments: {names}\n",
            render_help(&[GERANIUMD, ONLY])
        );
        return Ok(());
    }
    let geraniumd: Option<PathBuf> = reader.required(&GERANIUMD);
    let only: Vec<String> = reader.list(&ONLY);
    reader.finish()?;
    let runtime = tokio::runtime::Runtime::new().map_err(MeasureError::Runtime)?;
    let mut report = Report::default();
    runtime.block_on(experiment::run(
        &geraniumd.unwrap_or_default(),
        &only,
        &mut report,
    ))?;
    report.print_summary();
    Ok(())
}
