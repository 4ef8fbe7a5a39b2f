//! Explains the state of an object from the knowledge of all entry hosts.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use geranium_operator::{Explanation, OperatorError};
use hyper::StatusCode;

use super::session::Session;
use super::status::operator_addresses;
use crate::ctl_error::CtlError;
use crate::exit::Exit;
use crate::output::print_json;

/// Explains the state of a request, a group, a host or a record.
pub async fn run(session: &Session<'_>, kind: &str, id: &str) -> Result<Exit, CtlError> {
    let first = session
        .call_first_reachable(|host| session.client.status(host))
        .await?;
    let addresses = operator_addresses(session, &first);
    let (found, unreached) = collect(session, &addresses, kind, id).await?;
    if session.invocation.json {
        print_json(&found)?;
    } else {
        print(&found);
    }
    for address in unreached {
        eprintln!("not reached: {address}");
    }
    if found.is_empty() {
        eprintln!("no entry host knows {kind} {id}");
        return Ok(Exit::NotFound);
    }
    Ok(Exit::Done)
}

async fn collect(
    session: &Session<'_>,
    addresses: &[SocketAddr],
    kind: &str,
    id: &str,
) -> Result<(Vec<Explanation>, Vec<SocketAddr>), CtlError> {
    let mut found = Vec::new();
    let mut unreached = Vec::new();
    for &address in addresses {
        match session.client.explain(address, kind, id).await {
            Ok(explanation) => found.push(explanation),
            Err(OperatorError::Refused(_, e)) if e.status == StatusCode::NOT_FOUND => {}
            Err(e @ OperatorError::Refused(..)) => return Err(e.into()),
            Err(_) => unreached.push(address),
        }
    }
    Ok((found, unreached))
}

fn print(found: &[Explanation]) {
    for line in without_duplicates(found.iter().flat_map(|e| &e.lines)) {
        out!("{line}");
    }
    for line in without_duplicates(found.iter().flat_map(|e| &e.would_change)) {
        out!("would change it: {line}");
    }
}

/// Removes lines that several entry hosts return alike.
fn without_duplicates<'a>(lines: impl Iterator<Item = &'a String>) -> Vec<&'a String> {
    let mut seen = BTreeSet::new();
    lines.filter(|line| seen.insert(*line)).collect()
}
