//! Commands that validate and change records.

use std::str::FromStr;
use std::time::{Duration, Instant};

use geranium_core::id::RecordName;
use geranium_core::record::RecordKind;
use geranium_operator::{ApplyAnswer, ApplyOutcome, ApplyRequest, InForceView};
use serde_json::Value;

use super::session::Session;
use crate::ctl_error::CtlError;
use crate::document::RecordFile;
use crate::exit::Exit;
use crate::output::print_json;

/// Interval between checks whether a record is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Prefix of a change to the field `kind`.
const KIND_CHANGE_PREFIX: &str = "kind: ";

/// Validates a record without writing it.
pub async fn validate(session: &Session<'_>, path: &str) -> Result<Exit, CtlError> {
    let file = RecordFile::read(path)?;
    let client = &session.client;
    let answer = session
        .call_first_reachable(|host| client.validate(host, &file.document))
        .await?;
    if session.invocation.json {
        print_json(&answer)?;
    } else {
        print_lines("fault", &answer.faults);
        print_lines("warning", &answer.warnings);
        if answer.faults.is_empty() {
            out!("{} {} is valid", file.kind, file.name);
        }
    }
    Ok(if answer.faults.is_empty() {
        Exit::Done
    } else {
        Exit::InvalidRecord
    })
}

/// Shows what a record would change.
pub async fn diff(session: &Session<'_>, path: &str) -> Result<Exit, CtlError> {
    let file = RecordFile::read(path)?;
    let client = &session.client;
    let answer = session
        .call_first_reachable(|host| client.validate(host, &file.document))
        .await?;
    if session.invocation.json {
        print_json(&answer)?;
    } else {
        print_lines("fault", &answer.faults);
        for change in &answer.changes {
            out!("{change}");
        }
    }
    if !answer.faults.is_empty() {
        return Ok(Exit::InvalidRecord);
    }
    Ok(if answer.changes.is_empty() {
        Exit::Done
    } else {
        Exit::Different
    })
}

/// Writes a record.
pub async fn apply(session: &Session<'_>, path: &str) -> Result<Exit, CtlError> {
    let file = RecordFile::read(path)?;
    // Kind and name become part of the URL path, so they are validated here.
    let document_error = |e: String| CtlError::Document(path.to_owned(), e);
    RecordKind::from_str(&file.kind).map_err(|e| document_error(e.to_string()))?;
    RecordName::from_str(&file.name).map_err(|e| document_error(e.to_string()))?;
    write_record(session, &file.kind, &file.name, file.document).await
}

/// Deletes a record.
pub async fn delete(session: &Session<'_>, kind: &str, name: &str) -> Result<Exit, CtlError> {
    write_record(session, kind, name, Value::Null).await
}

/// Writes a record, or deletes it if `document` is null.
pub async fn write_record(
    session: &Session<'_>,
    kind: &str,
    name: &str,
    document: Value,
) -> Result<Exit, CtlError> {
    let req = ApplyRequest {
        document,
        expected_generation: session.invocation.generation,
        operator: session.invocation.operator.clone(),
    };
    let client = &session.client;
    let answer = session
        .call_first_reachable(|host| client.apply(host, kind, name, &req))
        .await?;
    let exit = if answer.outcome == ApplyOutcome::LostRace {
        Exit::LostRace
    } else {
        Exit::Done
    };
    if session.invocation.json && !session.invocation.wait {
        print_json(&answer)?;
    } else if !session.invocation.json {
        print_answer(kind, name, &answer);
    }
    if exit == Exit::Done && session.invocation.wait {
        return wait_until_in_force(session, kind, name, answer.generation).await;
    }
    Ok(exit)
}

fn print_answer(kind: &str, name: &str, answer: &ApplyAnswer) {
    let generation = answer.generation;
    print_lines("warning", &answer.warnings);
    match answer.outcome {
        ApplyOutcome::Accepted => out!("{kind} {name} accepted as generation {generation}"),
        ApplyOutcome::Unchanged => out!("{kind} {name} unchanged at generation {generation}"),
        ApplyOutcome::LostRace => out!("{kind} {name} not written: the race was lost"),
    }
    print_changes(&answer.changes);
    if let Some(race) = &answer.lost_race {
        let winner = &race.winner;
        out!(
            "  {} wrote generation {} first",
            winner.operator,
            winner.generation
        );
        if !race.differences.is_empty() {
            out!("  differences, theirs -> yours:");
        }
        for difference in &race.differences {
            out!("  {difference}");
        }
    }
}

/// Prints the changed fields, or only the field names if the record was created or deleted.
fn print_changes(changes: &[String]) {
    // The field `kind` changes only if the record is created or deleted.
    let is_whole_document = changes
        .iter()
        .any(|change| change.starts_with(KIND_CHANGE_PREFIX));
    if is_whole_document {
        let fields = changes
            .iter()
            .filter_map(|change| change.split(": ").next());
        out!("  fields: {}", fields.collect::<Vec<&str>>().join(", "));
        return;
    }
    for change in changes {
        out!("  {change}");
    }
}

async fn wait_until_in_force(
    session: &Session<'_>,
    kind: &str,
    name: &str,
    generation: u64,
) -> Result<Exit, CtlError> {
    let deadline = Instant::now() + session.invocation.timeout;
    let client = &session.client;
    loop {
        let views = session
            .call_first_reachable(|host| client.in_force(host, kind, name, generation))
            .await?;
        let done = !views.is_empty() && views.iter().all(|view| view.in_force);
        if done || Instant::now() >= deadline {
            print_in_force(session, &views)?;
            return Ok(if done { Exit::Done } else { Exit::NotInForce });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn print_in_force(session: &Session<'_>, views: &[InForceView]) -> Result<(), CtlError> {
    if session.invocation.json {
        return print_json(&views);
    }
    let there = views.iter().filter(|view| view.in_force).count();
    out!("in force on {there} of {} hosts", views.len());
    for view in views.iter().filter(|view| !view.in_force) {
        out!(
            "  not on {} in {}, last heard of {} ms ago",
            view.host,
            view.failure_domain,
            view.heard_ms_ago
        );
    }
    Ok(())
}

fn print_lines(label: &str, lines: &[String]) {
    for line in lines {
        out!("{label}: {line}");
    }
}
