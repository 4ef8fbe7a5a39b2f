//! Steps of the group model.

use std::fmt;
use std::rc::Rc;

use geranium_core::id::GroupId;

/// An order that arrives at its engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderArrival {
    pub(super) host: u8,
    pub(super) fencing: u64,
    pub(super) group: Option<GroupId>,
}

impl fmt::Display for OrderArrival {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { host, fencing, .. } = self;
        match &self.group {
            Some(group) => write!(f, "host h{host} follows order {fencing} to serve {group}"),
            None => write!(f, "host h{host} follows release {fencing}"),
        }
    }
}

/// One step of one part of the group model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupAction {
    /// A process reads the table.
    Read(u8),
    /// A process works out a change and sends its write.
    Plan(u8, Rc<str>),
    /// A write takes effect or loses, and its answer arrives.
    WriteAnswered(u8),
    /// A write takes effect or loses, and its answer is lost.
    WriteAnswerLost(u8),
    /// A write is given up while it is still on its way.
    WriteDelayed(u8),
    /// A write that was given up arrives.
    StrayWriteArrives,
    /// A process sends the orders of the table that it knows.
    SendOrders(u8),
    /// A process that doesn't reach the store repairs with its spares.
    Amend(u8, Rc<str>),
    /// An order arrives at its engine.
    OrderArrives(OrderArrival),
    /// An engine restarts.
    EngineRestarts(u8),
}

impl fmt::Display for GroupAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(n) => write!(f, "process {n} reads the table"),
            Self::Plan(n, what) => write!(f, "process {n} plans: {what}"),
            Self::WriteAnswered(n) => write!(f, "process {n}: the store answers its write"),
            Self::WriteAnswerLost(n) => write!(f, "process {n}: the answer to its write is lost"),
            Self::WriteDelayed(n) => {
                write!(f, "process {n}: its write is delayed past the timeout")
            }
            Self::StrayWriteArrives => write!(f, "a delayed write arrives at the store"),
            Self::SendOrders(n) => write!(f, "process {n} sends the orders of its table"),
            Self::Amend(n, what) => write!(f, "process {n} amends its table: {what}"),
            Self::OrderArrives(arrival) => write!(f, "{arrival}"),
            Self::EngineRestarts(n) => write!(f, "the engine of host {n} restarts"),
        }
    }
}
