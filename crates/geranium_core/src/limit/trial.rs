//! Trials of suspect requests, one at a time per group.

use std::time::Duration;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::{CrashId, HolderAuthority, RequestFingerprint};
use crate::collections::HashMap;
use crate::id::{GroupId, HostId, Incarnation};
use crate::time::Timestamp;

quick_error! {
    /// Reason for refusing a trial of a suspect on a group.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum TrialRefusal {
        /// This host has no authority to grant trials.
        NotHolder {
            display("this host has no authority to grant trials")
        }
        /// The holder waits until the trials of an earlier holder have ended.
        Waiting(until: Timestamp) {
            display("the holder grants no trials until {}", until)
        }
        /// Another suspect is on trial in the group.
        Busy(group: GroupId, until: Timestamp) {
            display(
                "another suspect is on trial on group {:?} until {} at the latest",
                group.as_str(), until
            )
        }
    }
}

/// A request to run a suspect on a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialRequest {
    /// Entry host that sends the request.
    pub user: HostId,
    /// Incarnation of the entry host's process.
    pub incarnation: Incarnation,
    /// Group to run the suspect on.
    pub group: GroupId,
    /// Generation of the group that the user knows.
    pub generation: u64,
    /// The suspect.
    pub fingerprint: RequestFingerprint,
    /// Time of the request on the user's clock, from which the lifetime counts.
    pub asked_at: Timestamp,
}

/// Permission to run a suspect on a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialGrant {
    /// Time on the user's clock by which the suspect must have left the group, unless
    /// it is past the point at which it is suspected to crash.
    pub expires: Timestamp,
}

#[derive(Clone, Debug)]
struct Trial {
    generation: u64,
    user: HostId,
    incarnation: Incarnation,
    fingerprint: RequestFingerprint,
    expires: Timestamp,
}

/// Grants trials of suspects, one at a time per group across all entry hosts.
#[derive(Clone, Debug)]
pub struct TrialHolder {
    lifetime: Duration,
    margin: Duration,
    authority: HolderAuthority,
    trials: HashMap<GroupId, Trial>,
    /// The last trial on an earlier generation of each group.
    previous: HashMap<GroupId, Trial>,
}

impl TrialHolder {
    /// Creates a holder without authority; `margin` allows for clock drift.
    #[must_use]
    pub fn new(lifetime: Duration, margin: Duration) -> Self {
        Self {
            lifetime,
            margin,
            authority: HolderAuthority::new(lifetime + margin),
            trials: HashMap::default(),
            previous: HashMap::default(),
        }
    }

    /// Gains or extends the authority until a time on this host's clock.
    pub fn extend_authority(&mut self, now: Timestamp, until: Timestamp) {
        if self.authority.extend(now, until) {
            self.trials.clear();
            self.previous.clear();
        }
    }

    /// Gives up the authority.
    pub fn resign(&mut self) {
        self.authority.resign();
    }

    /// Answers a request for a trial.
    ///
    /// # Errors
    ///
    /// Returns the reason if the suspect may not run on the group now.
    pub fn request(
        &mut self,
        now: Timestamp,
        req: &TrialRequest,
    ) -> Result<TrialGrant, TrialRefusal> {
        if !self.authority.is_held(now) {
            return Err(TrialRefusal::NotHolder);
        }
        if !self.authority.may_grant(now) {
            return Err(TrialRefusal::Waiting(self.authority.ready_at()));
        }
        if let Some(trial) = self.trials.get(&req.group)
            && now < trial.expires
            && trial.generation == req.generation
        {
            return Err(TrialRefusal::Busy(req.group.clone(), trial.expires));
        }
        let trial = Trial {
            generation: req.generation,
            user: req.user.clone(),
            incarnation: req.incarnation,
            fingerprint: req.fingerprint,
            expires: now + self.lifetime + self.margin,
        };
        if let Some(old) = self.trials.insert(req.group.clone(), trial)
            && old.generation != req.generation
        {
            self.previous.insert(req.group.clone(), old);
        }
        Ok(TrialGrant {
            expires: req.asked_at + self.lifetime,
        })
    }

    /// Returns the suspect that was on trial when a group crashed, if any.
    #[must_use]
    pub fn suspect(&self, crash: &CrashId) -> Option<RequestFingerprint> {
        let known = [&self.trials, &self.previous].map(|trials| trials.get(&crash.group));
        let mut known = known.into_iter().flatten();
        let trial = known.find(|trial| trial.generation == crash.generation);
        trial.map(|trial| trial.fingerprint)
    }

    /// Removes the trials of groups for which `keep` returns false.
    pub fn retain_groups(&mut self, keep: impl Fn(&GroupId) -> bool) {
        self.trials.retain(|group, _| keep(group));
        self.previous.retain(|group, _| keep(group));
    }

    /// Ends a trial, because the suspect is past the point of the crash or has left
    /// the group.
    ///
    /// After a crash the trial must not be released, so that other entry hosts can
    /// query its suspect. The next generation of the group starts without a trial.
    pub fn release(&mut self, req: &TrialRequest) {
        let is_same = |trial: &Trial| {
            trial.user == req.user
                && trial.incarnation == req.incarnation
                && trial.fingerprint == req.fingerprint
        };
        if self.trials.get(&req.group).is_some_and(is_same) {
            self.trials.remove(&req.group);
        }
    }
}
