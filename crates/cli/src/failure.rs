//! Error of a command that could not do its work.

use std::fmt;

/// A failure of input or output.
#[derive(Debug)]
pub(crate) struct Failure(Box<str>);

impl Failure {
    /// A failure that `message` describes.
    pub(crate) fn new(message: impl Into<Box<str>>) -> Self {
        Self(message.into())
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for Failure {}
