//! Errors of the router.

use quick_error::quick_error;

use crate::id::{AccountId, ModelId};

quick_error! {
    /// Reason why no group can serve a request. The request has not been run.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RouteRefusal {
        /// No group serves the model.
        NoGroup(model: ModelId) {
            display("no group serves model {:?}", model.as_str())
        }
        /// Groups serve the model, but no record lets the account use them.
        NotAllowed(model: ModelId, account: AccountId) {
            display("client account {:?} may not use model {:?}", account.as_str(), model.as_str())
        }
        /// Every group is excluded by the query, drained or unreachable.
        Unavailable(model: ModelId) {
            display("every group of model {:?} is excluded, drained or unreachable", model.as_str())
        }
        /// Every usable group is at its capacity.
        Saturated(model: ModelId) {
            display("every group of model {:?} is at its capacity", model.as_str())
        }
        /// The only usable groups are cold and this host holds no credit for them.
        NoColdCredit(model: ModelId) {
            display("only cold groups serve model {:?} and no cold credit is available", model.as_str())
        }
    }
}
