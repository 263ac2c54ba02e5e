//! Counts the attempts that one call causes in a chain of services whose last one always fails.
//!
//! Prints one JSON object a line: attempts at all levels together and at the failing service, with
//! retries at the first level only and with retries at each level.

const ATTEMPTS: u64 = 2;
const MAX_DEPTH: u64 = 15;

/// Makes the attempts of a service at `depth` and of all below it, and counts them by level in
/// `made`.
fn call(depth: u64, last: u64, at_each_level: bool, made: &mut [u64]) {
    let attempts = if at_each_level || depth == 0 {
        ATTEMPTS
    } else {
        1
    };
    for _ in 0..attempts {
        let index = usize::try_from(depth).unwrap_or(usize::MAX);
        made[index] += 1;
        if depth + 1 < last {
            call(depth + 1, last, at_each_level, made);
        }
    }
}

fn count(last: u64, at_each_level: bool) -> (u64, u64) {
    let mut made = vec![0; usize::try_from(last).unwrap_or(0)];
    call(0, last, at_each_level, &mut made);
    (made.iter().sum(), made.last().copied().unwrap_or(0))
}

fn main() {
    for depth in 1..=MAX_DEPTH {
        let (first, first_last) = count(depth, false);
        let (each, each_last) = count(depth, true);
        let row = serde_json::json!({
            "depth": depth,
            "retries_at_first_level": {"attempts": first, "at_failing_service": first_last},
            "retries_at_each_level": {"attempts": each, "at_failing_service": each_last},
        });
        println!("{row}");
    }
}
