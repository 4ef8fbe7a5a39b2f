//! Error of delivering an answer.

/// Why a part of an answer cannot be delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputError {
    /// The caller disconnected or reads too slowly.
    CallerGone,
    /// There is no memory for what the caller has not taken.
    NoMemory,
}
