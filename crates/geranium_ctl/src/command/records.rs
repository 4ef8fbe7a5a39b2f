//! Commands that show records.

use geranium_operator::RecordView;
use geranium_telemetry::time_of_day;

use super::session::Session;
use crate::ctl_error::CtlError;
use crate::exit::Exit;
use crate::output::{print_json, table};

/// Shows a record.
pub async fn get(session: &Session<'_>, kind: &str, name: &str) -> Result<Exit, CtlError> {
    let client = &session.client;
    let record = session
        .call_first_reachable(|host| client.record(host, kind, name))
        .await?;
    if session.invocation.json {
        print_json(&record)?;
        return Ok(Exit::Done);
    }
    out!(
        "# {} {}, generation {}, by {} at {}",
        record.kind,
        record.name,
        record.generation,
        record.operator,
        time_of_day(record.written_at)
    );
    print_json(&record.document)?;
    Ok(Exit::Done)
}

/// Lists records.
pub async fn list(session: &Session<'_>, kind: Option<&str>) -> Result<Exit, CtlError> {
    let client = &session.client;
    let page = session
        .call_first_reachable(|host| client.list(host, kind.unwrap_or_default()))
        .await?;
    if session.invocation.json {
        print_json(&page)?;
        return Ok(Exit::Done);
    }
    let mut rows = table(&["KIND", "NAME", "GENERATION", "OPERATOR", "WRITTEN"]);
    for record in page.records.iter().filter(|record| !record.deleted) {
        rows.add_row(row(record));
    }
    out!("{rows}");
    Ok(Exit::Done)
}

/// Shows the history of a record.
pub async fn history(session: &Session<'_>, kind: &str, name: &str) -> Result<Exit, CtlError> {
    let client = &session.client;
    let entries = session
        .call_first_reachable(|host| client.history(host, kind, name))
        .await?;
    if session.invocation.json {
        print_json(&entries)?;
        return Ok(Exit::Done);
    }
    let mut rows = table(&["GENERATION", "CHANGE", "OPERATOR", "TIME"]);
    for entry in &entries {
        rows.add_row([
            entry.generation.to_string(),
            if entry.deleted { "deleted" } else { "written" }.to_owned(),
            entry.operator.clone(),
            time_of_day(entry.written_at),
        ]);
    }
    out!("{rows}");
    Ok(Exit::Done)
}

fn row(record: &RecordView) -> [String; 5] {
    [
        record.kind.clone(),
        record.name.clone(),
        record.generation.to_string(),
        record.operator.clone(),
        time_of_day(record.written_at),
    ]
}
