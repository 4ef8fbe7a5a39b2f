//! Demand for all models over several entry hosts.

use std::ops::BitOr;

use serde::{Deserialize, Serialize};

use super::ModelRequests;
use crate::admission::PrioritySet;

/// Requests of callers for the models, summed over entry hosts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandSum {
    /// Number of entry hosts included in the sum.
    pub entry_hosts: usize,
    /// Their requests by service and model.
    pub models: Vec<ModelRequests>,
}

impl DemandSum {
    /// Adds up several sums.
    pub fn of<'a>(sums: impl IntoIterator<Item = &'a Self>) -> Self {
        let mut total = Self::default();
        for sum in sums {
            total.entry_hosts = total.entry_hosts.saturating_add(sum.entry_hosts);
            for requests in &sum.models {
                total.add(requests);
            }
        }
        total
    }

    /// Removes models with impossible numbers; returns how many there were.
    pub fn discard_impossible(&mut self) -> usize {
        let before = self.models.len();
        self.models.retain(ModelRequests::is_possible);
        before - self.models.len()
    }

    /// Returns the requests for a model of a service.
    #[must_use]
    pub fn model(&self, service: &str, model: &str) -> Option<&ModelRequests> {
        let mut models = self.models.iter();
        models.find(|r| *r.service == *service && *r.model == *model)
    }

    /// Returns whether any request for a service has arrived at these entry hosts.
    #[must_use]
    pub fn has_requests(&self, service: &str) -> bool {
        let mut models = self.models.iter();
        models.any(|r| *r.service == *service && r.requests > 0.0)
    }

    /// Returns the priorities of the recent requests for a service.
    #[must_use]
    pub fn priorities(&self, service: &str) -> PrioritySet {
        let models = self.models.iter().filter(|r| *r.service == *service);
        models
            .map(|r| r.priorities)
            .fold(PrioritySet::default(), BitOr::bitor)
    }

    fn add(&mut self, requests: &ModelRequests) {
        let mut models = self.models.iter_mut();
        let known = models.find(|r| r.service == requests.service && r.model == requests.model);
        match known {
            Some(known) => known.add(requests),
            None => self.models.push(requests.clone()),
        }
    }
}
