//! Lookup of client accounts by key.

use geranium_core::id::AccountId;
use geranium_core::record::{AccountSpec, hash_key};
use subtle::{Choice, ConditionallySelectable, ConstantTimeEq};

/// A client account that a key belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuthenticatedAccount {
    /// Name of the account.
    pub account: AccountId,
    /// Priority of its requests.
    pub priority: u8,
}

/// Index of client accounts by the hashes of their keys.
#[derive(Clone, Debug, Default)]
pub struct AccountDirectory {
    entries: Vec<(String, AuthenticatedAccount)>,
}

impl AccountDirectory {
    /// Creates the directory of the given accounts.
    pub fn new<'a>(accounts: impl IntoIterator<Item = &'a AccountSpec>) -> Self {
        let mut entries = Vec::new();
        for spec in accounts {
            let account = spec.account.clone();
            let authenticated = AuthenticatedAccount {
                account,
                priority: spec.priority,
            };
            entries.extend(
                spec.key_sha256
                    .iter()
                    .map(|hash| (hash.clone(), authenticated.clone())),
            );
        }
        Self { entries }
    }

    /// Returns the account that a key belongs to.
    ///
    /// Every hash is compared, and in constant time, so that the response time of a
    /// refusal reveals nothing about valid keys.
    #[must_use]
    pub fn find(&self, key: &str) -> Option<AuthenticatedAccount> {
        let hash = hash_key(key);
        let mut found = u64::MAX;
        for (index, (known_hash, _)) in self.entries.iter().enumerate() {
            let equal: Choice = hash.as_bytes().ct_eq(known_hash.as_bytes());
            found.conditional_assign(&(index as u64), equal);
        }
        let index = usize::try_from(found).ok()?;
        self.entries.get(index).map(|(_, account)| account.clone())
    }
}
