//! Parsing of client account records.

use super::check_unique;
use crate::id::{AccountId, RecordName};
use crate::record::AccountSpec;
use crate::record::fields::{Fields, VALID_ID};

/// Length of a SHA-256 digest in hexadecimal, in characters.
const KEY_DIGEST_LEN: usize = 64;

/// Upper limit of the concurrent requests of one account through one entry host.
const MAX_CONCURRENT: u32 = 100_000;

/// Highest priority.
const MAX_PRIORITY: u32 = 9;

/// Reads the fields of a client account record.
pub(in crate::record) fn read_account(
    fields: &mut Fields<'_>,
    name: &RecordName,
) -> Option<AccountSpec> {
    let account = name.as_str().parse::<AccountId>().ok();
    if account.is_none() {
        fields.reject("name", VALID_ID);
    }
    let keys = read_keys(fields);
    let max_concurrent = fields.number("max_concurrent", 1..=MAX_CONCURRENT);
    let priority = fields.number("priority", 0..=MAX_PRIORITY);
    Some(AccountSpec {
        account: account?,
        key_sha256: keys?,
        max_concurrent: max_concurrent?,
        priority: u8::try_from(priority?).ok()?,
    })
}

fn read_keys(fields: &mut Fields<'_>) -> Option<Vec<String>> {
    let valid = "SHA-256 of a key: 64 lower-case hexadecimal digits";
    let keys = fields.list("key_sha256", "a list of SHA-256 digests", |text| {
        if is_key_digest(text) {
            Ok(text.to_owned())
        } else {
            Err(valid.to_owned())
        }
    })?;
    check_unique(fields, "key_sha256", &keys);
    Some(keys)
}

fn is_key_digest(text: &str) -> bool {
    let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    text.len() == KEY_DIGEST_LEN && text.bytes().all(is_digit)
}
