//! `geranium-matrix`: prints the fault matrix, a line a cell.
//!
//! With `--outages` it prints instead what outages of the platform's store cost
//! under each policy.

use std::process::ExitCode;
use std::time::Duration;

use geranium_core::group::{DelegatedSpares, Frozen};
use geranium_matrix::control::{ControlColumn, Measures, OutageCost, OutageFault};
use geranium_matrix::request::RequestColumn;
use geranium_matrix::{Column, Matrix};

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
                print_cost(&cost, "frozen", cost.run(Frozen));
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
