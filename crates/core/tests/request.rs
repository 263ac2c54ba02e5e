//! Tests of the states of a request: deadlines, bounds and outcomes.

use oriolecleat_core::entry;
use oriolecleat_core::entry::Entry;
use oriolecleat_core::request::Admitted;
use oriolecleat_core::request::Code;
use oriolecleat_core::request::Failure;
use oriolecleat_core::request::Outcome;
use oriolecleat_core::request::Received;
use oriolecleat_core::request::Sent;
use oriolecleat_core::request::Shed;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::proptest;
use proptest::test_runner::RngSeed;

const DEADLINE_MS: u64 = 100;

fn entry(class: &str, attempts: u64) -> Entry {
    let text = serde_json::json!({
        "service": "s", "owner": "o", "class": class, "deadline_ms": DEADLINE_MS,
        "retry": { "attempts": attempts }, "targets": [],
    });
    entry::parse(&text.to_string()).expect("the entry is valid")
}

fn at(millis: u64) -> Instant {
    Instant::default() + Span::from_millis(millis)
}

fn admit(class: &str, attempts: u64, depth: u64) -> Admitted {
    let received = Received::new(at(0), None, depth);
    received
        .admit(&entry(class, attempts))
        .expect("the depth is allowed")
}

fn write(admitted: Admitted) -> Sent {
    let assigned = admitted.assign(at(0)).expect("there is time");
    assigned.write(at(0)).expect("there is time")
}

fn shed() -> Shed {
    Shed::read(503, Some(b"not-run")).expect("the answer proves that the request did not run")
}

fn end<T>(result: Result<T, Failure>) -> Option<(Code, Outcome)> {
    result.err().map(|end| (end.code, end.outcome))
}

/// Guards against a caller that extends the deadline of the entry, and against a deadline that only
/// the first step checks.
#[test]
fn deadline_holds_at_each_step() {
    struct Case {
        limit: Option<u64>,
        deadline: u64,
    }
    let cases = [
        Case {
            limit: None,
            deadline: 100,
        },
        Case {
            limit: Some(40),
            deadline: 40,
        },
        Case {
            limit: Some(400),
            deadline: 100,
        },
        Case {
            limit: Some(0),
            deadline: 0,
        },
    ];
    for Case { limit, deadline } in cases {
        let admit = || {
            let received = Received::new(at(0), limit.map(Span::from_millis), 0);
            received
                .admit(&entry("batch", 1))
                .expect("the depth is allowed")
        };
        let late = Some((Code::Deadline, Outcome::NotRun));
        assert_eq!(admit().terms().deadline, at(deadline));
        assert_eq!(end(admit().assign(at(deadline))), late);
        if deadline > 0 {
            let assigned = admit().assign(at(deadline - 1)).expect("there is time");
            assert_eq!(end(assigned.write(at(deadline))), late);
        }
    }
}

/// Guards against call chains without a bound.
#[test]
fn deep_chain_is_refused() {
    let refused = Received::new(at(0), None, 16).admit(&entry("batch", 1));
    assert_eq!(end(refused), Some((Code::DepthExceeded, Outcome::NotRun)));
    assert!(
        Received::new(at(0), None, 15)
            .admit(&entry("batch", 1))
            .is_ok()
    );
}

/// Guards against an error answer of a target that counts as a proof that the request did not run.
#[test]
fn only_shed_answers_prove_not_run() {
    assert!(Shed::read(503, Some(b"not-run")).is_some());
    for (status, word) in [
        (503, None),
        (500, Some(b"not-run")),
        (200, Some(b"not-run")),
    ] {
        assert!(Shed::read(status, word.map(|word| &word[..])).is_none());
    }
    assert!(Shed::read(503, Some(b"ran")).is_none());
}

/// Guards against retries that multiply along a call chain, or exceed the attempts of the entry.
#[test]
fn retries_are_bounded() {
    for (attempts, depth, allowed, retries) in [
        (3, 0, true, 2),
        (1, 0, true, 0),
        (3, 1, true, 0),
        (3, 0, false, 0),
    ] {
        let mut admitted = admit("interactive", attempts, depth);
        let mut done = 0;
        loop {
            let Sent::Idempotent(written) = write(admitted) else {
                panic!("the class is idempotent");
            };
            match written.retry(Code::TargetFailed, allowed) {
                Ok(next) => admitted = next,
                Err(end) => {
                    assert_eq!(end.outcome, Outcome::Unknown);
                    break;
                }
            }
            done += 1;
        }
        assert_eq!(done, retries);
    }
}

/// Guards against a request that targets shed again and again without a bound.
#[test]
fn shedding_is_bounded() {
    let mut admitted = admit("once", 1, 0);
    for _ in 0..100 {
        match write(admitted).shed(shed(), true) {
            Ok(next) => admitted = next,
            Err(end) => {
                assert_eq!((end.code, end.outcome), (Code::Overloaded, Outcome::NotRun));
                return;
            }
        }
    }
    panic!("the request was shed 100 times");
}

/// A configuration with the same cases in every run.
fn fixed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::with_cases(512)
    }
}

proptest! {
    #![proptest_config(fixed())]

    /// Guards against the outcome "not run" after an attempt that may have run.
    #[test]
    fn not_run_is_true(once: bool, steps in proptest::collection::vec(0..6_u8, 1..40)) {
        let mut admitted = admit(if once { "once" } else { "batch" }, if once { 1 } else { 5 }, 0);
        let mut may_have_run = false;
        for step in steps {
            let assigned = admitted.assign(at(0)).expect("there is time");
            let next = match step {
                0 => assigned.requeue(Code::TargetFailed),
                1 => Err(assigned.refuse(Code::Stopping)),
                _ => match (step, assigned.write(at(0)).expect("there is time")) {
                    (2, sent) => sent.shed(shed(), true),
                    (3, sent) => sent.shed(shed(), false),
                    (4, Sent::Idempotent(mut written)) => {
                        assert!(written.permit_copy());
                        may_have_run = true;
                        written.shed(shed(), true)
                    }
                    (_, Sent::Idempotent(written)) => {
                        may_have_run = true;
                        written.retry(Code::TargetFailed, true)
                    }
                    (_, Sent::Once(written)) => {
                        may_have_run = true;
                        Err(written.fail(Code::TargetFailed))
                    }
                },
            };
            match next {
                Ok(next) => admitted = next,
                Err(end) => {
                    let word = end.outcome;
                    prop_assert!(word != Outcome::Ran);
                    prop_assert!(!may_have_run || word == Outcome::Unknown);
                    prop_assert!(may_have_run || word == Outcome::NotRun);
                    return Ok(());
                }
            }
        }
    }
}

/// Guards against a copy after a retry that exceeds the bound on sends.
#[test]
fn a_copy_counts_against_the_bound_on_sends() {
    let admitted = admit("interactive", 3, 0).limit_sends(2);
    let Sent::Idempotent(written) = write(admitted) else {
        panic!("the request is idempotent");
    };
    let again = written
        .retry(Code::TargetFailed, true)
        .expect("a second send");
    let Sent::Idempotent(mut written) = write(again) else {
        panic!("the request is idempotent");
    };
    assert!(!written.permit_copy(), "a third send");
    let Sent::Idempotent(mut first) = write(admit("interactive", 3, 0).limit_sends(2)) else {
        panic!("the request is idempotent");
    };
    assert!(first.permit_copy());
    assert!(!first.permit_copy());
}
