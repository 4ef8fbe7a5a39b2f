//! The queue of requests by priority.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::oneshot;

/// Highest priority first, then the order of arrival.
type QueueKey = (Reverse<u8>, u64);

#[derive(Debug, Default)]
struct Inner {
    running: u32,
    peak: u32,
    arrivals: u64,
    waiting: BTreeMap<QueueKey, oneshot::Sender<SlotGuard>>,
}

/// Slots of a batch, with a queue of requests that wait for one.
#[derive(Debug)]
pub struct SlotQueue {
    slots: u32,
    inner: Mutex<Inner>,
}

/// A slot that is held; dropping it hands it to the next request.
#[derive(Debug)]
pub struct SlotGuard {
    queue: Arc<SlotQueue>,
}

impl SlotQueue {
    /// Makes a queue for a number of slots.
    #[must_use]
    pub fn new(slots: u32) -> Arc<Self> {
        Arc::new(Self {
            slots,
            inner: Mutex::default(),
        })
    }

    /// Returns the number of slots held and of requests waiting.
    #[must_use]
    pub fn load(&self) -> (u32, u32) {
        let inner = self.inner.lock();
        let waiting = u32::try_from(inner.waiting.len()).unwrap_or(u32::MAX);
        (inner.running, waiting)
    }

    /// Returns the most slots held at a time.
    #[must_use]
    pub fn peak(&self) -> u32 {
        self.inner.lock().peak
    }

    /// Joins the queue at once and waits for a slot.
    pub fn acquire(self: &Arc<Self>, priority: u8) -> impl Future<Output = SlotGuard> + use<> {
        let place = Place::new(self, priority);
        async move { place.wait().await }
    }

    fn release(self: &Arc<Self>) {
        let next = {
            let mut inner = self.inner.lock();
            inner.running -= 1;
            let next = inner.waiting.pop_first();
            if next.is_some() {
                inner.take_slot();
            }
            next
        };
        if let Some((_, tx)) = next {
            // A request that has gone drops the guard, which frees the slot again.
            let _ = tx.send(self.guard());
        }
    }

    fn guard(self: &Arc<Self>) -> SlotGuard {
        SlotGuard {
            queue: self.clone(),
        }
    }
}

impl Inner {
    fn take_slot(&mut self) {
        self.running += 1;
        self.peak = self.peak.max(self.running);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.queue.release();
    }
}

/// A place in the queue.
struct Place {
    queue: Arc<SlotQueue>,
    key: QueueKey,
    slot: Option<SlotGuard>,
    rx: Option<oneshot::Receiver<SlotGuard>>,
}

impl Place {
    fn new(queue: &Arc<SlotQueue>, priority: u8) -> Self {
        let mut inner = queue.inner.lock();
        inner.arrivals += 1;
        let key = (Reverse(priority), inner.arrivals);
        let mut place = Self {
            queue: queue.clone(),
            key,
            slot: None,
            rx: None,
        };
        if inner.running < queue.slots {
            inner.take_slot();
            place.slot = Some(queue.guard());
        } else {
            let (tx, rx) = oneshot::channel();
            inner.waiting.insert(key, tx);
            place.rx = Some(rx);
        }
        place
    }

    async fn wait(mut self) -> SlotGuard {
        if let Some(slot) = self.slot.take() {
            return slot;
        }
        if let Some(rx) = &mut self.rx
            && let Ok(slot) = rx.await
        {
            return slot;
        }
        // The queue keeps the sender until it hands out a slot.
        std::future::pending().await
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        // The sender is dropped after the lock, since it may hold a slot.
        let _left = self.queue.inner.lock().waiting.remove(&self.key);
    }
}
