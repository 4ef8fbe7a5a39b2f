//! What the process does with crashes of backend servers that it learns of.

use geranium_fleet::crash::{CrashCount, CrashId, CrashSubject};

use crate::crash_record::CrashRecord;
use crate::crash_reports::CrashMessage;
use crate::dialect::Dialect;
use crate::metrics::gauge;
use crate::state::SharedState;

impl<D: Dialect> SharedState<D> {
    /// Records that a backend server incarnation has ended, and tells the other entry hosts
    /// which requests it had dropped.
    pub(crate) fn record_host_ended(&self, id: &str, incarnation: u64) {
        let now = self.now();
        let crash = CrashId {
            host: id.into(),
            incarnation,
        };
        let report = self.core.borrow_mut().crashes.confirm_crash(&crash, now);
        let Some(report) = report else {
            return;
        };
        log::info!(host:% = id, born = incarnation, requests = report.requests.len(); "backend server crashed under requests");
        self.metrics.crashes.inc();
        self.update_refusals();
        let record = CrashRecord::Crashed(report);
        self.crash_outbox.send(CrashMessage::Publish(record));
    }

    /// Applies what another entry host tells about crashes.
    pub(crate) fn apply_crash_record(&self, record: &CrashRecord) {
        let now = self.now();
        {
            let crashes = &mut self.core.borrow_mut().crashes;
            match record {
                CrashRecord::Crashed(report) => crashes.apply_report(report, now),
                CrashRecord::Disproved(count) => crashes.apply_disproved(count, now),
                CrashRecord::Trial(trial) => crashes.record_trial(trial),
            }
        }
        self.update_refusals();
    }

    /// Records that a request was answered, which shows that its subjects did not cause the
    /// crashes that were known when it was sent.
    pub(crate) fn record_answer(&self, subjects: &[CrashSubject], sent: &[CrashCount]) {
        let now = self.now();
        let tell = self
            .core
            .borrow_mut()
            .crashes
            .record_answer(subjects, sent, now);
        if !sent.is_empty() {
            self.update_refusals();
        }
        if tell {
            self.crash_outbox.send(CrashMessage::TellDisproved);
        }
    }

    /// Decides anew what is refused because it crashes backend servers.
    fn update_refusals(&self) {
        let now = self.now();
        let mut core = self.core.borrow_mut();
        for change in core.crashes.update_refusals(now) {
            let count = change.count;
            log::info!(
                subject:% = count.subject, refused = change.refused, crashes = count.crashes, disproved = count.disproved;
                "refusal of a crash subject changed"
            );
        }
        let refused = core.crashes.refused_count();
        self.metrics.refused_subjects.set(gauge(refused as u64));
    }
}
