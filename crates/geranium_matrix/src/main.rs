//! `geranium-matrix`: prints the fault matrix, a line a cell.

use std::process::ExitCode;

use geranium_matrix::control::ControlColumn;
use geranium_matrix::{Column, Matrix};

/// Cells that run at the same time unless `--threads` says otherwise.
const DEFAULT_THREADS: usize = 2;

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    let threads = match args.opt_value_from_str("--threads") {
        Ok(threads) => threads.unwrap_or(DEFAULT_THREADS),
        Err(e) => {
            eprintln!("geranium-matrix: {e}");
            return ExitCode::from(2);
        }
    };
    let control = ControlColumn::all();
    let columns: Vec<&dyn Column> = control.iter().map(|c| c as &dyn Column).collect();
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
