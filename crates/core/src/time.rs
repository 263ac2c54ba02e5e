//! Monotonic time and durations in microseconds. The core reads no clock; the caller passes in the
//! current time.

use std::ops::Add;
use std::ops::Sub;

key! {
    /// Microseconds since the start of the process.
    #[derive(Default)]
    pub struct Instant(u64);

    /// A length of time in microseconds.
    #[derive(Default)]
    pub struct Span(u64);
}

impl Instant {
    /// The instant `micros` after the start of the process.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Microseconds since the start of the process.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time since `earlier`; zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// A span of zero length.
    pub const ZERO: Self = Self(0);

    /// A span of `micros` microseconds.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// A span of `millis` milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Microseconds in the span.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Whole milliseconds in the span.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// The span minus `other`; zero if `other` is longer.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Half of the span.
    #[must_use]
    pub const fn half(self) -> Self {
        Self(self.0 / 2)
    }
}

impl Add<Span> for Instant {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Instant {
    type Output = Self;

    fn sub(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}
