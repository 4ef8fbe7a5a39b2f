//! Control plane overhead as a function of the number of entry hosts and of engines.

use std::path::Path;
use std::time::Duration;

use geranium_fakes::system::{DomainSize, System};

use crate::measure_error::MeasureError;
use crate::process_stats::ProcessStats;
use crate::report::Report;

/// Number of entry hosts in each step.
const ENTRY_HOST_STEPS: [usize; 4] = [2, 4, 8, 16];

/// Number of engines in each step.
const ENGINE_STEPS: [usize; 4] = [4, 16, 32, 64];

/// Time for the system to become idle before a measurement.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// Duration of one measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(8);

/// Entry hosts per failure domain at the target size: 400 in 27 domains.
const TARGET_ENTRY_HOSTS: f64 = 15.0;

/// Engines per failure domain at the target size: 1,100 in 27 domains.
const TARGET_ENGINES: f64 = 41.0;

/// Control plane budget per host, in percent of a core and in MiB.
const BUDGET_PERCENT: f64 = 4.0;
const BUDGET_MIB: f64 = 64.0;

/// Resource usage of an idle system.
///
/// Processor time and memory are means over the entry hosts; the platform calls are the total.
struct IdleUsage {
    cpu_percent: f64,
    mib: f64,
    platform_calls_per_s: f64,
}

/// Measures idle systems of several sizes and extrapolates their usage to the target size.
pub async fn run(geraniumd: &Path, report: &mut Report) -> Result<(), MeasureError> {
    let by_hosts = measure_steps(geraniumd, report, &ENTRY_HOST_STEPS, |n| (n, 8)).await?;
    let by_engines = measure_steps(geraniumd, report, &ENGINE_STEPS, |n| (2, n)).await?;
    let column = |points: &[(f64, IdleUsage)], select: fn(&IdleUsage) -> f64| -> Vec<(f64, f64)> {
        points.iter().map(|(x, idle)| (*x, select(idle))).collect()
    };
    let cpu_hosts = report.print_slope(
        "processor",
        "entry host",
        &column(&by_hosts, |i| i.cpu_percent),
        "% of a core",
    );
    let mib_hosts =
        report.print_slope("memory", "entry host", &column(&by_hosts, |i| i.mib), "MiB");
    report.print_slope(
        "platform calls",
        "entry host",
        &column(&by_hosts, |i| i.platform_calls_per_s),
        "calls/s",
    );
    let cpu_engines = report.print_slope(
        "processor",
        "engine",
        &column(&by_engines, |i| i.cpu_percent),
        "% of a core",
    );
    let mib_engines =
        report.print_slope("memory", "engine", &column(&by_engines, |i| i.mib), "MiB");
    let cpu = cpu_hosts.value_at(TARGET_ENTRY_HOSTS) + cpu_engines.slope * (TARGET_ENGINES - 8.0);
    let mib = mib_hosts.value_at(TARGET_ENTRY_HOSTS) + mib_engines.slope * (TARGET_ENGINES - 8.0);
    report.print_target("processor of control", cpu, BUDGET_PERCENT, "% of a core");
    report.print_target("memory at rest", mib, BUDGET_MIB, "MiB");
    Ok(())
}

async fn measure_steps(
    geraniumd: &Path,
    report: &mut Report,
    steps: &[usize],
    size: impl Fn(usize) -> (usize, usize),
) -> Result<Vec<(f64, IdleUsage)>, MeasureError> {
    let mut points = Vec::new();
    for &step in steps {
        let (entry_hosts, engines) = size(step);
        let idle = measure_idle(geraniumd, entry_hosts, engines).await?;
        let name = format!("{entry_hosts} entry hosts, {engines} engines, ");
        report.print_figure(&format!("{name}processor"), idle.cpu_percent, "% of a core");
        report.print_figure(&format!("{name}memory"), idle.mib, "MiB");
        report.print_figure(
            &format!("{name}platform calls"),
            idle.platform_calls_per_s,
            "calls/s",
        );
        points.push((step as f64, idle));
    }
    Ok(points)
}

/// Starts a system of the given size and measures its usage when idle.
async fn measure_idle(
    geraniumd: &Path,
    entry_hosts: usize,
    engines: usize,
) -> Result<IdleUsage, MeasureError> {
    let domain = DomainSize {
        name: "lima-1",
        entry_hosts,
        engines,
    };
    let system = System::start(geraniumd, &[domain], |cfg| cfg.warm_after = 1).await;
    let replicas = engines as u32 / 2;
    system.apply_model(&[("lima-1", replicas)], 2).await;
    system.wait_serving("lima-1", replicas as usize).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let before = read_process_stats(&system)?;
    let calls_before = platform_calls(&system);
    tokio::time::sleep(MEASUREMENT_TIME).await;
    let after = read_process_stats(&system)?;
    let calls_after = platform_calls(&system);
    let n = system.entries.len() as f64;
    let cpu_percent = after
        .iter()
        .zip(&before)
        .map(|(a, b)| a.cpu_percent_since(b))
        .sum::<f64>()
        / n;
    let mib = after
        .iter()
        .map(|stats| stats.resident_bytes as f64)
        .sum::<f64>()
        / n
        / 1_048_576.0;
    let platform_calls_per_s = (calls_after - calls_before) as f64 / MEASUREMENT_TIME.as_secs_f64();
    Ok(IdleUsage {
        cpu_percent,
        mib,
        platform_calls_per_s,
    })
}

fn read_process_stats(system: &System) -> Result<Vec<ProcessStats>, MeasureError> {
    system
        .entries
        .iter()
        .map(|entry| ProcessStats::read(entry.pid()))
        .collect()
}

/// Returns the number of calls that the platform has received.
pub fn platform_calls(system: &System) -> u64 {
    system.platform.stats().calls.values().sum()
}
