//! A state of the configuration model; numbers name versions of the record.

/// What the store holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Stored {
    pub version: Option<u8>,
    pub revision: u8,
}

/// A write of a version on its way to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Write {
    pub version: u8,
    pub expected: u8,
}

/// An entry host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Host {
    /// Version in force.
    pub held: Option<u8>,
    /// Write whose answer is awaited.
    pub write: Option<Write>,
    /// Write whose outcome has to be read back.
    pub unsettled: Option<Write>,
    pub plans: u8,
    /// Version that was in force when the last change was planned.
    pub planned_over: Option<u8>,
}

/// A state of the configuration model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ConfigWorld {
    pub(super) stored: Stored,
    /// Copy from before the last write.
    pub(super) copy: Stored,
    pub(super) hosts: Vec<Host>,
    pub(super) stray_writes: Vec<Write>,
    /// Versions that an operator was told are accepted.
    pub(super) accepted: Vec<u8>,
    pub(super) plans: u8,
    pub(super) lost_answers: u8,
    pub(super) restores: u8,
    pub(super) restarts: u8,
    /// A host replaced the version in force by an older one.
    pub(super) reverted: bool,
    /// A change was accepted that is older than what was in force when it was planned.
    pub(super) accepted_stale: bool,
    /// Two accepted changes know nothing of each other.
    pub(super) forked: bool,
}
