//! Finds out whether a backend server that dropped a request has ended.

use geranium_fleet::crash::CrashId;
use geranium_fleet::host::Host;

use crate::dialect::Dialect;
use crate::pool::ConnectError;
use crate::state::SharedState;

/// Connects to a backend server that has just dropped a request; returns once it is known
/// whether the server has ended, or the probe timed out. A server that ended refuses at once
/// if its host still runs.
///
/// The entry of a server that ended stays in the store until its heartbeats have been missing
/// for a while, and until then further requests would crash further servers.
pub(crate) async fn probe<D: Dialect>(shared: &SharedState<D>, host: &Host) {
    let crash = CrashId::of(host);
    if shared.crash_probes.join(&crash).await {
        return;
    }
    let _guard = shared.crash_probes.begin(crash);
    match shared.open_connection(&host.id, host.address).await {
        Ok(()) => {}
        Err(ConnectError::Failed(_, e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
            if !shared.check_reach(Some(&host.id)).await {
                log::info!(host:% = host.id; "refused connection shows no end of a backend server: none is reached");
                return;
            }
            log::info!(host:% = host.id, born = host.incarnation; "backend server has ended: it refuses connections");
            let now = shared.now();
            shared.core.borrow_mut().dispatcher.suspect(&host.id, now);
            shared.record_host_ended(&host.id, host.incarnation);
        }
        Err(e) => log::info!(host:% = host.id; "probe after a disconnect failed: {e}"),
    }
}
