//! Weights for rendezvous hashing: each VM draws the same order of the same names without a message.

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Weight of `first` for `second`; the same on every VM and build. It is not safe against names that are
/// chosen to collide.
#[must_use]
pub fn weight(first: &str, second: &str) -> u64 {
    // A byte that is in no UTF-8 text separates the names.
    let bytes = first.bytes().chain([0xff]).chain(second.bytes());
    let hash = bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    // The last bytes of the names change only the low bits until they are mixed.
    let mixed = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
