//! Output of the measured figures.

use crate::linear_fit::LinearFit;

/// A figure extrapolated to the target size, with its budget.
struct TargetFigure {
    name: String,
    value: f64,
    budget: f64,
    unit: &'static str,
}

/// Prints figures and collects those at the target size for the summary.
#[derive(Default)]
pub struct Report {
    target_figures: Vec<TargetFigure>,
}

impl Report {
    /// Prints one figure.
    pub fn print_figure(&mut self, name: &str, value: f64, unit: &str) {
        println!("figure  {name}: {value:.3} {unit}");
    }

    /// Prints one figure and whether it meets its goal, an upper bound.
    pub fn print_goal(&mut self, name: &str, value: f64, goal: f64, unit: &'static str) {
        let verdict = if value <= goal { "met" } else { "MISSED" };
        println!("goal    {name}: {value:.3} {unit}, goal {goal:.3}: {verdict}");
    }

    /// Prints measured points and returns the line fitted to them.
    pub fn print_slope(
        &mut self,
        name: &str,
        per: &str,
        points: &[(f64, f64)],
        unit: &str,
    ) -> LinearFit {
        let fit = LinearFit::least_squares(points);
        let points: Vec<String> = points
            .iter()
            .map(|(x, y)| format!("{x:.0}: {y:.3}"))
            .collect();
        println!(
            "slope   {name}: {:.5} {unit} per {per}, intercept {:.3}, spread {:.3} ({})",
            fit.slope,
            fit.intercept,
            fit.max_residual,
            points.join(", ")
        );
        fit
    }

    /// Prints a figure extrapolated to the target size and whether it fits its budget.
    pub fn print_target(&mut self, name: &str, value: f64, budget: f64, unit: &'static str) {
        let verdict = if value <= budget {
            "fits"
        } else {
            "DOES NOT FIT"
        };
        println!("target  {name}: {value:.2} {unit}, budget {budget:.2}: {verdict}");
        self.target_figures.push(TargetFigure {
            name: name.to_owned(),
            value,
            budget,
            unit,
        });
    }

    /// Prints the number of figures at the target size and those that exceed their budget.
    pub fn print_summary(&self) {
        let over_budget: Vec<&TargetFigure> = self
            .target_figures
            .iter()
            .filter(|t| t.value > t.budget)
            .collect();
        println!(
            "{} figures at the target, {} over budget",
            self.target_figures.len(),
            over_budget.len()
        );
        for target in over_budget {
            println!(
                "  over: {} {:.2} {}",
                target.name, target.value, target.unit
            );
        }
    }
}
