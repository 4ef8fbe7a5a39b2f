//! Memory that one response holds.

use bytes::Bytes;

use crate::ResponseMemory;

/// Memory that one response holds of the budget until this is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    memory: ResponseMemory,
    bytes: usize,
}

impl MemoryReservation {
    pub(crate) const fn new(memory: ResponseMemory) -> Self {
        Self { memory, bytes: 0 }
    }

    /// Sets the number of bytes that the response holds. Returns whether the budget allows it;
    /// if not, the reservation stays as it was.
    #[must_use]
    pub fn resize(&mut self, bytes: usize) -> bool {
        match bytes.checked_sub(self.bytes) {
            Some(more) if !self.memory.try_reserve(self.bytes, more) => return false,
            Some(_) => {}
            None => self.memory.release(self.bytes - bytes),
        }
        self.bytes = bytes;
        true
    }

    /// Returns the bytes with their memory, which is released when the last clone of them is
    /// dropped.
    #[must_use]
    pub fn attach(self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(HeldBytes {
            bytes,
            _reservation: self,
        })
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.memory.release(self.bytes);
    }
}

/// Bytes of a response and the memory that they hold.
struct HeldBytes {
    bytes: Bytes,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
