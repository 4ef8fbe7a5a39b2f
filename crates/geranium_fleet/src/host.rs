//! Backend servers as they describe themselves.

use std::net::SocketAddr;
use std::sync::Arc;

use geranium_core::time::Timestamp;
use serde::{Deserialize, Serialize};

/// Identifier of a backend server.
pub type HostId = Arc<str>;

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// It takes new work.
    Ready,
    /// It is leaving and takes no new work.
    Draining,
}

/// State of a group, as one member reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupState {
    /// The member is preparing the weights.
    Joining,
    /// The member is prepared; the group does not serve.
    Ready,
    /// The head serves.
    Open,
    /// The head finishes its work and takes no more.
    Closing,
    /// The group lost a member and has stopped for good.
    Broken,
}

impl GroupState {
    /// Returns a name for metrics and views.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Joining => "joining",
            Self::Ready => "ready",
            Self::Open => "open",
            Self::Closing => "closing",
            Self::Broken => "broken",
        }
    }
}

/// Membership of a host in a group, as the host reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Name of the group.
    pub group: Arc<str>,
    /// Epoch of the join.
    pub epoch: u64,
    /// Position in the list of members; 0 is the head.
    pub rank: usize,
    /// State.
    pub state: GroupState,
}

/// State of a host as it answers itself when it is asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// Start of its process in Unix milliseconds.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Orders that it has begun in this life.
    pub orders_begun: u64,
    /// Group that it belongs to.
    pub membership: Option<Membership>,
    /// Model that it runs now.
    pub model: Option<Arc<str>>,
    /// Models whose weights lie on the host.
    pub staged: Vec<Arc<str>>,
    /// Whether it says that it is about to end.
    #[serde(default)]
    pub leaving: bool,
}

/// A backend server as it last described itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Identifier.
    pub id: HostId,
    /// Start of its process in Unix milliseconds; tells lives of one id apart.
    pub incarnation: u64,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: HostState,
    /// End of its cold start, if one is under way.
    pub cold_until: Option<Timestamp>,
    /// Orders that it has begun in this life, as its answers tell; its entry does
    /// not, so that `None` means that it has to be asked.
    pub orders_begun: Option<u64>,
    /// Fabric domain, for hosts of model engines.
    pub fabric_domain: Option<Arc<str>>,
    /// Models whose weights lie on the host.
    pub staged: Vec<Arc<str>>,
    /// Model that it runs now.
    pub model: Option<Arc<str>>,
    /// Group that it belongs to.
    pub membership: Option<Membership>,
    /// Model of the last group that it was seen ready in, in this life; it joins that
    /// model again at once. Its entry does not tell.
    pub last_model: Option<Arc<str>>,
}

impl Host {
    /// Notes the model of the group that the host is in, if it has finished joining.
    pub(crate) fn update_last_model(&mut self) {
        let joined = self.membership.as_ref();
        if joined.is_some_and(|m| m.state != GroupState::Joining) && self.model.is_some() {
            self.last_model.clone_from(&self.model);
        }
    }

    /// Returns whether the host is the head of a group that serves.
    #[must_use]
    pub fn is_open_head(&self) -> bool {
        let membership = self.membership.as_ref();
        membership.is_some_and(|m| m.rank == 0 && m.state == GroupState::Open)
    }

    /// Returns whether the weights of a model lie on the host.
    #[must_use]
    pub fn has_staged(&self, model: &str) -> bool {
        self.staged.iter().any(|s| &**s == model)
    }
}
