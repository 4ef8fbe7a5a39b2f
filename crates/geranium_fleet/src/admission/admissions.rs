//! Admission to the groups of all models.

use std::sync::Arc;

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

    /// Returns the state of a model of a service, if there were requests for it.
    #[must_use]
    pub fn known_model(&self, service: &str, model: &str) -> Option<&ModelAdmission> {
        self.by_service.get(service)?.get(model)
    }
}
