//! Counts of backend servers by why they are not candidates.

/// Number of backend servers that serve a request, and why they are not candidates, for
/// logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CandidateCounts {
    /// Backend servers that serve the request.
    pub serving: usize,
    /// Those that the request was sent to before.
    pub tried: usize,
    /// Those that failed or stopped responding recently.
    pub suspected: usize,
    /// Those that asked for a pause that still applies.
    pub paused: usize,
    /// Those at this entry host's share of the limit on new work.
    pub at_bound: usize,
    /// Those that named a limit of which this entry host has used its part.
    pub at_server_limit: usize,
    /// Those that are full, counting the requests of this and other entry hosts.
    pub full: usize,
}
