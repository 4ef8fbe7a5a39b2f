//! Shows the routing state of an entry host of the users' platform.

use std::net::SocketAddr;
use std::time::Duration;

use geranium_fleet::entry_host_view::EntryHostView;
use geranium_net::{ClientConfig, HttpClient, HttpRequest};

use super::session::Session;
use crate::ctl_error::CtlError;
use crate::exit::Exit;
use crate::output::{print_json, print_wrapped, table};

/// Timeout of the call to the entry host.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Shows the routes, groups and backend servers that are known to the entry host with this
/// metrics address.
///
/// # Errors
///
/// Returns an error if the address is malformed or the call fails.
pub async fn run(session: &Session<'_>, address: &str) -> Result<Exit, CtlError> {
    let view = fetch(address).await?;
    if session.invocation.json {
        print_json(&view)?;
    } else {
        print(&view);
    }
    Ok(Exit::Done)
}

/// Fetches the view of the entry host with this metrics address.
///
/// # Errors
///
/// Returns an error if the address is malformed or the call fails.
pub(super) async fn fetch(address: &str) -> Result<EntryHostView, CtlError> {
    let address: SocketAddr = address
        .parse()
        .map_err(|e| CtlError::Usage(format!("address {address:?} is not valid: {e}")))?;
    let client = HttpClient::new(&ClientConfig::default());
    let req = HttpRequest::get(address, "/beliefs");
    let answer = client.send_json::<EntryHostView>(req, CALL_TIMEOUT).await;
    let (_, view) = answer.map_err(|e| CtlError::NoHost(e.to_string()))?;
    Ok(view)
}

fn print(view: &EntryHostView) {
    let version = view.version.map_or("none".to_owned(), |v| v.to_string());
    let manager = view.manager.as_deref().unwrap_or("none");
    print_wrapped(
        &view.entry_host,
        &format!(
            "version {version}, manager {manager}, directory received {} ms ago",
            view.directory_age_ms
        ),
    );
    if let Some(ms) = view.cut_off_ms {
        let text = format!("reaches no backend server for {ms} ms, forwards requests");
        print_wrapped(&view.entry_host, &text);
    }
    if view.limited_servers > 0 {
        let text = format!("{} backend servers name a limit", view.limited_servers);
        print_wrapped(&view.entry_host, &text);
    }
    let mut routes = table(&[
        "route", "kind", "services", "timeout", "attempts", "rank", "key",
    ]);
    for r in &view.routes {
        let key = if r.public { "no" } else { "yes" };
        let timeout = format!("{} ms", r.timeout_ms);
        let (attempts, rank) = (r.attempts.to_string(), r.priority.to_string());
        routes.add_row([
            &r.matches, &r.kind, &r.targets, &timeout, &attempts, &rank, key,
        ]);
    }
    out!("{routes}");
    let mut services = table(&["service", "ready", "leaving", "cold"]);
    for s in &view.services {
        let counts = [s.ready, s.leaving, s.cold].map(|n| n.to_string());
        services.add_row([&s.service, &counts[0], &counts[1], &counts[2]]);
    }
    out!("{services}");
    let mut groups = table(&["model", "group", "state", "head", "fabric domain"]);
    for g in &view.groups {
        groups.add_row([&g.model, &g.group, &g.state, &g.head, &g.fabric_domain]);
    }
    out!("{groups}");
}
