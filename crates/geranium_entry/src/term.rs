//! Terms of the manager role, which separate the epochs of managers.

mod manager_term;
mod stored_term;
mod term_record;

pub(crate) use manager_term::ManagerTerm;
pub(crate) use stored_term::StoredTerm;
pub(crate) use term_record::{TERM_KEY, TermRecord};
