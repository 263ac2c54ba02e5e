//! Hash collections with a fast hasher.

use foldhash::fast::RandomState;

/// Hash map keyed by trusted or bounded input.
pub type Map<K, V> = std::collections::HashMap<K, V, RandomState>;

/// Hash set keyed by trusted or bounded input.
pub type Set<T> = std::collections::HashSet<T, RandomState>;
