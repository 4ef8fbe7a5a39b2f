//! A group that a routing policy may pick.

/// A group that a routing policy may pick, with the values it decides by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Slot of the group in the group table.
    pub(super) slot: u16,
    /// Estimated number of requests in the group, including those of other entry
    /// hosts.
    pub load: u32,
    /// Number of requests of this entry host in the group.
    pub own_in_flight: u32,
    /// Estimated number of blocks that are queued in the group.
    pub pending_blocks: f32,
    /// Maximum number of concurrent requests in the group.
    pub capacity: u32,
    /// Number of prompt blocks that the group has cached, weighted by the trust in
    /// its cache entries.
    pub cached_blocks: f32,
    /// Number of blocks in the prompt.
    pub blocks: u32,
    /// Time to first token of the group relative to its peers; 1 is normal.
    pub slowdown: f32,
    /// Whether the group is in another failure domain.
    pub remote: bool,
}

impl Candidate {
    /// Returns whether more than the given share of the capacity is in use.
    #[must_use]
    #[inline]
    pub fn exceeds_utilization(&self, share: f32) -> bool {
        self.load as f32 > self.capacity as f32 * share
    }

    /// Returns the share of the capacity that is in use, by the estimated load.
    #[must_use]
    pub fn utilization(&self) -> f32 {
        self.load as f32 / self.capacity.max(1) as f32
    }
}
