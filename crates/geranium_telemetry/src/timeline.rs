//! Merging of events from several processes.

use crate::Event;

/// Merges events of several processes into causal order and removes duplicates.
///
/// Events are sorted by hybrid logical time, which never places an effect before
/// its cause. Ties are broken by host, incarnation and sequence number.
#[must_use]
pub fn merge_events(pages: impl IntoIterator<Item = Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = pages.into_iter().flatten().collect();
    events.sort_by(|a, b| a.time.cmp(&b.time).then_with(|| a.id.cmp(&b.id)));
    events.dedup_by(|a, b| a.id == b.id);
    events
}
