//! Commonly used types of this crate.

pub use crate::{
    ApiError, ClientConfig, ClientError, HttpClient, HttpRequest, HttpServer, ServerConfig,
    ServerError,
};
