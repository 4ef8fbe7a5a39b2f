//! The figures of a run.

use crate::fit::Fit;

/// A figure at the target size with what it may be.
struct AtTarget {
    name: String,
    value: f64,
    budget: f64,
    unit: &'static str,
}

/// Collects and prints figures.
#[derive(Default)]
pub struct Report {
    at_target: Vec<AtTarget>,
}

impl Report {
    /// Prints one figure.
    pub fn figure(&mut self, name: &str, value: f64, unit: &str) {
        println!("figure  {name}: {value:.3} {unit}");
    }

    /// Prints one figure beside its goal.
    pub fn goal(&mut self, name: &str, value: f64, goal: f64, unit: &'static str) {
        let verdict = if value <= goal { "met" } else { "MISSED" };
        println!("goal    {name}: {value:.3} {unit}, goal {goal:.3}: {verdict}");
    }

    /// Prints measured points with the line through them.
    pub fn slope(&mut self, name: &str, per: &str, points: &[(f64, f64)], unit: &str) -> Fit {
        let fit = Fit::of(points);
        let points: Vec<String> = points
            .iter()
            .map(|(x, y)| format!("{x:.0}: {y:.3}"))
            .collect();
        println!(
            "slope   {name}: {:.5} {unit} per {per}, intercept {:.3}, spread {:.3} ({})",
            fit.slope,
            fit.intercept,
            fit.spread,
            points.join(", ")
        );
        fit
    }

    /// Prints a figure worked out for the target size.
    pub fn target(&mut self, name: &str, value: f64, budget: f64, unit: &'static str) {
        let verdict = if value <= budget {
            "fits"
        } else {
            "DOES NOT FIT"
        };
        println!("target  {name}: {value:.2} {unit}, budget {budget:.2}: {verdict}");
        self.at_target.push(AtTarget {
            name: name.to_owned(),
            value,
            budget,
            unit,
        });
    }

    /// Prints what does not fit.
    pub fn print_summary(&self) {
        let over: Vec<&AtTarget> = self
            .at_target
            .iter()
            .filter(|t| t.value > t.budget)
            .collect();
        println!(
            "{} figures at the target, {} over budget",
            self.at_target.len(),
            over.len()
        );
        for target in over {
            println!(
                "  over: {} {:.2} {}",
                target.name, target.value, target.unit
            );
        }
    }
}
