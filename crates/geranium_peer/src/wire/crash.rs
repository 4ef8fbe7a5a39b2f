//! Crashes that requests caused.

use geranium_core::limit::{
    ChargeState, CrashDigest, CrashId, ExplainedCrash, RequestFingerprint, SuspicionEntry,
};
use geranium_core::time::Timestamp;

use super::{count, parse};
use crate::peer_capnp;

pub(crate) fn write_crashes(mut to: peer_capnp::crash_digest::Builder<'_>, digest: &CrashDigest) {
    let mut entries = to.reborrow().init_entries(count(digest.entries.len()));
    for (i, entry) in (0..).zip(&digest.entries) {
        write_entry(entries.reborrow().get(i), entry);
    }
    let mut explained = to.init_explained(count(digest.explained.len()));
    for (i, crash) in (0..).zip(&digest.explained) {
        let mut to = explained.reborrow().get(i);
        to.set_cause(&crash.cause.0);
        to.set_at(crash.at.0);
        write_crash(to.init_crash(), &crash.crash);
    }
}

pub(crate) fn read_crashes(
    from: peer_capnp::crash_digest::Reader<'_>,
) -> capnp::Result<CrashDigest> {
    let entries = from.get_entries()?.iter().map(read_entry);
    let explained = from.get_explained()?.iter().map(|from| {
        Ok(ExplainedCrash {
            crash: read_crash(from.get_crash()?)?,
            cause: read_fingerprint(from.get_cause())?,
            at: Timestamp(from.get_at()),
        })
    });
    Ok(CrashDigest {
        entries: entries.collect::<capnp::Result<_>>()?,
        explained: explained.collect::<capnp::Result<_>>()?,
    })
}

pub(super) fn read_fingerprint(
    from: capnp::Result<capnp::data::Reader<'_>>,
) -> capnp::Result<RequestFingerprint> {
    let bytes = from?;
    let fingerprint = bytes.try_into().map(RequestFingerprint);
    fingerprint.map_err(|_| {
        let detail = format!("a request fingerprint has {} bytes, not 16", bytes.len());
        capnp::Error::failed(detail)
    })
}

fn write_entry(mut to: peer_capnp::suspicion_entry::Builder<'_>, entry: &SuspicionEntry) {
    to.set_fingerprint(&entry.fingerprint.0);
    to.set_changed_at(entry.changed_at.0);
    let mut crashes = to.init_crashes(count(entry.crashes.len()));
    for (i, (crash, state)) in (0..).zip(&entry.crashes) {
        let mut to = crashes.reborrow().get(i);
        to.set_cleared(*state == ChargeState::Cleared);
        write_crash(to.init_crash(), crash);
    }
}

fn read_entry(from: peer_capnp::suspicion_entry::Reader<'_>) -> capnp::Result<SuspicionEntry> {
    let crashes = from.get_crashes()?.iter().map(|from| {
        let state = if from.get_cleared() {
            ChargeState::Cleared
        } else {
            ChargeState::Charged
        };
        Ok((read_crash(from.get_crash()?)?, state))
    });
    Ok(SuspicionEntry {
        fingerprint: read_fingerprint(from.get_fingerprint())?,
        crashes: crashes.collect::<capnp::Result<_>>()?,
        changed_at: Timestamp(from.get_changed_at()),
    })
}

fn write_crash(mut to: peer_capnp::crash_id::Builder<'_>, crash: &CrashId) {
    to.set_group(crash.group.as_str());
    to.set_generation(crash.generation);
}

fn read_crash(from: peer_capnp::crash_id::Reader<'_>) -> capnp::Result<CrashId> {
    Ok(CrashId {
        group: parse(from.get_group())?,
        generation: from.get_generation(),
    })
}
