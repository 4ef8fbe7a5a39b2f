//! Records and their versions.

use std::sync::Arc;

use geranium_core::id::Incarnation;
use geranium_core::record::replication::PullAnswer;
use geranium_core::record::{
    Generation, RecordIndex, RecordKey, RecordRank, StoredRecord, WriterId,
};
use geranium_core::time::Timestamp;

use super::{count, parse};
use crate::peer_capnp;

type VersionList = capnp::struct_list::Owned<peer_capnp::record_version::Owned>;
type RecordList = capnp::struct_list::Owned<peer_capnp::record::Owned>;
type Reader<'a, T> = <T as capnp::traits::Owned>::Reader<'a>;
type Builder<'a, T> = <T as capnp::traits::Owned>::Builder<'a>;

pub(crate) fn write_versions(mut to: Builder<'_, VersionList>, index: &RecordIndex) {
    for (i, (key, rank)) in (0..).zip(&index.0) {
        let mut to = to.reborrow().get(i);
        to.set_key(key.to_string().as_str());
        to.set_generation(rank.generation.0);
        to.set_written_at(rank.written_at.0);
        to.set_incarnation(rank.writer.incarnation.0);
        to.set_sequence(rank.writer.sequence);
    }
}

pub(crate) fn read_versions(from: Reader<'_, VersionList>) -> capnp::Result<RecordIndex> {
    let versions = from.iter().map(|from| {
        let rank = RecordRank {
            generation: Generation(from.get_generation()),
            written_at: Timestamp(from.get_written_at()),
            writer: WriterId {
                incarnation: Incarnation(from.get_incarnation()),
                sequence: from.get_sequence(),
            },
        };
        Ok((parse::<RecordKey>(from.get_key())?, rank))
    });
    Ok(RecordIndex(versions.collect::<capnp::Result<_>>()?))
}

pub(crate) fn write_records(mut to: Builder<'_, RecordList>, records: &[Arc<StoredRecord>]) {
    for (i, record) in (0..).zip(records) {
        let mut to = to.reborrow().get(i);
        to.set_key(record.key.store_key().as_str());
        to.set_value(&record.to_store());
    }
}

pub(crate) fn read_records(from: Reader<'_, RecordList>) -> capnp::Result<Vec<StoredRecord>> {
    let records = from.iter().map(|from| {
        let key = from.get_key()?.to_str()?;
        StoredRecord::from_store(key, from.get_value()?)
            .map_err(|e| capnp::Error::failed(e.to_string()))
    });
    records.collect()
}

pub(crate) fn write_pull_answer(mut to: peer_capnp::pull_answer::Builder<'_>, answer: &PullAnswer) {
    to.set_has_more(answer.has_more);
    let records = to.reborrow().init_records(count(answer.records.len()));
    write_records(records, &answer.records);
    let mut wanted = to.init_wanted(count(answer.wanted.len()));
    for (i, key) in (0..).zip(&answer.wanted) {
        wanted.set(i, key.to_string().as_str());
    }
}

pub(crate) fn read_pull_answer(
    from: peer_capnp::pull_answer::Reader<'_>,
) -> capnp::Result<PullAnswer> {
    let records = read_records(from.get_records()?)?;
    let wanted = from.get_wanted()?;
    Ok(PullAnswer {
        records: records.into_iter().map(Arc::new).collect(),
        wanted: wanted.iter().map(parse).collect::<capnp::Result<_>>()?,
        has_more: from.get_has_more(),
    })
}
