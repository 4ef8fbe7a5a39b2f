//! What a report of a backend server adds to what is known of it.

/// What a report adds to what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEffect {
    /// The report is of another incarnation or from before what is known, which stays.
    Older,
    /// The host is in the known group, at the count of the report.
    Confirmed,
    /// The report replaces the known group, its state, the model or the weights.
    Replaced,
}
