//! Orders to single hosts.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::host::HostId;
use crate::notice::ServerNotice;

/// The action that a host is ordered to take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Become a member of a group.
    Join {
        /// Name of the group; never reused.
        group: Arc<str>,
        /// Epoch, at least as high as any that the host has seen.
        epoch: u64,
        /// Model that the group runs.
        model: Arc<str>,
        /// All members; the first is the head.
        members: Vec<HostId>,
    },
    /// Start serving, as the head.
    Open {
        /// Name of the group.
        group: Arc<str>,
        /// Epoch of the group.
        epoch: u64,
    },
    /// Finish the running work and stop serving, as the head.
    Close {
        /// Name of the group.
        group: Arc<str>,
        /// Epoch of the group.
        epoch: u64,
    },
    /// Leave the group at once.
    Leave {
        /// Name of the group.
        group: Arc<str>,
        /// Epoch of the group.
        epoch: u64,
    },
    /// Load the weights of a model from the weight store beside other work.
    Stage {
        /// Model to load.
        model: Arc<str>,
    },
}

impl OrderKind {
    /// Returns the kind as it appears in logs.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Join { .. } => "join",
            Self::Open { .. } => "open",
            Self::Close { .. } => "close",
            Self::Leave { .. } => "leave",
            Self::Stage { .. } => "stage",
        }
    }
}

/// An order to one host, valid only for the state on which it was decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostOrder {
    /// Receiver of the order.
    pub host: HostId,
    /// Incarnation of the host that the order is for.
    pub incarnation: u64,
    /// Address of the host.
    pub address: SocketAddr,
    /// Number of orders that the host must have begun; otherwise it refuses the order.
    pub expected_count: u64,
    /// Action to take.
    pub kind: OrderKind,
}

/// A host's answer to an order, with what the host announces about itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrderReply {
    /// Answer to the order.
    pub answer: OrderAnswer,
    /// What the host announces about itself.
    pub notice: ServerNotice,
}

impl From<OrderAnswer> for OrderReply {
    fn from(answer: OrderAnswer) -> Self {
        Self {
            answer,
            notice: ServerNotice::default(),
        }
    }
}

/// A host's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The host has begun the order.
    Begun,
    /// The host has completed the order.
    Done,
    /// The order does not match the host's state or its order count.
    Conflict,
    /// The epoch is too low, or the host knows the group with other members.
    Outdated,
    /// The host refused the order for another reason, with this status code.
    Refused(u16),
    /// No answer was received: the order may take effect at any later time.
    Unknown,
}
