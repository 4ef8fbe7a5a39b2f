//! A state of the model of counted orders.

use geranium_fleet::host::GroupState;

use super::seen::Seen;

/// Number of a group: its place in the list of groups formed.
pub(super) type GroupNumber = u8;

/// Membership of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Member {
    pub group: GroupNumber,
    pub state: Phase,
}

/// State of a group at one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    Joining,
    Ready,
    Open,
    Broken,
}

impl From<Phase> for GroupState {
    fn from(phase: Phase) -> Self {
        match phase {
            Phase::Joining => Self::Joining,
            Phase::Ready => Self::Ready,
            Phase::Open => Self::Open,
            Phase::Broken => Self::Broken,
        }
    }
}

/// A host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Host {
    pub life: u8,
    /// Orders begun in this life.
    pub begun: u8,
    pub member: Option<Member>,
}

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Request {
    Join(GroupNumber),
    Open(GroupNumber),
    Leave(GroupNumber),
}

/// An order on its way; it is carried out at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Order {
    pub manager: u8,
    pub host: u8,
    /// Life of the process that took the connection.
    pub life: u8,
    /// Life that the manager knew the host in.
    pub known_life: u8,
    /// Count of orders that the host must have begun.
    pub expected: u8,
    pub request: Request,
}

/// A former state of a host, which an entry or a report may still show.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Outdated {
    pub host: u8,
    pub was: Host,
}

/// The head of a group, at an order count at which it was in the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct HeadSighting {
    pub life: u8,
    pub order_count: u8,
}

/// A manager.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Manager {
    pub seen: Vec<Seen>,
    /// When the head of each group was last known to be in it.
    pub heads: Vec<Option<HeadSighting>>,
    /// Groups that this manager formed and has sent no order to open, by bit.
    pub unopened: u8,
}

/// A group that was formed: its members, the head first, and those that have been
/// ready under its name, by bit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Group {
    pub members: [u8; 2],
    pub were_ready: u8,
}

/// Rules that a state breaks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Broken {
    pub opened_partial: bool,
    pub joined_beside_open_head: bool,
}

/// A state of the model of counted orders.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CountedWorld {
    pub(super) hosts: Vec<Host>,
    pub(super) managers: Vec<Manager>,
    pub(super) groups: Vec<Group>,
    /// Orders on their way, sorted.
    pub(super) in_flight: Vec<Order>,
    pub(super) orders: u8,
    pub(super) restarts: u8,
    /// The former state of a host that entries and reports may show.
    pub(super) outdated: Option<Outdated>,
    /// Former states that entries and reports were able to show so far.
    pub(super) late: u8,
    pub(super) broken: Broken,
}
