//! Stand-ins for the platform, engines and plain services, for tests only.
//!
//! Each stand-in speaks the published protocol of the part it stands for and
//! names on its front page what it leaves out. All of them can be told to fail
//! by `POST /fault` on a listener of their own, and tell what they have seen by
//! `GET /fault/stats`. Tests start them in-process; the binary
//! `geranium-fakes` starts them as processes.
//!
//! | module | what it holds |
//! | --- | --- |
//! | [`platform`] | stand-in for the key-value service with compare-and-swap, leases and watches |
//! | [`engine`] | stand-in for a model engine on one host |
//! | [`service`] | stand-in for a plain service |
//! | [`fixture`] | groups of engines and chats for tests |
//! | [`http`] | the listeners that they share |
//! | [`cli`] | the command line of the binary |

pub mod cli;
pub mod engine;
pub mod fixture;
pub mod http;
pub mod platform;
pub mod service;

pub use engine::{EngineConfig, FakeEngine, expected_text};
pub use platform::{FakePlatform, PlatformConfig};
pub use service::{FakeService, ServiceConfig};
