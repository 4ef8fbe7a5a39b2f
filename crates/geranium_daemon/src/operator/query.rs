//! Query strings and path parameters.

use std::collections::BTreeMap;
use std::str::FromStr;

use geranium_core::record::{RecordError, RecordKey};
use geranium_net::ApiError;
use hyper::StatusCode;
use viz::{Request, RequestExt};

/// Parsed query of a call.
pub struct Query(BTreeMap<String, String>);

impl Query {
    /// Parses the query of a call.
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

    /// Reads a parameter that may be absent.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the parameter does not parse.
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

/// Reads a path parameter.
pub fn path_param(req: &Request, name: &str) -> String {
    req.param::<String>(name).unwrap_or_default()
}

/// Reads the key of a record from the path.
///
/// # Errors
///
/// Returns a refusal if kind or name are not valid.
pub fn record_key(req: &Request) -> Result<RecordKey, ApiError> {
    let text = format!("{}/{}", path_param(req, "kind"), path_param(req, "name"));
    text.parse()
        .map_err(|e: RecordError| bad_request("invalid_key", e.to_string()))
}

/// Makes a refusal of a call that is not valid.
pub fn bad_request(kind: &str, message: impl Into<String>) -> ApiError {
    ApiError::new(StatusCode::BAD_REQUEST, kind, message)
}

/// Makes a refusal of a call for something that does not exist.
pub fn not_found(message: impl Into<String>) -> ApiError {
    ApiError::new(StatusCode::NOT_FOUND, "not_found", message)
}
