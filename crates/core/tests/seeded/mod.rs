//! Configuration of property tests that is the same on every run unless the environment says
//! otherwise.

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// `cases` cases with a fixed `seed`; `PROPTEST_CASES` and `PROPTEST_RNG_SEED` replace them.
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
