//! A state of the group model.

use super::facts::OrderFacts;

/// A table that a process has read, with its revision in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct KnownTable {
    pub table: u32,
    pub revision: u8,
}

/// A write of the table on its way to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct TableWrite {
    pub table: u32,
    pub expected: u8,
}

/// A process that may lead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Leader {
    pub known: Option<KnownTable>,
    pub write: Option<TableWrite>,
}

/// An engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Engine {
    /// Highest fencing number seen.
    pub highest: u64,
    /// The order to load that it follows.
    pub follows: Option<OrderFacts>,
    /// No order with a lower fencing number is on its way any more.
    pub barrier: u64,
}

/// Rules that a state breaks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Broken {
    pub table_rules: bool,
    pub fencing_reused: bool,
    pub successor_unaware: bool,
    pub host_in_two_groups: bool,
}

/// A state of the group model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GroupWorld {
    pub(super) stored: KnownTable,
    pub(super) leaders: Vec<Leader>,
    pub(super) engines: Vec<Engine>,
    /// Orders sent so far, sorted; each may arrive any number of times.
    pub(super) sent: Vec<OrderFacts>,
    /// Writes whose answer was given up, but which may still arrive.
    pub(super) stray_writes: Vec<TableWrite>,
    pub(super) lost_answers: u8,
    pub(super) restarts: u8,
    pub(super) amendments: u8,
    pub(super) broken: Broken,
    pub(super) serves: bool,
}
