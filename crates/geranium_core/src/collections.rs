//! Hash maps and sets with a fast, deterministic hasher.

/// Hash map with a fast hasher; iteration order depends only on the inserted keys.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast hasher.
pub type HashSet<T> = rustc_hash::FxHashSet<T>;
