//! Why a command could not do its work.

use std::fmt;

/// A failure of input or output.
#[derive(Debug)]
pub(crate) struct Failure(Box<str>);

impl Failure {
    /// A failure to do what `action` says.
    pub(crate) fn new(action: impl Into<Box<str>>) -> Self {
        Self(action.into())
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for Failure {}
