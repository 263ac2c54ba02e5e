//! Versions of catalogue keys.

key! {
    /// Version of the content of a key. Versions are ordered by generation, then by revision.
    #[derive(Default, serde::Serialize, serde::Deserialize)]
    pub struct Version {
        /// Raised by an operator after the configuration service was restored from a backup.
        pub generation: u64,
        /// The key's `mod_revision` in the configuration service.
        pub revision: u64,
    }
}
