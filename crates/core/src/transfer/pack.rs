//! Compression of texts for their transfer.

use std::io::Read;
use std::io::Write;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

use crate::catalogue::MAX_TEXT_BYTES;
use crate::catalogue::Mark;
use crate::catalogue::mark;

/// Most bytes of a compressed text: one that cannot be compressed grows by less than a tenth.
pub(crate) const MAX_BYTES: u64 = MAX_TEXT_BYTES as u64 / 10 * 11;

/// Compresses `text`.
pub(crate) fn pack(text: &str) -> Box<[u8]> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder
        .write_all(text.as_bytes())
        .and_then(|()| encoder.finish())
        .expect("writing to memory does not fail")
        .into()
}

/// Decompresses the text of `expected`; none if the bytes are not this text.
pub(crate) fn unpack(bytes: &[u8], expected: Mark) -> Option<Box<str>> {
    let mut text = String::new();
    let limit = MAX_TEXT_BYTES as u64 + 1;
    let mut decoder = DeflateDecoder::new(bytes).take(limit);
    decoder.read_to_string(&mut text).ok()?;
    (mark(expected.version, Some(&text)) == expected).then(|| text.into())
}
