//! Configuration of property tests with a fixed seed, which environment variables can override.

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// `cases` cases with a fixed `seed`; `PROPTEST_CASES` and `PROPTEST_RNG_SEED` override them.
pub fn config(seed: u64, cases: u32) -> Config {
    let mut config = Config::default();
    if std::env::var_os("PROPTEST_CASES").is_none() {
        config.cases = cases;
    }
    if std::env::var_os("PROPTEST_RNG_SEED").is_none() {
        config.rng_seed = RngSeed::Fixed(seed);
    }
    config.failure_persistence = None;
    config
}
