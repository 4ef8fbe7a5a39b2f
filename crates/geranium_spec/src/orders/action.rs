//! Steps of the model of counted orders.

use std::fmt;

use super::state::{Order, Request};

/// One step of one part of the model; numbers name hosts, managers and groups.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CountedAction {
    /// A manager sees the entry of a host.
    Seen {
        /// The manager.
        manager: u8,
        /// The host.
        host: u8,
    },
    /// A manager asks a host for its count of orders.
    Asked {
        /// The manager.
        manager: u8,
        /// The host.
        host: u8,
    },
    /// A manager sees an entry of a host that has taken effect late.
    SeenLate {
        /// The manager.
        manager: u8,
        /// The host.
        host: u8,
    },
    /// A manager is given a report of a host that lags.
    ReportedLate {
        /// The manager.
        manager: u8,
        /// The host.
        host: u8,
    },
    /// A step after which entries and reports may show the state of a host before it.
    Outdates {
        /// The step.
        step: Box<CountedAction>,
        /// The host.
        host: u8,
    },
    /// Entries and reports may show the state of a host from before the first group.
    StartsOutdated(u8),
    /// A manager forms a group and sends its joins.
    Forms {
        /// The manager.
        manager: u8,
        /// The members, the head first.
        members: [u8; 2],
    },
    /// A manager sends an order.
    Sends(String),
    /// A host carries an order out or refuses it.
    Arrives {
        /// The order.
        order: String,
        /// Whether the answer reaches the manager.
        answered: bool,
    },
    /// A member has prepared its weights.
    Ready(u8),
    /// A head that lost a member is broken.
    HeadBreaks(u8),
    /// A host starts anew under its id.
    Restarts(u8),
}

impl fmt::Display for CountedAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Seen { manager, host } => {
                write!(f, "manager {manager} sees the entry of h{host}")
            }
            Self::Asked { manager, host } => {
                write!(f, "manager {manager} asks h{host} for its count")
            }
            Self::SeenLate { manager, host } => {
                write!(f, "manager {manager} sees the outdated entry of h{host}")
            }
            Self::ReportedLate { manager, host } => {
                write!(
                    f,
                    "manager {manager} is given the outdated report of h{host}"
                )
            }
            Self::Outdates { step, host } => {
                write!(
                    f,
                    "{step}; the state of h{host} before this may be shown late"
                )
            }
            Self::StartsOutdated(host) => {
                write!(
                    f,
                    "the state of h{host} before its first group may be shown late"
                )
            }
            Self::Forms { manager, members } => {
                let [head, other] = members;
                write!(f, "manager {manager} forms a group of h{head} and h{other}")
            }
            Self::Sends(order) => write!(f, "{order} is sent"),
            Self::Arrives { order, answered } => {
                let answer = if *answered {
                    "answers"
                } else {
                    "its answer is lost"
                };
                write!(f, "{order} arrives, {answer}")
            }
            Self::Ready(host) => write!(f, "h{host} is ready"),
            Self::HeadBreaks(host) => write!(f, "the group of head h{host} is broken"),
            Self::Restarts(host) => write!(f, "h{host} starts anew"),
        }
    }
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (word, group) = match self.request {
            Request::Join(group) => ("join", group),
            Request::Open(group) => ("open", group),
            Request::Leave(group) => ("leave", group),
        };
        let Self {
            manager,
            host,
            expected,
            ..
        } = self;
        write!(
            f,
            "{word} g{group} of manager {manager} to h{host} after {expected} orders"
        )
    }
}
