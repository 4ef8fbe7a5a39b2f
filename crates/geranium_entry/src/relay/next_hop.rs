//! Receivers of attempts.

use std::net::SocketAddr;
use std::time::Duration;

use geranium_fleet::dispatch::Choice;
use geranium_fleet::forward_targets::ForwardTarget;
use geranium_fleet::host::{Host, HostId};

/// The receiver of an attempt.
#[derive(Clone, Debug)]
pub(super) enum NextHop {
    /// A backend server, and the load data that its selection was based on.
    Server(Box<Choice>),
    /// Another entry host, which selects a backend server itself.
    EntryHost(ForwardTarget),
}

impl NextHop {
    /// Returns the id of the backend server or the name of the entry host.
    pub(super) fn id(&self) -> &HostId {
        match self {
            Self::Server(choice) => &choice.host.id,
            Self::EntryHost(target) => &target.name,
        }
    }

    pub(super) fn address(&self) -> SocketAddr {
        match self {
            Self::Server(choice) => choice.host.address,
            Self::EntryHost(target) => target.address,
        }
    }

    /// Returns the backend server, unless the receiver is another entry host.
    pub(super) fn server(&self) -> Option<&Host> {
        match self {
            Self::Server(choice) => Some(&choice.host),
            Self::EntryHost(_) => None,
        }
    }

    pub(super) const fn is_entry_host(&self) -> bool {
        matches!(self, Self::EntryHost(_))
    }

    fn choice(&self) -> Option<&Choice> {
        match self {
            Self::Server(choice) => Some(choice),
            Self::EntryHost(_) => None,
        }
    }

    /// Returns among how many backend servers this one was selected.
    pub(super) fn candidates(&self) -> Option<usize> {
        self.choice().map(|c| c.candidates)
    }

    /// Returns the known number of requests that ran there.
    pub(super) fn load(&self) -> Option<f64> {
        self.choice().map(|c| c.load)
    }

    /// Returns the age of what other entry hosts reported of the load.
    pub(super) fn load_age(&self) -> Option<Duration> {
        self.choice().map(|c| c.load_age)
    }

    /// Returns how metrics name a request that this receiver answered.
    pub(super) const fn answered_outcome(&self) -> &'static str {
        match self {
            Self::Server(_) => "answered",
            Self::EntryHost(_) => "forwarded",
        }
    }
}
