//! Trials of suspects: one a group at a time.

use std::time::Duration;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::{CrashId, HolderAuthority, RequestFingerprint};
use crate::collections::HashMap;
use crate::id::{GroupId, HostId, Incarnation};
use crate::time::Timestamp;

quick_error! {
    /// Why a suspect may not run on a group now.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum TrialRefusal {
        /// This host does not grant trials.
        NotHolder {
            display("this host does not grant trials")
        }
        /// The holder waits until the trials of an earlier holder have ended.
        Waiting(until: Timestamp) {
            display("the holder grants no trials until {}", until)
        }
        /// Another suspect is on trial in the group.
        Busy(group: GroupId, until: Timestamp) {
            display("group {:?} tries another suspect until {} at the latest", group.as_str(), until)
        }
    }
}

/// A request to run a suspect on a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialRequest {
    /// Entry host that asks.
    pub user: HostId,
    /// Run of the entry host's process.
    pub incarnation: Incarnation,
    /// Group to run the suspect on.
    pub group: GroupId,
    /// Generation of the group that the user knows.
    pub generation: u64,
    /// The suspect.
    pub fingerprint: RequestFingerprint,
    /// Time of the request on the user's clock; the lifetime counts from here.
    pub asked_at: Timestamp,
}

/// Leave to run a suspect on a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialGrant {
    /// Time on the user's clock at which a suspect that is not past its point
    /// must have left the group.
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

/// Grants trials of suspects, one a group at a time over all entry hosts.
#[derive(Clone, Debug)]
pub struct TrialHolder {
    lifetime: Duration,
    margin: Duration,
    authority: HolderAuthority,
    trials: HashMap<GroupId, Trial>,
    /// The last trial of an earlier generation of each group.
    previous: HashMap<GroupId, Trial>,
}

impl TrialHolder {
    /// Makes a holder without authority; `margin` covers clocks of different speed.
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

    /// Gives the authority up.
    pub fn resign(&mut self) {
        self.authority.resign();
    }

    /// Answers a request for a trial.
    ///
    /// # Errors
    ///
    /// Returns why the suspect may not run on the group now.
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

    /// Returns the suspect that was on trial when a group crashed.
    #[must_use]
    pub fn suspect(&self, crash: &CrashId) -> Option<RequestFingerprint> {
        let known = [&self.trials, &self.previous].map(|trials| trials.get(&crash.group));
        let mut known = known.into_iter().flatten();
        let trial = known.find(|trial| trial.generation == crash.generation);
        trial.map(|trial| trial.fingerprint)
    }

    /// Forgets the trials of groups that were dissolved.
    pub fn retain_groups(&mut self, keep: impl Fn(&GroupId) -> bool) {
        self.trials.retain(|group, _| keep(group));
        self.previous.retain(|group, _| keep(group));
    }

    /// Ends a trial: the suspect is past its point or left the group.
    ///
    /// A trial that ended with a crash is kept, so that other entry hosts learn
    /// its suspect; the next generation of the group starts without it.
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
