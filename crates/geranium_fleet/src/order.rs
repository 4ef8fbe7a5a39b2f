//! Orders to single hosts.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::host::HostId;
use crate::notice::ServerNotice;

/// What a host is told to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Become a member of a group.
    Join {
        /// Name of the group; never used again.
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
    /// Load the weights of a model from the weight store beside all other work.
    Stage {
        /// The model.
        model: Arc<str>,
    },
}

impl OrderKind {
    /// Returns a name for logs.
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

/// An order to one host, valid only for the state that it was decided on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostOrder {
    /// The host.
    pub host: HostId,
    /// Life of the host that is meant.
    pub incarnation: u64,
    /// Its address.
    pub address: SocketAddr,
    /// Count of orders that the host must have begun; it refuses the order otherwise.
    pub expected_count: u64,
    /// What to do.
    pub kind: OrderKind,
}

/// Answer of a host to an order, with what the host says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderReply {
    /// The answer.
    pub answer: OrderAnswer,
    /// What the host says of itself.
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

/// Answer of a host to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order has begun.
    Begun,
    /// The order is done.
    Done,
    /// The order does not fit the host's state or its count of orders.
    Conflict,
    /// The epoch is too low, or the group has other members there.
    Outdated,
    /// The host refused the order in another way.
    Refused(u16),
    /// No answer: the order may take effect at any time from now on.
    Unknown,
}
