//! A state of the gate model.

/// Which order an engine follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Follows {
    Nothing,
    /// The order of the table with this index.
    Table(u8),
}

/// What an engine reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Report {
    pub host: u8,
    pub incarnation: u8,
    pub sequence: u8,
    pub follows: Follows,
}

/// A report on its way to the entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct ReportInFlight {
    pub report: Report,
    /// Last tick at which it may arrive.
    pub until: u8,
}

/// A report that the entry host took for news.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Heard {
    pub report: Report,
    pub tick: u8,
}

/// An engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Engine {
    pub up: bool,
    pub incarnation: u8,
    pub sequence: u8,
    pub follows: Follows,
    /// Tick at which it last followed each table.
    pub followed_at: [Option<u8>; 2],
}

/// A state of the gate model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GateWorld {
    pub(super) tick: u8,
    pub(super) engines: Vec<Engine>,
    /// Index of the table in the store.
    pub(super) stored: u8,
    /// Index of the table that the entry host knows.
    pub(super) known: u8,
    pub(super) in_flight: Vec<ReportInFlight>,
    pub(super) heard: Vec<Heard>,
    pub(super) failures: u8,
    pub(super) reports: u8,
    pub(super) orders: u8,
    pub(super) open: bool,
    /// The gate is open although a member was missing for longer than the bound.
    pub(super) open_too_long: bool,
}
