//! Bytes of a connection behind the request that hyper processes.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Buf;
use bytes::BytesMut;
use http::request::Parts;
use tokio::io::ReadBuf;

use crate::framing::Defect;
use crate::framing::Scanner;
use crate::node::Shared;
use crate::pipeline::parse;

/// Most bytes that are read ahead on one connection. The head of a look-up has less than 1 kB, so
/// that a dozen fit; a caller that sends more is not read until there is room.
const CONNECTION_MAX_BYTES: usize = 16_384;

/// Most bytes that are read ahead on all connections together, a fiftieth of the memory of a VM with
/// 112 MB. Above it, requests are read one after the other.
pub(crate) const READ_AHEAD_MAX_BYTES: u64 = 2 << 20;

/// Bytes that were read ahead on one connection, in order.
#[derive(Clone)]
pub(crate) struct Buffer(Rc<RefCell<Inner>>);

struct Inner {
    node: Shared,
    bytes: BytesMut,
    /// Bytes at the start that belong to requests which were examined.
    examined: usize,
    /// Length of `bytes` when the head behind `examined` was last found incomplete.
    searched: usize,
    /// Whether the request behind `examined` has to wait for its turn.
    blocked: bool,
    /// Whether the caller closed its side.
    ended: bool,
}

impl Buffer {
    pub(crate) fn new(node: &Shared) -> Self {
        Self(Rc::new(RefCell::new(Inner {
            node: node.clone(),
            bytes: BytesMut::new(),
            examined: 0,
            searched: 0,
            blocked: false,
            ended: false,
        })))
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.borrow().bytes.is_empty()
    }

    /// Bytes that may still be read ahead.
    pub(crate) fn room(&self) -> usize {
        let inner = self.0.borrow();
        if inner.ended && !inner.bytes.is_empty() {
            return 0;
        }
        CONNECTION_MAX_BYTES.saturating_sub(inner.bytes.len())
    }

    /// Reserves space for `bytes` further ones; false if the VM has no more.
    pub(crate) fn reserve(&self, bytes: usize) -> bool {
        let inner = self.0.borrow();
        inner.node.borrow_mut().read_ahead.try_take(size(bytes))
    }

    /// Appends `bytes`, for which `reserved` bytes of space were reserved.
    pub(crate) fn append(&self, bytes: &[u8], reserved: usize) {
        let mut inner = self.0.borrow_mut();
        inner.bytes.extend_from_slice(bytes);
        inner.give_back(reserved - bytes.len());
    }

    /// Records that the caller closed its side.
    pub(crate) fn set_ended(&self) {
        self.0.borrow_mut().ended = true;
    }

    /// Moves bytes up to the end of the first request without a body to `target`. Returns the number
    /// of the first head with a defect.
    pub(crate) fn hand_over(
        &self,
        target: &mut ReadBuf<'_>,
        scanner: &mut Scanner,
    ) -> Option<(u64, Defect)> {
        let mut inner = self.0.borrow_mut();
        let most = inner.bytes.len().min(target.remaining());
        let scan = scanner.scan_one(&inner.bytes[..most]);
        target.put_slice(&inner.bytes[..scan.length]);
        inner.bytes.advance(scan.length);
        inner.give_back(scan.length);
        inner.examined = inner.examined.saturating_sub(scan.length);
        inner.searched = 0;
        // What is behind the request that had to wait is examined in the turn of that request.
        inner.blocked = inner.blocked && inner.examined > 0;
        if inner.bytes.is_empty() {
            inner.bytes = BytesMut::new();
        }
        scan.defect
    }

    /// Whether there is nothing behind the examined requests that could be processed.
    pub(crate) fn is_examined(&self) -> bool {
        let inner = self.0.borrow();
        inner.blocked || inner.examined == inner.bytes.len()
    }

    /// The head of the next request that may be processed before its turn.
    pub(crate) fn next(&self) -> Option<Parts> {
        let mut inner = self.0.borrow_mut();
        let start = inner.examined.max(inner.searched.saturating_sub(3));
        if !parse::has_end(&inner.bytes[start..]) {
            inner.searched = inner.bytes.len();
            return None;
        }
        let Some((parts, length)) = parse::head(&inner.bytes[inner.examined..]) else {
            inner.blocked = true;
            return None;
        };
        inner.examined += length;
        inner.searched = inner.examined;
        Some(parts)
    }

    /// Examines no request until the last one that was examined has been handed over.
    pub(crate) fn block(&self) {
        self.0.borrow_mut().blocked = true;
    }
}

impl Inner {
    fn give_back(&self, bytes: usize) {
        self.node.borrow_mut().read_ahead.give_back(size(bytes));
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.give_back(self.bytes.len());
    }
}

fn size(bytes: usize) -> u64 {
    u64::try_from(bytes).unwrap_or(u64::MAX)
}
