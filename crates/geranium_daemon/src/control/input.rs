//! What the control task is told.

use std::sync::Arc;
use std::time::Duration;

use geranium_core::engine::{EngineReport, HostEntry, Order};
use geranium_core::group::{GroupTable, OrderOutcome, WriteOutcome};
use geranium_core::id::{HostId, StoreRevision};
use geranium_core::record::RecordSet;
use geranium_core::time::Timestamp;

/// What the control task is told.
#[derive(Debug)]
pub enum ControlInput {
    /// This process holds the leader's lease, or no longer does.
    Leadership(bool),
    /// The platform's store answers, or no longer does.
    StoreReachable(bool),
    /// The records in force.
    Records(Arc<RecordSet>),
    /// The platform's list of hosts.
    Hosts(Vec<HostEntry>),
    /// The group table of this failure domain, from the store's watch or a peer.
    Table(Box<GroupTable>),
    /// The answer to a read of the group table.
    TableRead {
        /// Number of the read.
        read: u64,
        /// The table, if the store has one.
        table: Option<Box<GroupTable>>,
        /// Revision of the value; zero if absent.
        revision: StoreRevision,
    },
    /// The outcome of a write of the group table.
    TableWritten {
        /// Sequence number of the table.
        sequence: u64,
        /// Its outcome.
        outcome: WriteOutcome,
    },
    /// An engine reported, asked at a time.
    Report(Box<EngineReport>, Timestamp),
    /// An engine gave no usable report.
    ReportMissed(HostId),
    /// A peer heard an engine this long ago.
    ReportSeenByPeer(HostId, Duration),
    /// The outcome of an order.
    OrderAnswered(Box<Order>, OrderOutcome),
}
