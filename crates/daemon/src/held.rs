//! Bounds on the memory that a VM holds for callers and targets that read slowly.

use oriolecleat_core::limit::Space;
use oriolecleat_core::settings::Settings;

use crate::gather::BUFFERED_MAX_BYTES;
use crate::node::Shared;

/// Share of the memory of the VM for answers that wait for their callers, as a divisor. With the
/// bodies, less than half of the memory waits for others.
const ANSWERS_DIVISOR: u64 = 4;
/// Share of the memory of the VM for bodies that are kept for another attempt, as a divisor. A VM
/// with 112 MB holds 224 of the largest.
const BODIES_DIVISOR: u64 = 8;

/// Space for answers that are buffered.
pub(crate) fn answers(settings: &Settings) -> Space {
    let share = memory(settings).map(|memory| memory / ANSWERS_DIVISOR);
    Space::new(share.unwrap_or(u64::MAX).min(BUFFERED_MAX_BYTES))
}

/// Space for bodies of requests that are kept for another attempt.
pub(crate) fn bodies(settings: &Settings) -> Space {
    let share = memory(settings).map(|memory| memory / BODIES_DIVISOR);
    Space::new(share.unwrap_or(u64::MAX))
}

/// Memory of the VM in bytes, if it is known.
fn memory(settings: &Settings) -> Option<u64> {
    let megabytes = settings.hosting.as_ref().map(|hosting| hosting.memory_mb);
    let known = megabytes.filter(|megabytes| *megabytes > 0);
    known.map(|megabytes| megabytes << 20)
}

/// Space for the body of a request, given back when it is dropped.
pub(crate) struct Body {
    node: Shared,
    bytes: u64,
}

impl Body {
    /// Reserves `bytes`; none if too many are held.
    pub(crate) fn reserve(node: &Shared, bytes: u64) -> Option<Self> {
        let reserved = node.borrow_mut().bodies.try_take(bytes);
        reserved.then(|| Self {
            node: node.clone(),
            bytes,
        })
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.node.borrow_mut().bodies.give_back(self.bytes);
    }
}
