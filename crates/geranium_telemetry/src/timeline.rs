//! Merge of the events of several processes.

use crate::Event;

/// Merges events of several processes into one causal order.
///
/// Events are ordered by hybrid logical time, which never orders an effect
/// before its cause; ties are broken by host, incarnation and sequence.
#[must_use]
pub fn merge_events(pages: impl IntoIterator<Item = Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = pages.into_iter().flatten().collect();
    events.sort_by(|a, b| a.time.cmp(&b.time).then_with(|| a.id.cmp(&b.id)));
    events.dedup_by(|a, b| a.id == b.id);
    events
}
