//! The step from one value of a key to a later one.

use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use zstd_safe::{CCtx, CParameter, DCtx, ErrorCode, compress_bound, get_error_name};

/// Level of the compression.
const COMPRESSION_LEVEL: i32 = 3;
/// Binary logarithm of the distance in bytes over which repetitions are found. It covers two values
/// of the largest size that stores take.
const WINDOW_LOG: u32 = 22;
/// Largest value that a patch may lead to, in bytes.
const MAX_VALUE_BYTES: usize = 4 << 20;

quick_error! {
    /// Failure to create or to apply a patch.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum PatchError {
        /// The value that the patch applies to is not held.
        MissingBase(from: u64, held: Option<u64>) {
            display("patch applies to the value of revision {}, but that of {:?} is held", from, held)
        }
        /// The resulting value would be too large.
        Oversize(size: usize) {
            display("patch leads to a value of {} bytes", size)
        }
        /// The patch is damaged, or applies to another value.
        Corrupt(detail: String) {
            display("patch cannot be applied: {}", detail)
        }
    }
}

/// The step from one value of a key to a later one, compressed against the earlier one.
///
/// # Examples
///
/// ```
/// use geranium_entry::value_patch::ValuePatch;
///
/// let (old, new) = (vec![7; 9_000], vec![7; 9_001]);
/// let patch = ValuePatch::between((3, &old), (5, &new))?;
/// assert!(patch.size() < 1_000);
/// assert_eq!(patch.apply(&old)?, new);
/// # Ok::<_, geranium_entry::value_patch::PatchError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValuePatch {
    /// Revision of the value that the patch applies to; 0 if it holds the whole value.
    pub from: u64,
    /// Revision of the value that it leads to.
    pub to: u64,
    /// Size of the value that it leads to, in bytes.
    value_bytes: usize,
    /// A zstd frame with a checksum of the value, in Base64.
    data: Arc<str>,
}

impl ValuePatch {
    /// Creates the patch between two values, each with its revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is too large or cannot be compressed.
    pub fn between(old: (u64, &[u8]), new: (u64, &[u8])) -> Result<Self, PatchError> {
        let (from, old) = old;
        let (to, new) = new;
        check_size(new.len())?;
        let mut frame = Vec::with_capacity(compress_bound(new.len()));
        compress(old, new, &mut frame).map_err(corrupt)?;
        Ok(Self {
            from,
            to,
            value_bytes: new.len(),
            data: STANDARD.encode(frame).into(),
        })
    }

    /// Creates a patch that holds a whole value with its revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is too large or cannot be compressed.
    pub fn whole(revision: u64, value: &[u8]) -> Result<Self, PatchError> {
        Self::between((0, &[]), (revision, value))
    }

    /// Applies the patch to the value of the revision [`Self::from`].
    ///
    /// # Errors
    ///
    /// Returns an error if the patch is damaged or was made for another value.
    pub fn apply(&self, old: &[u8]) -> Result<Bytes, PatchError> {
        check_size(self.value_bytes)?;
        let frame = STANDARD.decode(&*self.data);
        let frame = frame.map_err(|e| PatchError::Corrupt(e.to_string()))?;
        let mut value = Vec::with_capacity(self.value_bytes);
        decompress(old, &frame, &mut value).map_err(corrupt)?;
        if value.len() != self.value_bytes {
            let detail = format!("{} bytes in place of {}", value.len(), self.value_bytes);
            return Err(PatchError::Corrupt(detail));
        }
        Ok(value.into())
    }

    /// Returns the size of the patch, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.data.len()
    }
}

const fn check_size(value_bytes: usize) -> Result<(), PatchError> {
    if value_bytes > MAX_VALUE_BYTES {
        return Err(PatchError::Oversize(value_bytes));
    }
    Ok(())
}

fn corrupt(code: ErrorCode) -> PatchError {
    PatchError::Corrupt(get_error_name(code).to_owned())
}

fn compress(old: &[u8], new: &[u8], frame: &mut Vec<u8>) -> Result<(), ErrorCode> {
    let mut cx = CCtx::create();
    cx.set_parameter(CParameter::CompressionLevel(COMPRESSION_LEVEL))?;
    cx.set_parameter(CParameter::WindowLog(WINDOW_LOG))?;
    cx.set_parameter(CParameter::ChecksumFlag(true))?;
    cx.ref_prefix(old)?;
    cx.compress2(frame, new)?;
    Ok(())
}

fn decompress(old: &[u8], frame: &[u8], value: &mut Vec<u8>) -> Result<(), ErrorCode> {
    let mut cx = DCtx::create();
    cx.ref_prefix(old)?;
    cx.decompress(value, frame)?;
    Ok(())
}
