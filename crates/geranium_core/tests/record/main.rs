//! Operator records: documents, merging, operators' changes.

mod apply;
mod check;
mod documents;
mod fixture;
mod set;
