//! Placeholder front page, replaced by the first commit of the crate.
