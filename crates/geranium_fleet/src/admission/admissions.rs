//! Admission to the groups of all models.

use std::sync::Arc;
use std::time::Duration;

use geranium_core::collections::HashMap;

use super::ModelAdmission;

/// What an entry host knows of the recent requests, by service and model.
#[derive(Clone, Debug, Default)]
pub struct Admissions {
    by_service: HashMap<Arc<str>, HashMap<Arc<str>, ModelAdmission>>,
}

impl Admissions {
    /// Returns the state of a model of a service.
    pub fn model(&mut self, service: &Arc<str>, model: &Arc<str>) -> &mut ModelAdmission {
        let by_model = self.by_service.entry(service.clone()).or_default();
        by_model.entry(model.clone()).or_default()
    }

    /// Returns the part of the time to a model's first token that does not depend on the load;
    /// zero until it is learned.
    #[must_use]
    pub fn first_token_delay(&self, service: &str, model: &str) -> Duration {
        let by_model = self.by_service.get(service);
        let admission = by_model.and_then(|m| m.get(model));
        admission.map_or(Duration::ZERO, ModelAdmission::first_token_delay)
    }
}
