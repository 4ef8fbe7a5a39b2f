//! Memory budget that the responses of all servers share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use geranium_core::limit::ByteBudget;

use crate::MemoryReservation;

/// Memory budget for the responses of all servers that a process calls. Clones share it.
///
/// # Examples
///
/// ```
/// use geranium_net::ResponseMemory;
///
/// let memory = ResponseMemory::new(100);
/// let mut reservation = memory.reservation();
/// assert!(reservation.resize(40));
/// assert!(!reservation.resize(60), "one response holds half at most");
/// drop(reservation);
/// assert_eq!(memory.held(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct ResponseMemory {
    budget: Arc<Mutex<ByteBudget>>,
}

impl ResponseMemory {
    /// Creates a budget of `total` bytes, all of which are free.
    #[must_use]
    pub fn new(total: usize) -> Self {
        Self {
            budget: Arc::new(Mutex::new(ByteBudget::new(total))),
        }
    }

    /// Returns an empty reservation for one response.
    #[must_use]
    pub fn reservation(&self) -> MemoryReservation {
        MemoryReservation::new(self.clone())
    }

    /// Reserves `more` bytes for a response that holds `own`, if it may hold that much.
    #[must_use]
    pub fn try_reserve(&self, own: usize, more: usize) -> bool {
        self.lock().try_reserve(own, more)
    }

    /// Releases bytes that were reserved.
    pub fn release(&self, bytes: usize) {
        self.lock().release(bytes);
    }

    /// Returns the number of reserved bytes.
    #[must_use]
    pub fn held(&self) -> usize {
        self.lock().held()
    }

    fn lock(&self) -> MutexGuard<'_, ByteBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
