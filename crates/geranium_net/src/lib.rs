//! HTTP client and server shared by all processes.
//!
//! [`HttpClient`] calls servers by IP address and reports whether a failed call may have
//! reached the server. [`HttpServer`] serves a `viz` router with limits on connections
//! and headers, and [`read_body`] limits bodies. [`ResponseMemory`] limits the responses of
//! all servers together. [`ApiError`] is the JSON error response to every rejected call.

mod api_error;
mod body;
mod body_framing;
mod client;
mod client_error;
mod lines;
mod memory_reservation;
mod response_body;
mod response_memory;
mod response_status;
mod response_timeout;
mod server;
mod server_error;

pub mod prelude;

pub use api_error::ApiError;
pub use body::{discard_body, read_body, read_body_with_timeout};
pub use body_framing::BodyFraming;
pub use client::{ClientConfig, HttpClient, HttpRequest};
pub use client_error::ClientError;
pub use lines::{LineError, LineSplitter};
pub use memory_reservation::MemoryReservation;
pub use response_body::{ResponseBody, read_response_body};
pub use response_memory::ResponseMemory;
pub use response_status::is_protocol_status;
pub use response_timeout::ResponseTimeout;
pub use server::{HttpServer, ServerConfig};
pub use server_error::ServerError;
