//! Seeds and numbers of the generated cases.

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// A proptest configuration with a fixed seed; `PROPTEST_CASES` replaces `cases`.
pub fn fixed(seed: u64, cases: u32) -> Config {
    let asked = std::env::var("PROPTEST_CASES").ok();
    Config {
        cases: asked.and_then(|text| text.parse().ok()).unwrap_or(cases),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}
