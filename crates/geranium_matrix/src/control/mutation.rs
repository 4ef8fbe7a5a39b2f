//! Guards that can be removed, to show that the checks notice.

/// A guard that is taken out of the drivers and fakes of a rig.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mutation {
    /// Orders go out before their intent is written.
    OrderBeforeIntent,
    /// A write with an unknown outcome is taken for applied.
    AmbiguousTakenForApplied,
    /// Writes replace the table whatever its revision.
    WriteWithoutCompare,
    /// Gates go by the age of reports at the last evaluation only while new ones come.
    GateIgnoresSilence,
    /// Gates do not learn that the failure domain is out of service.
    GateIgnoresDrain,
    /// Gates do not hear that a host leaves.
    GateIgnoresLeaving,
    /// Every order carries the same fencing number.
    FencingConstant,
    /// Releases are sent for groups that still work on requests.
    ReleaseWhileBusy,
    /// Orders are lost and the controller is not asked again.
    OrdersSentOnce,
}

impl Mutation {
    /// Every mutation.
    pub const ALL: &'static [Self] = &[
        Self::OrderBeforeIntent,
        Self::AmbiguousTakenForApplied,
        Self::WriteWithoutCompare,
        Self::GateIgnoresSilence,
        Self::GateIgnoresDrain,
        Self::GateIgnoresLeaving,
        Self::FencingConstant,
        Self::ReleaseWhileBusy,
        Self::OrdersSentOnce,
    ];
}
