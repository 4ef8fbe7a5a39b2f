//! Recent changes in the number of requests of this entry host in a group.

use std::time::Duration;

use crate::time::Timestamp;

const BUCKETS: usize = 32;
const BUCKET_MICROS: u64 = 50_000;

/// Recent changes in the number of requests of this entry host in a group.
///
/// A load report describes the group as it was some time ago. The changes since
/// then must be added to the reported load.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnLoad {
    changes: [i32; BUCKETS],
    newest: u64,
}

impl OwnLoad {
    /// Returns the number of starts minus the number of ends within the last `age`.
    pub(super) fn net_change(&self, now: Timestamp, age: Duration) -> i32 {
        let last = now.0 / BUCKET_MICROS;
        let first = (now - age).0 / BUCKET_MICROS;
        let first = first.max((self.newest + 1).saturating_sub(BUCKETS as u64));
        (first..=last.min(self.newest))
            .map(|i| self.changes[i as usize % BUCKETS])
            .sum()
    }

    /// Records a start as 1 or an end as -1.
    pub(super) fn change(&mut self, now: Timestamp, by: i32) {
        let bucket = now.0 / BUCKET_MICROS;
        if bucket > self.newest {
            let stale = (bucket - self.newest).min(BUCKETS as u64);
            for i in 0..stale {
                self.changes[(bucket - i) as usize % BUCKETS] = 0;
            }
            self.newest = bucket;
        }
        self.changes[self.newest as usize % BUCKETS] += by;
    }
}
