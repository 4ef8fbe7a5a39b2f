//! How a request with a bound was placed.

/// How a request with a bound was placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// At a backend server below the bound.
    InTime,
    /// At the fullest backend server that takes requests, as none was below the bound.
    Overflow,
}
