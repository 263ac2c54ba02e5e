//! Types of fields of the answers, and the form in which they are printed.

use std::fmt;

use oriolecleat_core::version::Version;
use serde::Deserialize;

/// A version that is printed as its generation, a dot and its revision.
#[derive(Debug, Deserialize)]
#[serde(transparent)]
pub(crate) struct Shown(Version);

impl fmt::Display for Shown {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.0.generation, self.0.revision)
    }
}

/// A field that may be missing or null, because the VM does not know its value or runs another
/// build; it is then printed as `-`.
#[derive(Debug, Deserialize)]
#[serde(transparent)]
pub(crate) struct Known<T>(pub(crate) Option<T>);

impl<T> Default for Known<T> {
    fn default() -> Self {
        Self(None)
    }
}

impl<T: fmt::Display> fmt::Display for Known<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(formatter),
            None => formatter.write_str("-"),
        }
    }
}

impl Known<bool> {
    /// `text` if the field is true, otherwise nothing.
    pub(crate) fn note(&self, text: &'static str) -> &'static str {
        if self.0 == Some(true) { text } else { "" }
    }
}
