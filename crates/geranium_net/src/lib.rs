//! HTTP client and server wiring shared by the processes.
//!
//! [`HttpClient`] calls by IP address and tells whether a failed call may have
//! reached the other side. [`HttpServer`] serves a `viz` router with limits on
//! connections, headers and bodies. [`ApiError`] is the JSON body of every
//! refused call.

mod api_error;
mod body;
mod client;
mod client_error;
mod lines;
mod server;
mod server_error;

pub mod prelude;

pub use api_error::ApiError;
pub use body::{discard_body, read_body, read_body_with_timeout, read_response_body};
pub use client::{ClientConfig, HttpClient, HttpRequest};
pub use client_error::ClientError;
pub use lines::{LineError, LineSplitter};
pub use server::{HttpServer, ServerConfig};
pub use server_error::ServerError;
