//! Ranges of keys.

use std::ops::Bound;

/// Key that stands for the end of all keys.
const END_OF_KEYS: &[u8] = &[0];

/// Returns the bounds of a key or of a range of keys.
pub(super) fn bounds<'a>(key: &'a [u8], range_end: &'a [u8]) -> (Bound<&'a [u8]>, Bound<&'a [u8]>) {
    let end = match range_end {
        [] => Bound::Included(key),
        END_OF_KEYS => Bound::Unbounded,
        // An empty range in etcd; an end before its start would panic here.
        end if end <= key => return (Bound::Included(key), Bound::Excluded(key)),
        end => Bound::Excluded(end),
    };
    (Bound::Included(key), end)
}

/// Returns whether a key is in a range.
pub(super) fn in_range(key: &[u8], first: &[u8], range_end: &[u8]) -> bool {
    match range_end {
        [] => key == first,
        END_OF_KEYS => key >= first,
        end => key >= first && key < end,
    }
}
