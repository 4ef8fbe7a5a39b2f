//! Inputs of the control task.

use std::sync::Arc;
use std::time::Duration;

use geranium_core::engine::{EngineReport, HostEntry, Order};
use geranium_core::group::{GroupTable, OrderOutcome, WriteOutcome};
use geranium_core::id::{HostId, StoreRevision};
use geranium_core::record::RecordSet;
use geranium_core::time::Timestamp;

/// Input of the control task.
#[derive(Debug)]
pub enum ControlInput {
    /// Whether this process holds the leader's lease.
    Leadership(bool),
    /// Whether the platform's store answers.
    StoreReachable(bool),
    /// The records in force.
    Records(Arc<RecordSet>),
    /// The platform's list of hosts.
    Hosts(Vec<HostEntry>),
    /// The group table of this failure domain, from the store's watch or a peer.
    Table(Box<GroupTable>),
    /// The answer to a read of the group table.
    TableRead {
        /// Sequence number of the read.
        read: u64,
        /// Stored table, if there is one.
        table: Option<Box<GroupTable>>,
        /// Revision of the value; zero if absent.
        revision: StoreRevision,
    },
    /// The outcome of a write of the group table.
    TableWritten {
        /// Sequence number of the table.
        sequence: u64,
        /// Outcome of the write.
        outcome: WriteOutcome,
    },
    /// The report of an engine and the time at which it was requested.
    Report(Box<EngineReport>, Timestamp),
    /// An engine returned no usable report.
    ReportMissed(HostId),
    /// A peer received a report of an engine this long ago.
    ReportSeenByPeer(HostId, Duration),
    /// The outcome of an order.
    OrderAnswered(Box<Order>, OrderOutcome),
}
