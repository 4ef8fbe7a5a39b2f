//! Conversion of documents to their normal form, with one file for each kind.

mod account;
mod drain;
mod model;
mod service;

pub(super) use account::read_account;
pub(super) use drain::read_drain;
pub(super) use model::{DEFAULT_COLD_CONCURRENCY, DEFAULT_WARM_CONCURRENCY, read_model};
pub(super) use service::read_service;

use super::fields::Fields;

/// Adds a violation for each element that has occurred before.
fn check_unique<T: PartialEq + std::fmt::Display>(
    fields: &mut Fields<'_>,
    name: &'static str,
    elements: &[T],
) {
    for (i, element) in elements.iter().enumerate() {
        if elements[..i].contains(element) {
            fields.reject(name, format!("unique elements; {element} is a duplicate"));
        }
    }
}
