//! The single host that grants the credits of cold groups.

use super::cold_group::ColdGroup;
use super::{ColdSettings, CreditGrant, CreditRefusal, CreditRequest, HolderAuthority};
use crate::collections::HashMap;
use crate::event::{EventDraft, EventKind, EventOutbox, EventSubject};
use crate::group::{ServingGroup, Temperature};
use crate::id::GroupId;
use crate::time::Timestamp;

/// Grants the credits of the cold groups of one failure domain.
///
/// The credits outstanding for a group and the requests that may still run on it
/// without a credit never exceed the group's budget in total. The budget starts at
/// the cold concurrency and doubles after as many successes as its current size.
#[derive(Clone, Debug)]
pub struct ColdBudgetHolder {
    settings: ColdSettings,
    authority: HolderAuthority,
    groups: HashMap<GroupId, ColdGroup>,
    events: EventOutbox,
}

impl ColdBudgetHolder {
    /// Creates a holder without authority.
    #[must_use]
    pub fn new(settings: ColdSettings) -> Self {
        Self {
            settings,
            authority: HolderAuthority::new(settings.holder_lifetime()),
            groups: HashMap::default(),
            events: EventOutbox::default(),
        }
    }

    /// Gains or extends the authority until a time on this host's clock.
    ///
    /// The caller must guarantee that no other host has authority at the same time,
    /// by a lease whose duration it counts from before it sent the lease request.
    pub fn extend_authority(&mut self, now: Timestamp, until: Timestamp) {
        if self.authority.extend(now, until) {
            let ready_at = self.authority.ready_at();
            for group in self.groups.values_mut() {
                group.reset_grants(ready_at);
            }
        }
    }

    /// Gives up the authority.
    pub fn resign(&mut self) {
        self.authority.resign();
    }

    /// Returns the authority.
    #[must_use]
    pub fn authority(&self) -> &HolderAuthority {
        &self.authority
    }

    /// Updates the serving groups of the failure domain.
    pub fn update_groups(&mut self, now: Timestamp, groups: &[ServingGroup]) {
        self.expire(now);
        let ready = self.authority.may_grant(now);
        for group in groups {
            match self.groups.get_mut(&group.group) {
                Some(known) => known.update(now, group),
                None => {
                    let mut known = ColdGroup::new(now, group);
                    if !ready {
                        known.reset_grants(self.authority.ready_at());
                    }
                    self.groups.insert(group.group.clone(), known);
                }
            }
        }
    }

    /// Removes a group that was dissolved.
    pub fn forget_group(&mut self, group: &GroupId) {
        self.groups.remove(group);
    }

    /// Records that a group that reports itself warm behaves as if cold.
    pub fn turned_cold(&mut self, now: Timestamp, group: &GroupId, generation: u64) {
        if let Some(known) = self.groups.get_mut(group)
            && known.generation == generation
            && known.is_warm()
        {
            known.turn_cold(now);
            self.events.push(cold_event(group));
        }
    }

    /// Records the number of requests running and waiting in a group, as known at a
    /// time on this host's clock. They were measured within the report lag before it.
    pub fn observe_load(&mut self, group: &GroupId, known_at: Timestamp, load: u32) {
        let measured_at = known_at - self.settings.report_lag;
        if let Some(known) = self.groups.get_mut(group) {
            known.observe_load(measured_at, load);
        }
    }

    /// Answers a user's request for credits.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request cannot be answered; the user's credits then
    /// expire.
    pub fn request(
        &mut self,
        now: Timestamp,
        req: &CreditRequest,
    ) -> Result<CreditGrant, CreditRefusal> {
        if !self.authority.is_held(now) {
            return Err(CreditRefusal::NotHolder);
        }
        let adopt = !self.authority.may_grant(now);
        if adopt && req.keep == 0 {
            return Err(CreditRefusal::Waiting(self.authority.ready_at()));
        }
        let settings = self.settings;
        let group = self
            .groups
            .get_mut(&req.group)
            .ok_or_else(|| CreditRefusal::UnknownGroup(req.group.clone()))?;
        group.expire(now, &settings);
        Self::check(group, req)?;
        if group.is_warm() && group.is_newly_marked(req) {
            group.turn_cold(now);
            self.events.push(cold_event(&req.group));
        }
        let (budget, warm) = (group.budget(), group.is_warm());
        let credits = group.grant(now, req, adopt, &settings);
        if group.budget() != budget {
            let reason = format!(
                "budget changed from {budget} to {} concurrent requests",
                group.budget()
            );
            let event = event(EventKind::ColdBudgetChanged, &req.group, reason);
            self.events.push(event);
        }
        if group.is_warm() && !warm {
            let reason = "successful requests raised the budget to the warm concurrency";
            self.events
                .push(event(EventKind::GroupWarm, &req.group, reason));
        }
        Ok(CreditGrant {
            group: req.group.clone(),
            generation: req.generation,
            sequence: req.sequence,
            credits,
            asked_at: req.asked_at,
            warm: group.is_warm(),
        })
    }

    /// Removes and returns the recorded events that explain decisions, oldest first.
    pub fn take_events(&mut self) -> Vec<EventDraft> {
        self.events.take()
    }

    /// Returns the budget of a group.
    #[must_use]
    pub fn budget(&self, group: &GroupId) -> Option<u32> {
        self.groups.get(group).map(ColdGroup::budget)
    }

    /// Returns the temperature that the holder assumes for a group.
    #[must_use]
    pub fn temperature(&self, group: &GroupId) -> Option<Temperature> {
        let group = self.groups.get(group)?;
        Some(if group.is_warm() {
            Temperature::Warm
        } else {
            Temperature::Cold
        })
    }

    fn expire(&mut self, now: Timestamp) {
        for group in self.groups.values_mut() {
            group.expire(now, &self.settings);
        }
    }

    fn check(group: &ColdGroup, req: &CreditRequest) -> Result<(), CreditRefusal> {
        if group.generation != req.generation {
            let (asked, known) = (req.generation, group.generation);
            return Err(CreditRefusal::OtherGeneration(
                req.group.clone(),
                asked,
                known,
            ));
        }
        if group.is_stale(req) {
            return Err(CreditRefusal::StaleRequest(req.user.clone(), req.sequence));
        }
        Ok(())
    }
}

fn event(kind: EventKind, group: &GroupId, reason: impl Into<String>) -> EventDraft {
    EventDraft::new(kind, EventSubject::group(group), reason)
}

fn cold_event(group: &GroupId) -> EventDraft {
    let reason = "first tokens are slower than on a warm group, although it reports itself warm";
    event(EventKind::GroupCold, group, reason)
}
