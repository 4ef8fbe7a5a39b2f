//! Operator records: documents, merging, operators' changes.

mod apply;
mod check;
mod documents;
mod examples;
mod fixture;
mod set;
