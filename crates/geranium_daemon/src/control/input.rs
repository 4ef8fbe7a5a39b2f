//! What the control task is told.

use geranium_core::engine::{EngineReport, HostEntry, Order};
use geranium_core::group::{GroupTable, OrderOutcome, WriteOutcome};
use geranium_core::id::{HostId, StoreRevision};
use geranium_core::record::StoredRecord;
use geranium_core::time::Timestamp;

/// What the control task is told.
#[derive(Debug)]
pub enum ControlInput {
    /// This process holds the leader's lease, or no longer does.
    Leadership(bool),
    /// The platform's store answers, or no longer does.
    StoreReachable(bool),
    /// Records read from the platform's store or learnt from a peer.
    Records(Vec<StoredRecord>),
    /// The platform's list of hosts.
    Hosts(Vec<HostEntry>),
    /// The group table of this failure domain as a watch or a peer shows it.
    Table(Box<GroupTable>),
    /// The answer to a read of the group table.
    TableRead {
        /// Number of the read.
        read: u64,
        /// The table; `None` if the store has none.
        table: Option<Box<GroupTable>>,
        /// Revision of the value; zero if absent.
        revision: StoreRevision,
    },
    /// The outcome of a write of the group table.
    TableWritten {
        /// Sequence number of the table that was to be written.
        sequence: u64,
        /// Its outcome.
        outcome: WriteOutcome,
    },
    /// An engine reported, asked at a time.
    Report(Box<EngineReport>, Timestamp),
    /// An engine gave no usable report.
    ReportMissed(HostId),
    /// The outcome of an order.
    OrderAnswered(Box<Order>, OrderOutcome),
}
