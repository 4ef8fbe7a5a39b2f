//! One request and what its process has under way.

/// A write of a claim on its way to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct WriteInFlight {
    pub op: u8,
    pub claim: u32,
    pub expected: u8,
}

/// A dispatch that the call machine asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Dispatch {
    None,
    /// Asked for; the process may pause here.
    Asked {
        attempt: u8,
        before: u8,
    },
    /// Sent to the service.
    Sent {
        attempt: u8,
        until: u8,
        ran: bool,
    },
}

/// What the caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Told {
    Nothing,
    Done,
    Replayed,
    NotRun,
    Unknown,
    InProgress,
    KeyReused,
}

/// How far the process is with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Progress {
    NotSent,
    Running,
    Over,
}

/// One request and what its process has under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Slot {
    pub progress: Progress,
    /// Number of the call machine.
    pub call: u32,
    pub write: Option<WriteInFlight>,
    pub read: Option<u8>,
    /// Slot whose holder the membership is asked about.
    pub check: Option<u8>,
    pub dispatch: Dispatch,
    pub told: Told,
    /// Executions of the service for this request.
    pub ran: u8,
}

impl Slot {
    pub(super) const fn new() -> Self {
        Self {
            progress: Progress::NotSent,
            call: 0,
            write: None,
            read: None,
            check: None,
            dispatch: Dispatch::None,
            told: Told::Nothing,
            ran: 0,
        }
    }
}
