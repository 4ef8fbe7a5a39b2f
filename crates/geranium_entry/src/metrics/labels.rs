//! Labels of metrics; each takes few values.

use prometheus_client::encoding::EncodeLabelSet;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OutcomeLabels {
    /// Kind of the route.
    pub(crate) kind: &'static str,
    /// Outcome.
    pub(crate) outcome: &'static str,
}

/// A word that tells one count from another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CauseLabel {
    /// The word.
    pub(crate) cause: &'static str,
}

/// A service of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ServiceLabel {
    /// Its name.
    pub(crate) service: String,
}

/// A model of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ModelLabel {
    /// Its name.
    pub(crate) model: String,
}

/// Groups of a model in one state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct GroupLabels {
    /// Name of the model.
    pub(crate) model: String,
    /// State that the head reports.
    pub(crate) state: &'static str,
}
