//! Cells of the matrix and their totals.

use std::fmt;
use std::thread;

use crate::{Column, Fault, Verdict};

/// One cell: a fault, or a pair of faults, during one step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cell {
    /// The faults.
    pub faults: Vec<Fault>,
    /// The step.
    pub step: String,
    /// What the cell came to.
    pub verdict: Verdict,
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let faults: Vec<&str> = self.faults.iter().map(|fault| fault.as_str()).collect();
        write!(f, "{} {} {}", faults.join("+"), self.step, self.verdict)
    }
}

/// Number of cells by verdict.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Cells whose checks all passed.
    pub held: usize,
    /// Cells of which a check failed.
    pub red: usize,
    /// Cells whose fault has nothing to do with the step.
    pub not_applicable: usize,
}

impl fmt::Display for Totals {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let cells = self.held + self.red + self.not_applicable;
        write!(
            f,
            "{cells} cells, {} held, {} red, {} not applicable",
            self.held, self.red, self.not_applicable
        )
    }
}

/// Every cell of the matrix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Matrix {
    /// The cells, column by column.
    pub cells: Vec<Cell>,
}

impl Matrix {
    /// Runs every fault, and every pair that a column names, during every step.
    ///
    /// # Panics
    ///
    /// Panics if a cell panics.
    #[must_use]
    pub fn run(columns: &[&dyn Column], threads: usize) -> Self {
        let work = cells_to_run(columns);
        let mut cells = Vec::with_capacity(work.len());
        for batch in work.chunks(threads.max(1)) {
            thread::scope(|scope| {
                let running: Vec<_> = batch
                    .iter()
                    .map(|(column, faults)| scope.spawn(move || run_cell(*column, faults)))
                    .collect();
                for handle in running {
                    cells.push(handle.join().expect("a cell panicked"));
                }
            });
        }
        Self { cells }
    }

    /// Counts the cells by verdict.
    #[must_use]
    pub fn totals(&self) -> Totals {
        let mut totals = Totals::default();
        for cell in &self.cells {
            match cell.verdict {
                Verdict::Held(_) => totals.held += 1,
                Verdict::Red(_) => totals.red += 1,
                Verdict::NotApplicable(_) => totals.not_applicable += 1,
            }
        }
        totals
    }
}

fn cells_to_run<'a>(columns: &[&'a dyn Column]) -> Vec<(&'a dyn Column, Vec<Fault>)> {
    let mut work = Vec::new();
    for &column in columns {
        let singles = Fault::ALL.iter().map(|&fault| vec![fault]);
        let pairs = column.pairs().into_iter().map(|pair| pair.to_vec());
        work.extend(singles.chain(pairs).map(|faults| (column, faults)));
    }
    work
}

fn run_cell(column: &dyn Column, faults: &[Fault]) -> Cell {
    Cell {
        faults: faults.to_vec(),
        step: column.step(),
        verdict: column.run(faults),
    }
}
