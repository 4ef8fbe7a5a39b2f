//! What the process does with what backend servers say of themselves.

use std::net::SocketAddr;

use geranium_core::time::Timestamp;
use geranium_fleet::host::HostId;
use geranium_fleet::notice::{LimitNotice, ServerNotice};
use geranium_fleet::server_limit::LimitReport;

use crate::dialect::Dialect;
use crate::state::SharedState;

impl<D: Dialect> SharedState<D> {
    /// Applies a notice that a backend server incarnation gave in a response.
    pub(crate) fn apply_notice(
        &self,
        id: &HostId,
        incarnation: u64,
        notice: ServerNotice,
        request: Option<&str>,
    ) {
        if notice == ServerNotice::default() {
            return;
        }
        let now = self.now();
        if let Some(pause) = notice.pause {
            log::info!(host:% = id, request = request, pause_ms = pause.as_millis() as u64; "backend server wants nothing for a time");
            self.metrics.record_server_notice("pause");
            let mut core = self.core.borrow_mut();
            core.dispatcher.pause(id, incarnation, pause, now);
        }
        self.apply_limit_notice(id, incarnation, notice.limit, request);
        if notice.leaving && self.record_leaving(id, incarnation) {
            log::info!(host:% = id, request = request, born = incarnation; "backend server says that it leaves");
            self.metrics.record_server_notice("leaving");
            self.unreported_leaving
                .borrow_mut()
                .push((id.clone(), incarnation));
        }
    }

    fn apply_limit_notice(
        &self,
        id: &HostId,
        incarnation: u64,
        notice: LimitNotice,
        request: Option<&str>,
    ) {
        let rate = match notice {
            LimitNotice::Unlimited => return,
            LimitNotice::PerSecond(rate) => rate,
            LimitNotice::Unreadable => {
                log::warn!(host:% = id, request = request; "limit of a backend server is no number");
                return;
            }
        };
        let now = self.now();
        let mut core = self.core.borrow_mut();
        let limits = core.dispatcher.limits_mut();
        if limits.record_named(id, incarnation, rate, now) {
            log::info!(host:% = id, request = request, limit_per_s = rate; "backend server names a limit");
            self.metrics.record_server_notice("limit");
        }
    }

    /// Records that a backend server named no limit in the answer to a request sent at `sent`.
    pub(crate) fn record_unlimited(&self, id: &HostId, incarnation: u64, sent: Timestamp) {
        let now = self.now();
        let mut core = self.core.borrow_mut();
        let limits = core.dispatcher.limits_mut();
        if limits.record_unlimited(id, incarnation, sent, now) {
            log::info!(host:% = id; "backend server names no limit any more");
        }
    }

    /// Applies what another entry host has heard of a backend server's limit.
    pub(crate) fn apply_limit_report(&self, report: &LimitReport, from: SocketAddr) {
        let now = self.now();
        let mut core = self.core.borrow_mut();
        let limits = core.dispatcher.limits_mut();
        if limits.apply_report(report, now) {
            log::info!(host:% = report.host, limit_per_s = report.per_second, from:% = from; "another entry host tells of a limit");
        }
    }

    /// Records that a backend server incarnation is shutting down; returns whether that is
    /// new.
    pub(crate) fn record_leaving(&self, id: &HostId, incarnation: u64) -> bool {
        let now = self.now();
        let is_new = self
            .core
            .borrow_mut()
            .directory
            .mark_leaving(id, incarnation, now);
        if is_new {
            self.state_changed.notify_waiters();
        }
        is_new
    }
}
