//! Fault matrix: every fault of the brief at every step, on the real decision code.
//!
//! Each cell drives the state machines of `geranium_core` through small fakes,
//! with time as an argument, and gives the same verdict on every run. A module
//! adds steps by implementing [`Column`]; rows are the variants of [`Fault`].
//!
//! | module | steps |
//! | --- | --- |
//! | [`control`] | formation, repair, configuration change, domain out and back, leaving, leader change |
//! | [`request`] | admission, claim, dispatch, first token, mid-stream, end, answer kept, resend, refusal, shutdown |

mod column;
pub mod control;
mod fault;
mod matrix;
pub mod prelude;
pub mod request;

pub use column::{Column, Verdict};
pub use fault::Fault;
pub use matrix::{Cell, Matrix, Totals};
