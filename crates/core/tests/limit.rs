//! Guards against limits that drift, fail when time stands still or goes back, or are rounded down
//! to zero.

use oriolecleat_core::limit::Bucket;
use oriolecleat_core::limit::Rate;
use oriolecleat_core::limit::Semaphore;
use oriolecleat_core::limit::Space;
use oriolecleat_core::limit::share;
use oriolecleat_core::time::Instant;

fn drain(bucket: &mut Bucket, micros: u64) -> usize {
    let now = Instant::from_micros(micros);
    std::iter::repeat_with(|| bucket.take(now, 1))
        .take_while(|taken| *taken)
        .count()
}

#[test]
fn a_bucket_survives_odd_times() {
    let rate = Rate {
        per_s: 10,
        burst: 5,
        divisor: 1,
    };
    let mut bucket = Bucket::new(Instant::from_micros(1_000_000), rate);
    let cases = [
        ("starts empty", 1_000_000, 0),
        ("time stands still", 1_000_000, 0),
        ("one token", 1_100_000, 1),
        ("time goes back", 500_000, 0),
        ("nothing is earned twice", 1_100_000, 0),
        ("a suspension earns at most the burst", 9_000_000_000, 5),
        ("the end of time", u64::MAX, 5),
    ];
    for (name, micros, taken) in cases {
        assert_eq!(drain(&mut bucket, micros), taken, "{name}");
    }
}

#[test]
fn fractions_of_a_token_do_not_drift() {
    let rate = Rate {
        per_s: 7,
        burst: 300,
        divisor: 3,
    };
    let mut bucket = Bucket::new(Instant::default(), rate);
    let times = (1..=300_000_u64).map(|step| step * 1_001);
    let taken: usize = times.map(|micros| drain(&mut bucket, micros)).sum();
    assert_eq!(taken, 700);
}

#[test]
fn a_limit_is_divided_by_the_known_members_but_at_least_by_a_third_of_the_ceiling() {
    let cases = [
        (1_800, 18, 18, 100),
        (1_800, 1, 18, 300),
        (1_800, 0, 18, 300),
        (1_800, 40, 18, 45),
        (1_800, 5, 0, 360),
        (1_800, 0, 0, 1_800),
        (5, 18, 18, 1),
        (0, 18, 18, 0),
    ];
    for (limit, members, ceiling, expected) in cases {
        let found = share(limit, members, ceiling);
        assert_eq!(found, expected, "{limit} over {members} of {ceiling}");
    }
}

#[test]
fn a_small_burst_still_lets_calls_through() {
    let rate = Rate::shared(100, 1, 18, 18);
    let mut bucket = Bucket::new(Instant::default(), rate);
    assert_eq!(drain(&mut bucket, 180_000), 1);
}

#[test]
fn a_semaphore_gives_no_more_permits_than_its_limit() {
    let mut semaphore = Semaphore::new(2);
    let acquired = [
        semaphore.try_acquire(),
        semaphore.try_acquire(),
        semaphore.try_acquire(),
    ];
    assert_eq!(acquired, [true, true, false]);
    semaphore.update(1);
    semaphore.release();
    assert!(!semaphore.try_acquire());
    semaphore.release();
    semaphore.release();
    assert!(semaphore.try_acquire());
    assert_eq!(semaphore.in_use(), 1);
}

/// Guards against buffers that together outgrow the memory of the process.
#[test]
fn space_is_never_overfilled() {
    let mut space = Space::new(100);
    assert!(space.try_take(60));
    assert!(!space.try_take(41));
    assert!(!space.try_take(u64::MAX));
    assert!(space.try_take(40));
    assert!(!space.try_take(1));
    space.give_back(60);
    assert_eq!(space.in_use(), 40);
    assert!(space.try_take(60));
}
