//! The identifiers that an event concerns.

use serde::{Deserialize, Serialize};

use crate::id::{AccountId, FailureDomainId, GroupId, HostId, RecordName, RequestId};

/// The identifiers that an event concerns; absent ones are not serialized.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EventSubject {
    /// Request of a caller.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// Replica group.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub group: Option<GroupId>,
    /// Backend server host or entry host.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub host: Option<HostId>,
    /// Operator record.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub record: Option<RecordName>,
    /// Client account.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub account: Option<AccountId>,
    /// Failure domain.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub failure_domain: Option<FailureDomainId>,
}

impl EventSubject {
    /// Returns a subject that names a request.
    #[must_use]
    pub fn request(id: &RequestId) -> Self {
        Self {
            request: Some(id.clone()),
            ..Self::default()
        }
    }

    /// Returns a subject that names a group.
    #[must_use]
    pub fn group(id: &GroupId) -> Self {
        Self {
            group: Some(id.clone()),
            ..Self::default()
        }
    }

    /// Returns a subject that names a host.
    #[must_use]
    pub fn host(id: &HostId) -> Self {
        Self {
            host: Some(id.clone()),
            ..Self::default()
        }
    }

    /// Returns a subject that names a record.
    #[must_use]
    pub fn record(name: &RecordName) -> Self {
        Self {
            record: Some(name.clone()),
            ..Self::default()
        }
    }

    /// Returns a subject that names a failure domain.
    #[must_use]
    pub fn failure_domain(id: &FailureDomainId) -> Self {
        Self {
            failure_domain: Some(id.clone()),
            ..Self::default()
        }
    }

    /// Adds a group to the subject.
    #[must_use]
    pub fn with_group(mut self, id: &GroupId) -> Self {
        self.group = Some(id.clone());
        self
    }

    /// Adds a host to the subject.
    #[must_use]
    pub fn with_host(mut self, id: &HostId) -> Self {
        self.host = Some(id.clone());
        self
    }

    /// Adds a record to the subject.
    #[must_use]
    pub fn with_record(mut self, name: &RecordName) -> Self {
        self.record = Some(name.clone());
        self
    }

    /// Adds a client account to the subject.
    #[must_use]
    pub fn with_account(mut self, id: &AccountId) -> Self {
        self.account = Some(id.clone());
        self
    }
}
