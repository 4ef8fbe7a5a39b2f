//! Order in which hosts load weights.

/// Rank of a host that could load weights; a lower one loads sooner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum LoadRank {
    /// Never ran a model and holds no weights.
    Unused,
    /// Another host without a group.
    Spare,
    /// Member of a group; would load the weights of a model that lacks more of its share.
    Donor,
    /// Another member of a group.
    Member,
    /// Member of a group whose model is below its share, or a host without a group whose last
    /// model lacks more of its share than the one that it would load.
    BelowShare,
    /// In a failure domain that is out of service.
    OutOfService,
}
