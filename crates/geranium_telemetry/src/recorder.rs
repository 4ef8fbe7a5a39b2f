//! Bounded in-memory buffer for the events of a process.

use std::collections::VecDeque;

use geranium_core::event::EventDraft;
use geranium_core::id::{FailureDomainId, HostId, Incarnation};
use geranium_core::time::{HybridClock, HybridTime, Timestamp};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::{Event, EventFilter, EventId};

/// Identifies the process that records events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessIdentity {
    /// Host that the process runs on.
    pub host: HostId,
    /// Failure domain of the host.
    pub failure_domain: FailureDomainId,
    /// Incarnation number, which tells apart successive runs of the process on a host.
    pub incarnation: Incarnation,
}

/// A page of events of one process, as returned by its operator interface.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventPage {
    /// Process that recorded the events.
    pub process: ProcessIdentity,
    /// Number of events evicted from the ring buffer.
    pub dropped: u64,
    /// Sequence number of the newest recorded event.
    pub newest: u64,
    /// Events that match the filter, oldest first.
    pub events: Vec<Event>,
}

struct Ring {
    clock: HybridClock,
    events: VecDeque<Event>,
    newest: u64,
    dropped: u64,
}

/// Records the events of one process in a bounded ring buffer.
pub struct EventRecorder {
    identity: ProcessIdentity,
    capacity: usize,
    ring: Mutex<Ring>,
}

impl EventRecorder {
    /// Creates a recorder that keeps up to `capacity` events.
    #[must_use]
    pub fn new(identity: ProcessIdentity, capacity: usize) -> Self {
        let ring = Ring {
            clock: HybridClock::default(),
            events: VecDeque::with_capacity(capacity.min(1_024)),
            newest: 0,
            dropped: 0,
        };
        Self {
            identity,
            capacity,
            ring: Mutex::new(ring),
        }
    }

    /// Returns the identity of the recording process.
    #[must_use]
    pub const fn identity(&self) -> &ProcessIdentity {
        &self.identity
    }

    /// Records an event, writes it to the log and returns its identifier.
    pub fn record(&self, now: Timestamp, draft: EventDraft) -> EventId {
        let mut ring = self.ring.lock();
        ring.newest += 1;
        let id = EventId {
            host: self.identity.host.clone(),
            incarnation: self.identity.incarnation,
            sequence: ring.newest,
        };
        let event = Event {
            id: id.clone(),
            time: ring.clock.tick(now),
            wall: now,
            failure_domain: self.identity.failure_domain.clone(),
            kind: draft.kind,
            subject: draft.subject,
            reason: draft.reason,
            cause: draft.cause,
        };
        log_event(&event);
        ring.events.push_back(event);
        if ring.events.len() > self.capacity {
            ring.events.pop_front();
            ring.dropped += 1;
        }
        id
    }

    /// Returns the hybrid timestamp for an outgoing message.
    pub fn stamp(&self, now: Timestamp) -> HybridTime {
        self.ring.lock().clock.tick(now)
    }

    /// Advances the hybrid clock past the timestamp of a received message.
    pub fn observe(&self, now: Timestamp, remote: HybridTime) {
        self.ring.lock().clock.observe(now, remote);
    }

    /// Returns the number of events evicted from the ring buffer.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.ring.lock().dropped
    }

    /// Returns the newest `limit` events that match `filter`, oldest first.
    #[must_use]
    pub fn page(&self, filter: &EventFilter, limit: usize) -> EventPage {
        let ring = self.ring.lock();
        let matching = ring
            .events
            .iter()
            .rev()
            .filter(|event| filter.matches(event));
        let mut events: Vec<Event> = matching.take(limit).cloned().collect();
        events.reverse();
        EventPage {
            process: self.identity.clone(),
            dropped: ring.dropped,
            newest: ring.newest,
            events,
        }
    }
}

fn log_event(event: &Event) {
    let subject = serde_json::to_string(&event.subject).unwrap_or_default();
    let kind = event.kind.as_str();
    log::info!(target: "event", kind, subject = subject.as_str(); "{}", event.reason);
}
