//! `geranium-matrix`: prints the fault matrix, a line a cell.
//!
//! With `--outages` it prints instead what outages of the platform's store cost
//! under each policy; with `--random N` it runs N seeds of random faults and
//! prints those that break a rule; with `--times` it times repairs.

use std::process::ExitCode;
use std::time::Duration;

use geranium_core::group::{DelegatedSpares, NoDelegation};
use geranium_matrix::control::{
    ControlColumn, Measures, OutageCost, OutageFault, RepairTimes, Scenario,
};
use geranium_matrix::request::RequestColumn;
use geranium_matrix::{Column, Fault, Matrix};

/// Cells that run at the same time unless `--threads` says otherwise.
const DEFAULT_THREADS: usize = 2;

/// Lengths of the outages that are compared.
const OUTAGES: [Duration; 2] = [Duration::from_secs(20), Duration::from_secs(60)];

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains("--outages") {
        print_outages();
        return ExitCode::SUCCESS;
    }
    if args.contains("--times") {
        print_times();
        return ExitCode::SUCCESS;
    }
    if let Ok(seeds) = args.value_from_str("--random") {
        return print_random(seeds);
    }
    match args.opt_value_from_str("--threads") {
        Ok(threads) => print_matrix(threads.unwrap_or(DEFAULT_THREADS)),
        Err(e) => {
            eprintln!("geranium-matrix: {e}");
            ExitCode::from(2)
        }
    }
}

fn print_matrix(threads: usize) -> ExitCode {
    let control = ControlColumn::all();
    let request = RequestColumn::all();
    let control = control.iter().map(|c| c as &dyn Column);
    let request = request.iter().map(|c| c as &dyn Column);
    let columns: Vec<&dyn Column> = control.chain(request).collect();
    let matrix = Matrix::run(&columns, threads);
    for cell in &matrix.cells {
        println!("{cell}");
    }
    let totals = matrix.totals();
    println!("{totals}");
    if totals.red > 0 {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn print_random(seeds: u64) -> ExitCode {
    let mut red = 0;
    for seed in 0..seeds {
        let scenario = Scenario::random(seed);
        let result = scenario.run(DelegatedSpares);
        if let Some(violation) = result.violations.first() {
            red += 1;
            println!("seed {seed} {scenario} red {violation}");
        }
    }
    println!("{seeds} seeds, {red} red");
    if red > 0 {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn print_times() {
    println!("milliseconds from a member's death to the gate closed and to the repair ordered");
    let faults = [
        Fault::Nothing,
        Fault::LeaderDies,
        Fault::LeaderPaused,
        Fault::LeaderCutFromEngines,
        Fault::LeaderCutFromStore,
        Fault::DomainCutFromStore,
        Fault::StoreSlow,
    ];
    for checks_fencing in [true, false] {
        for fault in faults {
            println!("{}", RepairTimes::measure(fault, checks_fencing));
        }
    }
}

fn print_outages() {
    println!("outage_s engines fault policy group_downtime_ms stranded_accelerator_s violations");
    for outage in OUTAGES {
        for checks_fencing in [true, false] {
            for &fault in OutageFault::ALL {
                let cost = OutageCost {
                    fault,
                    outage,
                    checks_fencing,
                };
                print_cost(&cost, "frozen", cost.run(NoDelegation));
                print_cost(&cost, "delegated", cost.run(DelegatedSpares));
            }
        }
    }
}

fn print_cost(cost: &OutageCost, policy: &str, (measures, violations): (Measures, usize)) {
    let engines = if cost.checks_fencing {
        "fenced"
    } else {
        "unfenced"
    };
    println!(
        "{} {engines} {} {policy} {} {} {violations}",
        cost.outage.as_secs(),
        cost.fault,
        measures.group_downtime.as_millis(),
        measures.stranded_seconds(),
    );
}
