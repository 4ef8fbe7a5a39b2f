//! Outcome of a check.

use std::fmt;

/// Whether a property held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The property held in every state.
    Held,
    /// The shortest sequence of actions to a state where it doesn't hold.
    Violated(Vec<String>),
}

/// The shortest way to a state where a property doesn't hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Name of the model.
    pub model: &'static str,
    /// Name of the property.
    pub property: &'static str,
    /// The actions that lead there.
    pub trace: Vec<String>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let steps = self.trace.len();
        let Self {
            model, property, ..
        } = self;
        writeln!(f, "{model}: {property}: violated after {steps} steps")?;
        write_trace(f, &self.trace)
    }
}

fn write_trace(f: &mut fmt::Formatter<'_>, trace: &[String]) -> fmt::Result {
    for (index, action) in trace.iter().enumerate() {
        writeln!(f, "  {:>2}. {action}", index + 1)?;
    }
    Ok(())
}

/// Outcome for one property.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PropertyReport {
    /// Name of the property.
    pub name: &'static str,
    /// Whether it held.
    pub verdict: Verdict,
}

/// Outcome for one witness.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WitnessReport {
    /// Name of the witness.
    pub name: &'static str,
    /// Depth of the first state that shows it, if there is one.
    pub depth: Option<u32>,
}

/// Outcome of the check of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckReport {
    /// Name of the model.
    pub model: &'static str,
    /// Number of reachable states.
    pub states: usize,
    /// Length of the longest shortest path to a state.
    pub depth: u32,
    /// Outcome for each property.
    pub properties: Vec<PropertyReport>,
    /// Outcome for each witness.
    pub witnesses: Vec<WitnessReport>,
}

impl CheckReport {
    /// Returns whether every property held and every witness was reached.
    #[must_use]
    pub fn passed(&self) -> bool {
        let held = |report: &PropertyReport| report.verdict == Verdict::Held;
        let reached = |report: &WitnessReport| report.depth.is_some();
        self.properties.iter().all(held) && self.witnesses.iter().all(reached)
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            model,
            states,
            depth,
            ..
        } = self;
        for property in &self.properties {
            let name = property.name;
            write!(f, "{model}: {name}: {states} states, depth {depth}: ")?;
            match &property.verdict {
                Verdict::Held => writeln!(f, "held")?,
                Verdict::Violated(trace) => {
                    writeln!(f, "violated after {} steps", trace.len())?;
                    write_trace(f, trace)?;
                }
            }
        }
        for witness in &self.witnesses {
            let name = witness.name;
            match witness.depth {
                Some(depth) => writeln!(f, "{model}: reaches {name}: at depth {depth}")?,
                None => writeln!(f, "{model}: reaches {name}: never")?,
            }
        }
        Ok(())
    }
}
