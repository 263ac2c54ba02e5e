//! Configuration of property tests: a fixed seed and the number of cases.

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// A proptest configuration with a fixed seed; `PROPTEST_CASES` replaces `cases`.
pub fn fixed(seed: u64, cases: u32) -> Config {
    let requested = std::env::var("PROPTEST_CASES").ok();
    Config {
        cases: requested
            .and_then(|text| text.parse().ok())
            .unwrap_or(cases),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}
