//! Events in the order of their times.

use std::collections::BTreeMap;
use std::time::Duration;

use geranium_core::time::Timestamp;

/// Events in the order of their times, those of one time in the order of their scheduling.
#[derive(Debug)]
pub(super) struct Schedule<E> {
    now: Timestamp,
    events: BTreeMap<(Timestamp, u64), E>,
    scheduled: u64,
}

impl<E> Schedule<E> {
    pub(super) fn new(start: Timestamp) -> Self {
        Self {
            now: start,
            events: BTreeMap::new(),
            scheduled: 0,
        }
    }

    pub(super) fn now(&self) -> Timestamp {
        self.now
    }

    pub(super) fn after(&mut self, wait: Duration, event: E) {
        self.at(self.now + wait, event);
    }

    pub(super) fn at(&mut self, time: Timestamp, event: E) {
        self.scheduled += 1;
        self.events
            .insert((time.max(self.now), self.scheduled), event);
    }

    /// Returns the next event up to a time, which becomes the present time.
    pub(super) fn next(&mut self, until: Timestamp) -> Option<E> {
        let (&(time, _), _) = self.events.first_key_value()?;
        if time > until {
            return None;
        }
        self.now = time;
        self.events.pop_first().map(|(_, event)| event)
    }
}
