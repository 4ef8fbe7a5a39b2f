//! A group that a policy may pick.

/// A group that a policy may pick, with the figures that decide.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Position of the group in the router.
    pub(super) slot: u16,
    /// Estimated requests in the group, those of other entry hosts included.
    pub load: u32,
    /// Requests of this entry host in the group.
    pub own_in_flight: u32,
    /// Blocks of work that the group is thought to have before it.
    pub pending_blocks: f32,
    /// Requests that the group bears at a time.
    pub capacity: u32,
    /// Blocks of the prompt that the group is trusted to have cached.
    pub cached_blocks: f32,
    /// Blocks of the prompt.
    pub blocks: u32,
    /// First-token time of the group relative to its peers; 1 is usual.
    pub slowdown: f32,
    /// Whether the group is reached through another failure domain.
    pub remote: bool,
}

impl Candidate {
    /// Returns whether more than a share of the capacity is in use.
    #[must_use]
    #[inline]
    pub fn exceeds_utilization(&self, share: f32) -> bool {
        self.load as f32 > self.capacity as f32 * share
    }

    /// Returns the share of the capacity that is in use.
    #[must_use]
    pub fn utilization(&self) -> f32 {
        self.load as f32 / self.capacity.max(1) as f32
    }
}
