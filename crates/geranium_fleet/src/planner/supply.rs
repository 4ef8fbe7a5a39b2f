//! Which weights the hosts without a group are to hold, by fabric domain.
//!
//! Hosts that are left over after groups were formed replace members that die. They do
//! so at once only if they hold the weights of the group that lost its member, so that
//! their weights are apportioned to the models by the hosts that may be lost.

use std::sync::Arc;

use geranium_core::collections::HashMap;

use super::formation::{Formation, best_model};
use super::reclaim::LACKING_PART;

/// Hosts of one fabric domain; the lists are in the order of the engine's models.
#[derive(Clone, Debug)]
struct DomainSupply {
    /// Hosts without a group that have or load a model's weights.
    usable: Vec<usize>,
    /// Hosts in groups of a model.
    in_groups: Vec<usize>,
    /// Hosts without a use that could load a model's weights.
    loaders: Vec<usize>,
}

impl DomainSupply {
    fn new(models: usize) -> Self {
        Self {
            usable: vec![0; models],
            in_groups: vec![0; models],
            loaders: vec![0; models],
        }
    }

    /// Returns how many more usable hosts make up a group of a model.
    fn missing(&self, model: usize, formation: &Formation<'_>) -> usize {
        let size = formation.profile.models[model].size;
        size - self.usable[model] % size
    }

    /// Returns the model whose groups have fewest replacements for the hosts that they may
    /// lose (the highest averages method of V. D'Hondt); `held` wins a tie.
    fn least_covered(&self, held: Option<usize>) -> Option<usize> {
        let cover = |i: usize| {
            let spares = self.usable[i] - usize::from(held == Some(i));
            self.in_groups[i] as f64 / (spares + 1) as f64
        };
        let models = (0..self.usable.len()).filter(|i| self.in_groups[*i] > 0);
        models.max_by(|a, b| {
            let by_cover = cover(*a).total_cmp(&cover(*b));
            by_cover.then_with(|| (held == Some(*a)).cmp(&(held == Some(*b))))
        })
    }

    /// Notes that a host without a use loads a model's weights in place of those it holds.
    fn take(&mut self, model: usize, held: Option<usize>) {
        self.usable[model] += 1;
        if let Some(held) = held {
            self.usable[held] -= 1;
        }
        for (i, loaders) in self.loaders.iter_mut().enumerate() {
            if held != Some(i) {
                *loaders = loaders.saturating_sub(1);
            }
        }
    }
}

/// Hosts without a group and their weights, by fabric domain.
#[derive(Clone, Debug, Default)]
pub(super) struct Supply {
    domains: HashMap<Arc<str>, DomainSupply>,
}

impl Supply {
    fn domain(&mut self, domain: &Arc<str>, models: usize) -> &mut DomainSupply {
        let supply = self.domains.entry(domain.clone());
        supply.or_insert_with(|| DomainSupply::new(models))
    }

    /// Counts a host in a group of a model.
    pub(super) fn add_member(&mut self, domain: &Arc<str>, model: usize, models: usize) {
        self.domain(domain, models).in_groups[model] += 1;
    }

    /// Counts a host without a group by the models that it has or loads.
    pub(super) fn add_free(&mut self, domain: &Arc<str>, usable: &[bool]) {
        let supply = self.domain(domain, usable.len());
        for (i, usable) in usable.iter().enumerate() {
            supply.usable[i] += usize::from(*usable);
        }
    }

    /// Counts a host without a use, which could load any model but the one that it holds.
    pub(super) fn add_loader(&mut self, domain: &Arc<str>, held: Option<usize>, models: usize) {
        let supply = self.domain(domain, models);
        for (i, loaders) in supply.loaders.iter_mut().enumerate() {
            *loaders += usize::from(held != Some(i));
        }
    }

    /// Returns how many more hosts a fabric domain needs to make up a group of hosts
    /// without one.
    pub(super) fn missing(&self, domain: &Arc<str>, formation: &Formation<'_>) -> usize {
        let models = 0..formation.profile.models.len();
        self.domains
            .get(domain)
            .and_then(|s| models.map(|i| s.missing(i, formation)).min())
            .unwrap_or(usize::MAX)
    }

    /// Chooses the weights that a host without a use is to load, if it gains by any.
    ///
    /// A model that lacks hosts and whose group the fabric domain can complete comes first,
    /// then the one whose groups have fewest replacements. While requests are served, a
    /// host that holds a model's weights changes them only for a model that lacks most of a
    /// group, and to replace members only if no group of its fabric domain runs its own.
    pub(super) fn choose(
        &mut self,
        domain: &Arc<str>,
        held: Option<usize>,
        formation: &Formation<'_>,
    ) -> Option<usize> {
        let supply = self.domains.get_mut(domain)?;
        let models = &formation.profile.models;
        let most_of_group = |i: usize| LACKING_PART * models[i].size as f64;
        let gains = |i: usize| held.is_none() || formation.lacks[i] >= most_of_group(i);
        let completes = |i: usize| {
            let lacks = formation.lacks[i] > 0.0 && gains(i);
            lacks && held != Some(i) && supply.loaders[i] >= supply.missing(i, formation)
        };
        let completed = best_model(formation, |m| {
            formation
                .profile
                .model_index(&m.name)
                .is_some_and(completes)
        });
        let fewest = || (0..models.len()).min_by_key(|i| supply.missing(*i, formation));
        let chosen = completed.or_else(|| match held {
            None => supply.least_covered(None).or_else(fewest),
            Some(_) if !formation.traffic => supply.least_covered(held),
            Some(h) if supply.in_groups[h] > 0 => None,
            Some(_) => supply.least_covered(held).filter(|i| gains(*i)),
        });
        let chosen = chosen.filter(|i| held != Some(*i))?;
        supply.take(chosen, held);
        Some(chosen)
    }
}
