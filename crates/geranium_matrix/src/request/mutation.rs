//! Guards that can be removed, to show that the checks bite.

/// A guard of the request half that can be removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestMutation {
    /// A call is dispatched while its claim is still being written.
    DispatchBeforeClaim,
    /// The claim of a holder that is thought to be gone is set free.
    Takeover,
    /// A broken connection is taken for one that was never made.
    BrokenTakenForUnsent,
    /// A cut stream is taken for one that ended.
    CutTakenForEnd,
    /// Pieces are taken as they come, whatever their attempt and number.
    PiecesUnnumbered,
    /// A request that crashed two groups is sent to a third.
    CrashesForgotten,
}
