//! The types that most users of this crate need.

pub use crate::{
    ApiError, ClientConfig, ClientError, HttpClient, HttpRequest, HttpServer, ServerConfig,
    ServerError,
};
