//! Messages between the parts of a rig.

use geranium_core::engine::{EngineReport, Order};
use geranium_core::group::{GroupTable, OrderOutcome};
use geranium_core::id::{HostId, Incarnation, StoreRevision};
use std::time::Duration;

/// A part of the rig that sends and receives messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Node {
    /// The platform's store.
    Store,
    /// An entry host, by position.
    Entry(usize),
    /// An engine, by position.
    Engine(usize),
}

/// Number of a call, unique within one process.
pub(super) type CallId = u64;

/// A message.
#[derive(Clone, Debug)]
pub(super) enum Message {
    Poll(CallId),
    Report(CallId, EngineReport),
    Order(Order),
    OrderAnswer(Order, OrderOutcome),
    Read(CallId),
    ReadAnswer(CallId, Option<GroupTable>, StoreRevision),
    Write(CallId, GroupTable, StoreRevision),
    /// The revision written, or `None` on a conflict.
    WriteAnswer(CallId, Option<StoreRevision>),
    Lease(CallId, Incarnation),
    LeaseAnswer(CallId, bool),
    Release(Incarnation),
    Table(GroupTable),
    Ask(Vec<HostId>),
    Heard(HostId, Duration),
}
