//! Tests of event recording, filtering, merging and JSON log lines.

use std::io::Write;
use std::sync::{Arc, Mutex};

use geranium_core::event::{EventDraft, EventKind, EventSubject};
use geranium_core::id::{FailureDomainId, GroupId, HostId, Incarnation};
use geranium_core::time::Timestamp;
use geranium_telemetry::{EventFilter, EventRecorder, JsonLogger, ProcessIdentity, merge_events};
use log::{Level, LevelFilter, Log, Record};

fn identity(host: &str) -> ProcessIdentity {
    ProcessIdentity {
        host: HostId::new(host),
        failure_domain: FailureDomainId::new("lima-1"),
        incarnation: Incarnation(7),
    }
}

fn draft(kind: EventKind, group: &str) -> EventDraft {
    EventDraft::new(kind, EventSubject::group(&GroupId::new(group)), "because")
}

#[derive(Clone, Default)]
struct SharedBuf(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuf {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("not poisoned").write(buf)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn ring_is_bounded_and_counts_what_it_drops() {
    let recorder = EventRecorder::new(identity("e1"), 3);

    for i in 0..5 {
        recorder.record(Timestamp::from_millis(i), draft(EventKind::GateOpened, "g"));
    }
    let page = recorder.page(&EventFilter::default(), 10);

    assert_eq!((page.dropped, page.newest, page.events.len()), (2, 5, 3));
    assert_eq!(page.events[0].id.sequence, 3);
}

#[test]
fn filter_matches_by_group_and_kind() {
    let recorder = EventRecorder::new(identity("e1"), 10);
    recorder.record(
        Timestamp::from_millis(1),
        draft(EventKind::GateOpened, "g1"),
    );
    recorder.record(
        Timestamp::from_millis(2),
        draft(EventKind::GateClosed, "g1"),
    );
    recorder.record(
        Timestamp::from_millis(3),
        draft(EventKind::GateClosed, "g2"),
    );

    let filter = EventFilter {
        group: Some(GroupId::new("g1")),
        kind: Some(EventKind::GateClosed),
        ..EventFilter::default()
    };
    let page = recorder.page(&filter, 10);

    assert_eq!(page.events.len(), 1);
    assert_eq!(page.events[0].id.sequence, 2);
}

#[test]
fn merge_puts_an_effect_after_its_cause_despite_a_slow_clock() {
    let fast = EventRecorder::new(identity("fast"), 10);
    let slow = EventRecorder::new(identity("slow"), 10);
    fast.record(
        Timestamp::from_millis(5_000),
        draft(EventKind::OrderSent, "g"),
    );
    let sent_time = fast.stamp(Timestamp::from_millis(5_000));

    slow.observe(Timestamp::from_millis(1_000), sent_time);
    slow.record(
        Timestamp::from_millis(1_001),
        draft(EventKind::GateOpened, "g"),
    );
    let all = EventFilter::default();
    let events = merge_events([slow.page(&all, 10).events, fast.page(&all, 10).events]);

    let kinds: Vec<EventKind> = events.iter().map(|e| e.kind).collect();
    assert_eq!(kinds, vec![EventKind::OrderSent, EventKind::GateOpened]);
}

#[test]
fn log_line_is_one_json_object_even_with_line_breaks() {
    let out = SharedBuf::default();
    let logger = JsonLogger::new(identity("e1"), LevelFilter::Info, out.clone());

    let args = format_args!("two\nlines \"quoted\"");
    logger.log(
        &Record::builder()
            .level(Level::Warn)
            .target("t")
            .args(args)
            .build(),
    );
    logger.log(
        &Record::builder()
            .level(Level::Debug)
            .target("t")
            .args(format_args!("x"))
            .build(),
    );

    let text = String::from_utf8(out.0.lock().expect("not poisoned").clone()).expect("text");
    let lines: Vec<&str> = text.lines().collect();
    let value: serde_json::Value = serde_json::from_str(lines[0]).expect("json");
    assert_eq!(lines.len(), 1);
    assert_eq!(value["message"], "two\nlines \"quoted\"");
    assert_eq!(value["level"], "WARN");
    assert_eq!(value["host"], "e1");
}
