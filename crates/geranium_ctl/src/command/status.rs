//! Shows the status of all failure domains.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use geranium_core::id::FailureDomainId;
use geranium_operator::StatusView;

use super::session::Session;
use crate::ctl_error::CtlError;
use crate::exit::Exit;
use crate::output::{print_json, print_wrapped, table};

/// Shows on one screen the requested, serving and missing replicas, and the problems that
/// need operator intervention.
pub async fn run(session: &Session<'_>) -> Result<Exit, CtlError> {
    let client = &session.client;
    let first = session
        .call_first_reachable(|host| client.status(host))
        .await?;
    let (views, unreached) = status_of_other_domains(session, first).await;
    if session.invocation.json {
        print_json(&views)?;
        return Ok(Exit::Done);
    }
    print_hosts(&views[0]);
    print_models(&views);
    print_problems(&views, &unreached);
    Ok(Exit::Done)
}

/// Returns the operator addresses of all known entry hosts, without duplicates.
pub fn operator_addresses(session: &Session<'_>, view: &StatusView) -> Vec<SocketAddr> {
    let known = view.hosts.iter().filter_map(|host| host.operator_address);
    let mut addresses: Vec<SocketAddr> = known
        .chain(session.invocation.hosts.iter().copied())
        .collect();
    addresses.sort_unstable();
    addresses.dedup();
    addresses
}

/// Requests the status of each other failure domain from one of its entry hosts, and
/// returns the failure domains where none answered.
async fn status_of_other_domains(
    session: &Session<'_>,
    first: StatusView,
) -> (Vec<StatusView>, Vec<FailureDomainId>) {
    let mut candidates: BTreeMap<FailureDomainId, Vec<SocketAddr>> = BTreeMap::new();
    for host in &first.hosts {
        if host.failure_domain != first.process.failure_domain {
            let addresses = candidates.entry(host.failure_domain.clone()).or_default();
            addresses.extend(host.operator_address);
        }
    }
    let mut views = vec![first];
    let mut unreached = Vec::new();
    for (domain, addresses) in candidates {
        let mut answered = false;
        for address in addresses {
            if let Ok(view) = session.client.status(address).await {
                views.push(view);
                answered = true;
                break;
            }
        }
        if !answered {
            unreached.push(domain);
        }
    }
    (views, unreached)
}

fn print_hosts(view: &StatusView) {
    let mut rows = table(&["ENTRY HOST", "FAILURE DOMAIN", "STATE", "HEARD", "RECORDS"]);
    for host in &view.hosts {
        rows.add_row([
            host.host.to_string(),
            host.failure_domain.to_string(),
            host.state.clone(),
            format!("{} ms ago", host.heard_ms_ago),
            if host.same_records { "same" } else { "differ" }.to_owned(),
        ]);
    }
    out!("{rows}\n");
}

fn print_models(views: &[StatusView]) {
    let mut rows = table(&[
        "MODEL",
        "RECORD",
        "VERSION",
        "FAILURE DOMAIN",
        "WANTED",
        "SERVING",
        "MISSING BECAUSE",
    ]);
    for model in views.iter().flat_map(|view| &view.models) {
        rows.add_row([
            model.served_model.to_string(),
            model.record.to_string(),
            model.version.clone(),
            model.failure_domain.to_string(),
            model.wanted.to_string(),
            model.serving.to_string(),
            model.missing.clone().unwrap_or_default(),
        ]);
    }
    out!("{rows}\n");
    let mut rows = table(&["FAILURE DOMAIN", "ACCELERATORS", "SERVING", "STRANDED"]);
    for view in views {
        let accelerators = &view.accelerators;
        let stranded: Vec<String> = accelerators
            .stranded
            .iter()
            .map(|(reason, count)| format!("{count} {reason}"))
            .collect();
        rows.add_row([
            view.process.failure_domain.to_string(),
            accelerators.total.to_string(),
            accelerators.serving.to_string(),
            stranded.join(", "),
        ]);
    }
    out!("{rows}\n");
}

fn print_problems(views: &[StatusView], unreached: &[FailureDomainId]) {
    for domain in unreached {
        let problem = format!("no entry host of {domain} answered");
        print_wrapped("not reached", &problem);
    }
    for view in views.iter().filter(|view| !view.store.reachable) {
        let domain = view.process.failure_domain.as_str();
        print_wrapped(domain, "the platform's service is unreachable");
    }
    let mut needs = views.iter().flat_map(|view| &view.needs_person).peekable();
    if needs.peek().is_none() {
        print_wrapped("needs a person", "nothing");
    }
    for need in needs {
        print_wrapped("needs a person", need);
    }
}
