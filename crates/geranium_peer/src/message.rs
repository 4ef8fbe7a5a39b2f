//! Commands that entry hosts send each other besides heartbeats and records.

use std::net::SocketAddr;
use std::time::Duration;

use geranium_core::group::GroupTable;
use geranium_core::id::HostId;
use geranium_core::limit::{
    CrashDigest, CrashId, CreditGrant, CreditRequest, RequestFingerprint, TrialGrant, TrialRequest,
};
use serde::{Deserialize, Serialize};

/// A command of one entry host to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerCommand {
    /// Asks the budget holder for cold credits.
    Credits(CreditRequest),
    /// Asks the budget holder for a trial of a suspect.
    Trial(TrialRequest),
    /// Ends a trial.
    TrialEnded(TrialRequest),
    /// Asks the budget holder which suspect was on trial when a group crashed.
    SuspectOf(CrashId),
    /// Asks when engines were last heard.
    LastHeard(Vec<HostId>),
    /// Tells what is known of crashing requests.
    Crashes(CrashDigest),
    /// Tells the group table that the leader works with.
    Table(Box<GroupTable>),
    /// Asks for the address of the operator interface.
    OperatorAddress,
}

/// The reply to a [`PeerCommand`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerReply {
    /// The command was taken in.
    Done,
    /// Cold credits.
    Credits(CreditGrant),
    /// Leave to try a suspect.
    Trial(TrialGrant),
    /// The suspect that was on trial, if there was one.
    Suspect(Option<RequestFingerprint>),
    /// Engines that were heard, with the time since then.
    Heard(Vec<(HostId, Duration)>),
    /// Address of the operator interface.
    OperatorAddress(SocketAddr),
    /// The command was refused, with the reason for people.
    Refused(String),
}
