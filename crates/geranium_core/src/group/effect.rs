//! Inputs and effects of the group controller.

use std::time::Duration;

use crate::engine::{EngineReport, HostEntry, Order};
use crate::event::EventDraft;
use crate::group::GroupTable;
use crate::id::{FencingNumber, HostId, StoreRevision};
use crate::record::{DrainTarget, ModelSpec};
use crate::time::Timestamp;

/// Outcome of a write of the group table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteOutcome {
    /// The write took effect.
    Applied {
        /// Revision of the value written.
        revision: StoreRevision,
    },
    /// A concurrent write took effect first; nothing was written.
    Conflict,
    /// The write may or may not have taken effect.
    Ambiguous,
    /// The write did not take effect.
    Failed,
}

/// Outcome of sending an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OrderOutcome {
    /// The engine accepted the order.
    Accepted,
    /// The engine has seen a higher fencing number.
    Refused {
        /// Highest fencing number that the engine has seen.
        highest: FencingNumber,
    },
    /// No answer was received; the engine may have accepted the order.
    NoAnswer,
}

/// Input of the group controller.
#[derive(Clone, Debug)]
pub enum GroupInput<'a> {
    /// This process acquired the leader's lease.
    LeadershipGained,
    /// This process lost the leader's lease.
    LeadershipLost,
    /// A read of the table has completed.
    TableLoaded {
        /// Number of the read, from [`GroupEffect::LoadTable`].
        read: u64,
        /// The table, or `None` if the store has none.
        table: Option<GroupTable>,
        /// Revision of the stored value; zero if it is absent.
        revision: StoreRevision,
    },
    /// A peer sent its table, which may be an amendment.
    PeerTable(&'a GroupTable),
    /// The outcome of a write of the table is known.
    TableWritten {
        /// Sequence number of the written table.
        sequence: u64,
        /// Outcome of the write.
        outcome: WriteOutcome,
    },
    /// An engine report was received.
    Report {
        /// The report.
        report: &'a EngineReport,
        /// When this process requested the report. This bounds the age of the
        /// report even if the process was paused before it handled the answer.
        requested_at: Timestamp,
    },
    /// An engine did not answer a request for its report.
    ReportMissed {
        /// Host of the engine.
        host: &'a HostId,
    },
    /// A peer answered [`GroupEffect::QueryPeers`]: it has received a report of the host.
    ReportSeenByPeer {
        /// Host of the engine.
        host: &'a HostId,
        /// Time since the peer received the last report of the host.
        age: Duration,
    },
    /// The outcome of an order is known.
    OrderAnswered {
        /// The order.
        order: &'a Order,
        /// Outcome of the order.
        outcome: OrderOutcome,
    },
    /// The records in force changed.
    RecordsChanged {
        /// Models of all failure domains.
        models: &'a [ModelSpec],
        /// Targets that are taken out of service.
        drained: &'a [DrainTarget],
    },
    /// The platform's list of hosts changed.
    HostsChanged(&'a [HostEntry]),
    /// The platform's store is unreachable.
    StoreUnreachable,
    /// The platform's store is reachable again.
    StoreReachable,
    /// Time passed.
    Tick,
}

/// Action that the group controller requests from its driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupEffect {
    /// Read the table and reply with [`GroupInput::TableLoaded`].
    LoadTable {
        /// Number of the read, to be returned in the reply.
        read: u64,
    },
    /// Write the table and reply with [`GroupInput::TableWritten`].
    WriteTable {
        /// The new table.
        table: GroupTable,
        /// Revision that the stored value must have; zero if it must be absent.
        expected: StoreRevision,
    },
    /// Pass the table to this host's gate and to the peers in the failure domain.
    PublishTable(GroupTable),
    /// Ask the peers in the failure domain when these hosts last reported to them, and
    /// reply with [`GroupInput::ReportSeenByPeer`] for each host that did.
    QueryPeers(Vec<HostId>),
    /// Give up the lease for a while, because peers receive reports of more engines.
    YieldLeadership,
    /// Send an order and reply with [`GroupInput::OrderAnswered`].
    SendOrder(Order),
    /// Record an event.
    Emit(EventDraft),
}
