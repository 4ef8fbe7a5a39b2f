//! The share of a client account in the recent requests for a model.

/// How the recent requests of a client account compare to the mean of the active accounts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AccountShare {
    /// So few that its requests are never put behind others.
    Low,
    /// Near its fair share.
    Fair,
    /// Above its fair share.
    Excess,
}
