//! The maximum of a figure over the recent past.

use crate::time::Instant;
use crate::time::Span;

/// Length of a window. The maximum covers the current window and the one before it.
const WINDOW: Span = Span::from_millis(30_000);
/// Fewest figures that the maximum is taken from. Of `n` figures in random order the next one is the
/// largest with a probability of `1 / (n + 1)`.
const FEWEST: u64 = 50;

/// Maximum and number of the figures in one window.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    number: u64,
    count: u64,
    maximum: Span,
}

/// Maximum over the last 30 s to 60 s.
#[derive(Clone, Copy, Debug, Default)]
pub struct Maximum {
    current: Window,
    earlier: Window,
}

impl Maximum {
    /// Records a figure.
    pub fn record(&mut self, now: Instant, span: Span) {
        *self = self.rolled(now);
        self.current.count += 1;
        self.current.maximum = self.current.maximum.max(span);
    }

    /// The largest figure of the recent past; none if there are too few of them.
    #[must_use]
    pub fn get(&self, now: Instant) -> Option<Span> {
        let rolled = self.rolled(now);
        let count = rolled.current.count + rolled.earlier.count;
        (count >= FEWEST).then(|| rolled.current.maximum.max(rolled.earlier.maximum))
    }

    /// The windows as they are at `now`.
    fn rolled(self, now: Instant) -> Self {
        let number = now.as_micros() / WINDOW.as_micros();
        let current = Window {
            number,
            ..Window::default()
        };
        let earlier = self.current;
        match number.saturating_sub(earlier.number) {
            0 => self,
            1 => Self { current, earlier },
            _ => Self {
                current,
                earlier: Window::default(),
            },
        }
    }
}
