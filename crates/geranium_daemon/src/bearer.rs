//! The authorization header.

use hyper::header::AUTHORIZATION;
use viz::Request;

/// Scheme of the authorization header, with the space that separates it from the token.
const SCHEME: &str = "Bearer ";

/// Returns the bearer token of a request, if any.
#[must_use]
pub fn bearer_token(req: &Request) -> Option<&str> {
    let header = req.headers().get(AUTHORIZATION)?.to_str().ok()?;
    header.strip_prefix(SCHEME)
}
