//! Parsing of query strings and path parameters.

use std::collections::BTreeMap;
use std::str::FromStr;

use geranium_core::record::{RecordError, RecordKey};
use geranium_net::ApiError;
use hyper::StatusCode;
use viz::{Request, RequestExt};

/// Parsed query string of a request.
pub struct Query(BTreeMap<String, String>);

impl Query {
    /// Parses the query string of a request. Parameters without a value are left out.
    pub fn parse(req: &Request) -> Self {
        let pairs = req.query_string().unwrap_or_default().split('&');
        let pairs = pairs.filter_map(|pair| pair.split_once('='));
        let non_empty = pairs.filter(|(_, value)| !value.is_empty());
        Self(
            non_empty
                .map(|(name, value)| (name.to_owned(), value.to_owned()))
                .collect(),
        )
    }

    /// Parses a parameter; returns `None` if it is absent.
    ///
    /// # Errors
    ///
    /// Returns an error if the parameter cannot be parsed.
    pub fn get<T>(&self, name: &str) -> Result<Option<T>, ApiError>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        let Some(text) = self.0.get(name) else {
            return Ok(None);
        };
        text.parse().map(Some).map_err(|e: T::Err| {
            bad_request(
                "invalid_query",
                format!("parameter {name:?} is {text:?}: {e}"),
            )
        })
    }
}

/// Returns a path parameter, or an empty string if it is absent.
pub fn path_param(req: &Request, name: &str) -> String {
    req.param::<String>(name).unwrap_or_default()
}

/// Parses the key of a record from the path.
///
/// # Errors
///
/// Returns an error if the kind or the name is not valid.
pub fn record_key(req: &Request) -> Result<RecordKey, ApiError> {
    let text = format!("{}/{}", path_param(req, "kind"), path_param(req, "name"));
    text.parse()
        .map_err(|e: RecordError| bad_request("invalid_key", e.to_string()))
}

/// Creates the error for a request that is not valid.
pub fn bad_request(kind: &str, message: impl Into<String>) -> ApiError {
    ApiError::new(StatusCode::BAD_REQUEST, kind, message)
}

/// Creates the error for a request for something that does not exist.
pub fn not_found(message: impl Into<String>) -> ApiError {
    ApiError::new(StatusCode::NOT_FOUND, "not_found", message)
}
