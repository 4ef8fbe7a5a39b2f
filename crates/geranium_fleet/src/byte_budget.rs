//! Memory for answers of backend servers that are not whole yet.
//!
//! A backend server in trouble may send bytes without end, many of them at once. Each
//! answer may hold at most what no answer holds, so that those that grow without end are
//! cut off by themselves and room stays for the others however many there are
//! (A. K. Choudhury and E. L. Hahne, "Dynamic Queue Length Thresholds for Shared-Memory
//! Packet Switches", 1998).

/// Bytes that all unfinished answers of the process may hold together.
///
/// # Examples
///
/// ```
/// use geranium_fleet::byte_budget::ByteBudget;
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
    /// Makes a budget of `total` bytes, none of which are held.
    #[must_use]
    pub const fn new(total: usize) -> Self {
        Self { total, held: 0 }
    }

    /// Takes `more` bytes for an answer that holds `own`, if it may hold that much.
    pub const fn try_reserve(&mut self, own: usize, more: usize) -> bool {
        let held = self.held.saturating_add(more);
        let free = self.total.saturating_sub(held);
        if own.saturating_add(more) > free {
            return false;
        }
        self.held = held;
        true
    }

    /// Gives back bytes of an answer that is whole, passed on or cut off.
    pub const fn release(&mut self, bytes: usize) {
        self.held = self.held.saturating_sub(bytes);
    }

    /// Returns the bytes that are held.
    #[must_use]
    pub const fn held(&self) -> usize {
        self.held
    }
}
