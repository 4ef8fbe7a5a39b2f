//! Prompt parts of requests that were answered.

use geranium_core::collections::HashSet;

use crate::prompt_parts::PartId;

/// Number of parts after which the older half is forgotten.
const MAX_RECENT: usize = 4_096;

/// Remembers the prompt parts that were answered last.
#[derive(Clone, Debug, Default)]
pub(super) struct AnsweredParts {
    recent: HashSet<PartId>,
    older: HashSet<PartId>,
}

impl AnsweredParts {
    /// Adds a part.
    pub(super) fn insert(&mut self, part: PartId) {
        self.recent.insert(part);
        if self.recent.len() >= MAX_RECENT {
            self.older = std::mem::take(&mut self.recent);
        }
    }

    /// Returns whether a part is remembered.
    pub(super) fn contains(&self, part: PartId) -> bool {
        self.recent.contains(&part) || self.older.contains(&part)
    }
}
