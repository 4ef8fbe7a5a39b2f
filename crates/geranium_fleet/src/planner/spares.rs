//! Chooses the weights of hosts without a group, by fabric domain.
//!
//! Hosts left over after groups were formed replace members that fail. They can do so at
//! once only if they hold the weights of the group that lost its member, so their weights
//! are apportioned to the models by the number of hosts that may be lost.

use std::sync::Arc;

use geranium_core::collections::HashMap;

use super::formation::{Formation, best_model};
use super::reclaim::MIN_DEFICIT_OF_GROUP;

/// Hosts of one fabric domain; the lists are in the order of the profile's models.
#[derive(Clone, Debug)]
struct DomainSpares {
    /// Hosts without a group that hold or load a model's weights.
    usable: Vec<usize>,
    /// Hosts in groups of a model.
    in_groups: Vec<usize>,
    /// Unused hosts that could load a model's weights.
    loadable: Vec<usize>,
}

impl DomainSpares {
    fn new(models: usize) -> Self {
        Self {
            usable: vec![0; models],
            in_groups: vec![0; models],
            loadable: vec![0; models],
        }
    }

    /// Returns how many more usable hosts complete a group of a model.
    fn missing(&self, model: usize, formation: &Formation<'_>) -> usize {
        let size = formation.profile.models[model].group_size;
        size - self.usable[model] % size
    }

    /// Returns the model whose groups have the fewest replacements for the hosts that they
    /// may lose (highest averages method of V. D'Hondt); `staged` wins a tie.
    fn least_covered(&self, staged: Option<usize>) -> Option<usize> {
        let quotient = |i: usize| {
            let others = self.usable[i] - usize::from(staged == Some(i));
            self.in_groups[i] as f64 / (others + 1) as f64
        };
        let models = (0..self.usable.len()).filter(|i| self.in_groups[*i] > 0);
        models.max_by(|a, b| {
            let by_quotient = quotient(*a).total_cmp(&quotient(*b));
            by_quotient.then_with(|| (staged == Some(*a)).cmp(&(staged == Some(*b))))
        })
    }

    /// Records that an unused host loads a model's weights in place of those it holds.
    fn assign_load(&mut self, model: usize, staged: Option<usize>) {
        self.usable[model] += 1;
        if let Some(staged) = staged {
            self.usable[staged] -= 1;
        }
        for (i, loadable) in self.loadable.iter_mut().enumerate() {
            if staged != Some(i) {
                *loadable = loadable.saturating_sub(1);
            }
        }
    }
}

/// Hosts without a group and their weights, by fabric domain.
#[derive(Clone, Debug, Default)]
pub(super) struct SpareHosts {
    domains: HashMap<Arc<str>, DomainSpares>,
}

impl SpareHosts {
    fn domain(&mut self, domain: &Arc<str>, models: usize) -> &mut DomainSpares {
        let spares = self.domains.entry(domain.clone());
        spares.or_insert_with(|| DomainSpares::new(models))
    }

    /// Counts a host in a group of a model.
    pub(super) fn add_member(&mut self, domain: &Arc<str>, model: usize, models: usize) {
        self.domain(domain, models).in_groups[model] += 1;
    }

    /// Counts a host without a group for each model whose weights it holds or loads.
    pub(super) fn add_spare(&mut self, domain: &Arc<str>, usable: &[bool]) {
        let spares = self.domain(domain, usable.len());
        for (i, usable) in usable.iter().enumerate() {
            spares.usable[i] += usize::from(*usable);
        }
    }

    /// Counts an unused host, which could load any model but the one whose weights it
    /// holds.
    pub(super) fn add_loadable(&mut self, domain: &Arc<str>, staged: Option<usize>, models: usize) {
        let spares = self.domain(domain, models);
        for (i, loadable) in spares.loadable.iter_mut().enumerate() {
            *loadable += usize::from(staged != Some(i));
        }
    }

    /// Returns how many more hosts complete a group from a fabric domain's hosts without a
    /// group.
    pub(super) fn missing(&self, domain: &Arc<str>, formation: &Formation<'_>) -> usize {
        let models = 0..formation.profile.models.len();
        self.domains
            .get(domain)
            .and_then(|s| models.map(|i| s.missing(i, formation)).min())
            .unwrap_or(usize::MAX)
    }

    /// Chooses the weights that an unused host loads, or `None` if it gains nothing by a
    /// load.
    ///
    /// A model with a deficit whose group the fabric domain can complete comes first, then
    /// the model whose groups have the fewest replacements. While requests are served, a
    /// host that holds weights replaces them only for a model that lacks most of a group,
    /// and to provide replacements only if no group of its fabric domain runs the model
    /// whose weights it holds.
    pub(super) fn choose(
        &mut self,
        domain: &Arc<str>,
        staged: Option<usize>,
        formation: &Formation<'_>,
    ) -> Option<usize> {
        let spares = self.domains.get_mut(domain)?;
        let models = &formation.profile.models;
        let most_of_group = |i: usize| MIN_DEFICIT_OF_GROUP * models[i].group_size as f64;
        let is_worthwhile =
            |i: usize| staged.is_none() || formation.deficits[i] >= most_of_group(i);
        let completes = |i: usize| {
            let has_deficit = formation.deficits[i] > 0.0 && is_worthwhile(i);
            has_deficit && staged != Some(i) && spares.loadable[i] >= spares.missing(i, formation)
        };
        let completed = best_model(formation, |m| {
            formation
                .profile
                .model_index(&m.name)
                .is_some_and(completes)
        });
        let fewest = || (0..models.len()).min_by_key(|i| spares.missing(*i, formation));
        let chosen = completed.or_else(|| match staged {
            None => spares.least_covered(None).or_else(fewest),
            Some(_) if !formation.has_traffic => spares.least_covered(staged),
            Some(h) if spares.in_groups[h] > 0 => None,
            Some(_) => spares.least_covered(staged).filter(|i| is_worthwhile(*i)),
        });
        let chosen = chosen.filter(|i| staged != Some(*i))?;
        spares.assign_load(chosen, staged);
        Some(chosen)
    }
}
