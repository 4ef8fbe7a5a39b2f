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
    /// Another write came first; nothing was written.
    Conflict,
    /// The write may or may not have taken effect.
    Ambiguous,
    /// The write certainly did not take effect.
    Failed,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OrderOutcome {
    /// The engine took the order.
    Accepted,
    /// The engine has seen a higher fencing number.
    Refused {
        /// Highest fencing number that the engine has seen.
        highest: FencingNumber,
    },
    /// No answer came; the order may have been taken.
    NoAnswer,
}

/// What the group controller is told.
#[derive(Clone, Debug)]
pub enum GroupInput<'a> {
    /// This process holds the leader's lease.
    LeadershipGained,
    /// This process no longer holds the leader's lease.
    LeadershipLost,
    /// The table was read; `None` if the store has none.
    TableLoaded {
        /// Number of the read that is answered.
        read: u64,
        /// The table.
        table: Option<GroupTable>,
        /// Revision of the value; zero if absent.
        revision: StoreRevision,
    },
    /// A peer sent its table, which may be an amendment.
    PeerTable(&'a GroupTable),
    /// A write of the table has an outcome.
    TableWritten {
        /// Sequence number of the table that was to be written.
        sequence: u64,
        /// Its outcome.
        outcome: WriteOutcome,
    },
    /// An engine reported.
    Report {
        /// The report.
        report: &'a EngineReport,
        /// When this process asked for it, which bounds its age even if the
        /// process was paused before it took the answer.
        asked_at: Timestamp,
    },
    /// An engine did not answer a request for its report.
    ReportMissed {
        /// Host of the engine.
        host: &'a HostId,
    },
    /// A peer answered [`GroupEffect::QueryPeers`]: it heard the host some time ago.
    ReportSeenByPeer {
        /// Host of the engine.
        host: &'a HostId,
        /// Time since the peer received the host's last report.
        age: Duration,
    },
    /// An order has an outcome.
    OrderAnswered {
        /// The order.
        order: &'a Order,
        /// Its outcome.
        outcome: OrderOutcome,
    },
    /// The records in force changed.
    RecordsChanged {
        /// Models of every failure domain.
        models: &'a [ModelSpec],
        /// What is taken out of service.
        drained: &'a [DrainTarget],
    },
    /// The platform's list of hosts changed.
    HostsChanged(&'a [HostEntry]),
    /// The platform's store does not answer.
    StoreUnreachable,
    /// The platform's store answers again.
    StoreReachable,
    /// Time passed.
    Tick,
}

/// What the group controller asks of its driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupEffect {
    /// Read the table and answer with [`GroupInput::TableLoaded`].
    LoadTable {
        /// Number of the read; its answer carries it.
        read: u64,
    },
    /// Write the table and answer with [`GroupInput::TableWritten`].
    WriteTable {
        /// The new table.
        table: GroupTable,
        /// Revision that the present value must have; zero if it must be absent.
        expected: StoreRevision,
    },
    /// Give the table to this host's gate and to the peers of the failure domain.
    PublishTable(GroupTable),
    /// Ask the peers of the failure domain when they last heard these hosts, and
    /// answer with [`GroupInput::ReportSeenByPeer`] for each that was heard.
    QueryPeers(Vec<HostId>),
    /// Give up the lease and leave it to others for a while: they hear more engines.
    YieldLeadership,
    /// Send an order and answer with [`GroupInput::OrderAnswered`].
    SendOrder(Order),
    /// Record an event.
    Emit(EventDraft),
}
