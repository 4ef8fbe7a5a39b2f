//! Shows the room at the groups of each model, as an entry host of the users' platform knows it.

use geranium_fleet::room::RoomRow;

use super::beliefs;
use super::session::Session;
use crate::ctl_error::CtlError;
use crate::exit::Exit;
use crate::output::{print_json, table};

/// Shows the requests and slots of all models by failure domain, known to the entry host with
/// this metrics address.
///
/// # Errors
///
/// Returns an error if the address is malformed, the call fails or the entry host is too old.
pub async fn run(session: &Session<'_>, address: &str) -> Result<Exit, CtlError> {
    let view = beliefs::fetch(address).await?;
    let room = view.room.ok_or(CtlError::RoomNotStated)?;
    if session.invocation.json {
        print_json(&room)?;
    } else {
        print(&room);
    }
    Ok(Exit::Done)
}

fn print(rows: &[RoomRow]) {
    let mut room = table(&[
        "service",
        "model",
        "failure domain",
        "groups",
        "full",
        "requests",
        "slots",
    ]);
    for r in rows {
        let counts = [r.groups, r.full_groups].map(|n| n.to_string());
        let load = [r.running, r.slots].map(|n| n.to_string());
        room.add_row([
            &r.service,
            &r.model,
            &r.failure_domain,
            &counts[0],
            &counts[1],
            &load[0],
            &load[1],
        ]);
    }
    out!("{room}");
}
