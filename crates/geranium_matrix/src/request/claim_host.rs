//! An entry host of the claim rig.

use geranium_core::time::Timestamp;

use super::EntryFault;

/// An entry host of the claim rig.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ClaimHost {
    pub(super) fault: EntryFault,
    pub(super) paused_until: Option<Timestamp>,
}

impl ClaimHost {
    pub(super) fn is_dead(&self) -> bool {
        self.fault == EntryFault::Dies
    }

    pub(super) fn reaches_store(&self) -> bool {
        !matches!(self.fault, EntryFault::CutFromStore | EntryFault::CutOff)
    }

    pub(super) fn reaches_backends(&self) -> bool {
        !matches!(self.fault, EntryFault::CutFromBackends | EntryFault::CutOff)
    }

    /// Returns whether its peers hear of it.
    pub(super) fn is_heard(&self, now: Timestamp) -> bool {
        let silent = matches!(
            self.fault,
            EntryFault::Dies | EntryFault::CutFromPeers | EntryFault::CutOff
        );
        !silent && self.paused_until.is_none_or(|until| now >= until)
    }

    /// The faults are over; a dead host stays dead.
    pub(super) fn heal(&mut self) {
        if !self.is_dead() {
            self.fault = EntryFault::None;
        }
    }
}
