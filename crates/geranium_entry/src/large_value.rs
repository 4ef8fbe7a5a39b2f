//! A large value, and the patches that lead to it.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::value_patch::{PatchError, ValuePatch};

/// Size from which a value is passed on as patches, in bytes.
pub const LARGE_VALUE_BYTES: usize = 16 << 10;
/// Fraction of the size of the value that its patches may have together. Beyond it the whole
/// value, compressed, is the smaller answer.
const MAX_PATCHES_FRACTION: usize = 16;

/// The last value of a key that is large, and the patches that lead to it from earlier ones.
///
/// # Examples
///
/// ```
/// use bytes::Bytes;
/// use geranium_entry::large_value::{LargeValue, apply_patches};
///
/// let (old, new) = (Bytes::from(vec![7; 90_000]), Bytes::from(vec![7; 90_001]));
/// let mut value = LargeValue::new(3, old.clone());
/// value.replace(5, new.clone(), &[]);
/// let patches = value.patches_after(4)?;
/// assert_eq!(patches[0].from, 3);
/// let latest = apply_patches(Some((3, &old)), &patches)?;
/// assert_eq!(latest, Some((5, new)));
/// # Ok::<_, geranium_entry::value_patch::PatchError>(())
/// ```
#[derive(Debug)]
pub struct LargeValue {
    revision: u64,
    value: Bytes,
    /// Each applies to the result of the one before; the last one leads to the value.
    patches: VecDeque<ValuePatch>,
    /// The whole value, once somebody needed it.
    whole: Option<ValuePatch>,
}

impl LargeValue {
    /// Creates a value that no patch leads to.
    #[must_use]
    pub const fn new(revision: u64, value: Bytes) -> Self {
        Self {
            revision,
            value,
            patches: VecDeque::new(),
            whole: None,
        }
    }

    /// Returns the revision of the value.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the value.
    #[must_use]
    pub const fn value(&self) -> &Bytes {
        &self.value
    }

    /// Returns the memory of the value and its patches, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let whole = self.whole.as_ref().map_or(0, ValuePatch::size);
        self.value.len() + self.patch_bytes() + whole
    }

    /// Replaces the value by a later one; another one is ignored. `received` are the patches that
    /// led to it at this entry host, if it came by patches.
    pub fn replace(&mut self, revision: u64, value: Bytes, received: &[ValuePatch]) {
        if revision <= self.revision {
            return;
        }
        let next = received.iter().position(|p| p.from == self.revision);
        let is_led = received.last().is_some_and(|p| p.to == revision);
        match next.filter(|_| is_led) {
            Some(next) => self.patches.extend(received[next..].iter().cloned()),
            None => self.add_patch_to(revision, &value),
        }
        self.revision = revision;
        self.value = value;
        self.whole = None;
        while self.patch_bytes() > self.value.len() / MAX_PATCHES_FRACTION {
            self.patches.pop_front();
        }
    }

    fn add_patch_to(&mut self, revision: u64, value: &[u8]) {
        match ValuePatch::between((self.revision, &self.value), (revision, value)) {
            Ok(patch) => self.patches.push_back(patch),
            Err(e) => {
                log::warn!(from = self.revision, to = revision; "failed to create a patch: {e}");
                self.patches.clear();
            }
        }
    }

    fn patch_bytes(&self) -> usize {
        self.patches.iter().map(ValuePatch::size).sum()
    }

    /// Returns the patches for a reader that holds the value as of a revision: those that lead on
    /// from there, or the whole value if they are not held any more.
    ///
    /// # Errors
    ///
    /// Returns an error if the whole value cannot be compressed.
    pub fn patches_after(&mut self, revision: u64) -> Result<Vec<ValuePatch>, PatchError> {
        let next = self.patches.iter().position(|p| p.to > revision);
        match next.filter(|next| self.patches[*next].from <= revision) {
            Some(next) => Ok(self.patches.iter().skip(next).cloned().collect()),
            None => Ok(vec![self.whole()?]),
        }
    }

    /// Returns the patch that holds the whole value.
    ///
    /// # Errors
    ///
    /// Returns an error if the value cannot be compressed.
    pub fn whole(&mut self) -> Result<ValuePatch, PatchError> {
        if let Some(whole) = &self.whole {
            return Ok(whole.clone());
        }
        let whole = ValuePatch::whole(self.revision, &self.value)?;
        Ok(self.whole.insert(whole).clone())
    }
}

/// Applies patches, each to the result of the one before, to a value with its revision; returns
/// the result with its revision. Patches that lead to values which are not later are skipped.
///
/// # Errors
///
/// Returns an error if a patch applies to another value than the one at hand.
pub fn apply_patches(
    held: Option<(u64, &Bytes)>,
    patches: &[ValuePatch],
) -> Result<Option<(u64, Bytes)>, PatchError> {
    let mut current = held.map(|(revision, value)| (revision, value.clone()));
    for patch in patches {
        let known = current.as_ref().map(|(revision, _)| *revision);
        if known.is_some_and(|known| known >= patch.to) {
            continue;
        }
        let value = match &current {
            _ if patch.from == 0 => patch.apply(&[])?,
            Some((revision, value)) if *revision == patch.from => patch.apply(value)?,
            _ => return Err(PatchError::MissingBase(patch.from, known)),
        };
        current = Some((patch.to, value));
    }
    Ok(current)
}
