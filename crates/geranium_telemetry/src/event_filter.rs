//! Filtering of events.

use geranium_core::event::EventKind;
use geranium_core::id::{AccountId, GroupId, HostId, RecordName, RequestId};
use geranium_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::Event;

/// Conditions that an event must meet; an absent condition matches every event.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EventFilter {
    /// Request that the event concerns.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// Replica group that the event concerns.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub group: Option<GroupId>,
    /// Host that the event concerns or that recorded it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub host: Option<HostId>,
    /// Operator record that the event concerns.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub record: Option<RecordName>,
    /// Client account that the event concerns.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub account: Option<AccountId>,
    /// Kind of event.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kind: Option<EventKind>,
    /// Earliest wall-clock time, inclusive.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub since: Option<Timestamp>,
    /// Lowest sequence number, exclusive.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub after: Option<u64>,
}

impl EventFilter {
    /// Returns whether the event meets all conditions.
    #[must_use]
    pub fn matches(&self, event: &Event) -> bool {
        let subject = &event.subject;
        let host_matches = self.host.is_none()
            || self.host == subject.host
            || self.host.as_ref() == Some(&event.id.host);
        host_matches
            && id_matches(self.request.as_ref(), subject.request.as_ref())
            && id_matches(self.group.as_ref(), subject.group.as_ref())
            && id_matches(self.record.as_ref(), subject.record.as_ref())
            && id_matches(self.account.as_ref(), subject.account.as_ref())
            && self.kind.is_none_or(|kind| kind == event.kind)
            && self.since.is_none_or(|since| event.wall >= since)
            && self.after.is_none_or(|after| event.id.sequence > after)
    }
}

fn id_matches<T: PartialEq>(wanted: Option<&T>, found: Option<&T>) -> bool {
    wanted.is_none() || wanted == found
}
