//! The log buffer neither blocks nor grows without limit, and reports dropped lines.

use std::io::Write;

use geranium_entry::LogWriter;

#[test]
fn lines_beyond_the_buffer_are_dropped_and_counted() {
    let mut writer = LogWriter::default();
    let line = [b'x'; 1_000];
    for _ in 0..2_000 {
        writer.write_all(&line).expect("a write never fails");
    }

    let first = writer.take();
    let second = writer.take();

    assert!(first.len() < 600_000, "{}", first.len());
    let text = String::from_utf8_lossy(&first).into_owned();
    assert!(text.contains("log lines dropped"));
    assert!(second.is_empty());
}

#[test]
fn buffered_lines_keep_their_order() {
    let mut writer = LogWriter::default();

    writer.write_all(b"one\n").expect("a write never fails");
    writer.write_all(b"two\n").expect("a write never fails");

    assert_eq!(writer.take(), b"one\ntwo\n");
}
