//! Tests of operator records: documents, checks, merging and changes.

mod apply;
mod check;
mod documents;
mod examples;
mod fixture;
mod set;
