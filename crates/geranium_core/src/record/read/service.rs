//! Parsing of service records.

use std::net::SocketAddr;

use super::check_unique;
use crate::id::RecordName;
use crate::record::fields::Fields;
use crate::record::{ServiceEndpoint, ServiceRoute, ServiceSpec};

/// HTTP methods that a route may have.
const METHODS: [&str; 6] = ["DELETE", "GET", "HEAD", "PATCH", "POST", "PUT"];

/// Maximum length of a route's path in bytes.
const MAX_PATH_LEN: usize = 1_024;

/// Reads the fields of a service record.
pub(in crate::record) fn read_service(
    fields: &mut Fields<'_>,
    name: RecordName,
) -> Option<ServiceSpec> {
    let endpoints = read_endpoints(fields);
    let routes = read_routes(fields);
    let accounts = fields.ids("accounts");
    if let Some(accounts) = &accounts {
        check_unique(fields, "accounts", accounts);
    }
    Some(ServiceSpec {
        name,
        endpoints: endpoints?,
        routes: routes?,
        accounts: accounts?,
    })
}

fn read_endpoints(fields: &mut Fields<'_>) -> Option<Vec<ServiceEndpoint>> {
    let valid = "a list of {\"host\", \"failure_domain\", \"address\"}";
    let endpoints = fields.objects("endpoints", valid, |fields| {
        let host = fields.id("host");
        let failure_domain = fields.id("failure_domain");
        let address = read_address(fields);
        Some(ServiceEndpoint {
            host: host?,
            failure_domain: failure_domain?,
            address: address?,
        })
    })?;
    let addresses: Vec<_> = endpoints.iter().map(|e| e.address).collect();
    check_unique(fields, "endpoints", &addresses);
    Some(endpoints)
}

fn read_address(fields: &mut Fields<'_>) -> Option<SocketAddr> {
    let valid =
        "IP:PORT, with a nonzero port and an address that is neither unspecified nor multicast";
    let address = fields.required::<SocketAddr>("address", valid)?;
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        fields.reject("address", valid);
        return None;
    }
    Some(address)
}

fn read_routes(fields: &mut Fields<'_>) -> Option<Vec<ServiceRoute>> {
    let valid = "a list of {\"method\", \"path\", \"idempotent\"}";
    let routes = fields.objects("routes", valid, |fields| {
        let method = read_method(fields);
        let path = read_path(fields);
        let idempotent = fields.required("idempotent", "true or false");
        Some(ServiceRoute {
            method: method?,
            path: path?,
            idempotent: idempotent?,
        })
    })?;
    let keys: Vec<_> = routes
        .iter()
        .map(|route| format!("{} {}", route.method, route.path))
        .collect();
    check_unique(fields, "routes", &keys);
    Some(routes)
}

fn read_method(fields: &mut Fields<'_>) -> Option<String> {
    let valid = format!("one of {}", METHODS.join(", "));
    let method = fields.required::<String>("method", &valid)?;
    if METHODS.contains(&method.as_str()) {
        return Some(method);
    }
    fields.reject("method", valid);
    None
}

fn read_path(fields: &mut Fields<'_>) -> Option<String> {
    let valid = format!(
        "a path of at most {MAX_PATH_LEN} bytes that starts with '/', \
         with '*' only at its end and without '?', '#', '//', '..' and spaces"
    );
    let path = fields.required::<String>("path", &valid)?;
    if path.len() <= MAX_PATH_LEN && is_path(&path) {
        return Some(path);
    }
    fields.reject("path", valid);
    None
}

fn is_path(path: &str) -> bool {
    let stem = path.strip_suffix('*').unwrap_or(path);
    let is_plain = |c: char| c.is_ascii_graphic() && !matches!(c, '*' | '?' | '#');
    stem.starts_with('/')
        && stem.chars().all(is_plain)
        && !stem.contains("//")
        && !stem.split('/').any(|part| part == "..")
}
