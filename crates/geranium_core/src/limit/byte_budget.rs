//! Memory limit for answers of backend servers that callers have not taken yet.
//!
//! A faulty backend server may send endless answers, and many at once. Each answer may hold
//! at most as many bytes as remain free, so that endless answers are cut off and room is
//! left for the others, however many there are (A. K. Choudhury and E. L. Hahne, "Dynamic
//! Queue Length Thresholds for Shared-Memory Packet Switches", 1998).

/// Budget for the bytes that all answers of the process hold together.
///
/// # Examples
///
/// ```
/// use geranium_core::limit::ByteBudget;
///
/// let mut budget = ByteBudget::new(100);
/// assert!(budget.try_reserve(0, 50));
/// assert!(!budget.try_reserve(50, 1), "one answer holds half at most");
/// assert!(budget.try_reserve(0, 25), "another gets half of the rest");
/// budget.release(75);
/// assert!(budget.try_reserve(0, 50));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ByteBudget {
    total: usize,
    held: usize,
}

impl ByteBudget {
    /// Creates a budget of `total` bytes, all of which are free.
    #[must_use]
    pub const fn new(total: usize) -> Self {
        Self { total, held: 0 }
    }

    /// Reserves `more` bytes for an answer that holds `own`, if it may hold that much.
    pub const fn try_reserve(&mut self, own: usize, more: usize) -> bool {
        let held = self.held.saturating_add(more);
        let free = self.total.saturating_sub(held);
        if own.saturating_add(more) > free {
            return false;
        }
        self.held = held;
        true
    }

    /// Releases bytes of an answer that its caller has taken or that is cut off.
    pub const fn release(&mut self, bytes: usize) {
        self.held = self.held.saturating_sub(bytes);
    }

    /// Returns the number of reserved bytes.
    #[must_use]
    pub const fn held(&self) -> usize {
        self.held
    }
}
