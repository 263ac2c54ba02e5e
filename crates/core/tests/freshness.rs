//! Guards against a state that counts as fresher than an answer of the store proves.

use oriolecleat_core::site::feed::Call;
use oriolecleat_core::site::freshness::Freshness;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

enum Event {
    /// A page is requested: the first one or another one.
    Page(bool),
    /// The last page of a listing arrives.
    Listed,
    /// The answer arrives to a wait that was sent at a time and lasts so long, with changes or without.
    Wait(u64, u64, bool),
}

struct Case {
    name: &'static str,
    /// Events with their time in milliseconds.
    events: &'static [(u64, Event)],
    now: u64,
    /// Age in milliseconds; none if nothing is known.
    age: Option<u64>,
    /// Length of the next wait with a limit of 1 s.
    wait: u64,
}

#[rustfmt::skip]
const CASES: &[Case] = &[
    Case { name: "nothing was answered", events: &[(100, Event::Page(true))], now: 200, age: None, wait: 0 },
    Case {
        name: "pages show what was there at the first request",
        events: &[(100, Event::Page(true)), (300, Event::Page(false)), (500, Event::Listed)],
        now: 500, age: Some(400), wait: 600,
    },
    Case {
        name: "a listing that begins anew",
        events: &[(100, Event::Page(true)), (300, Event::Page(true)), (500, Event::Listed)],
        now: 500, age: Some(200), wait: 800,
    },
    Case {
        name: "a wait without changes shows that there were none until its end",
        events: &[(2_030, Event::Wait(1_000, 1_000, false))],
        now: 2_030, age: Some(30), wait: 970,
    },
    Case {
        name: "an answer that comes before the end of the wait",
        events: &[(1_500, Event::Wait(1_000, 1_000, false))],
        now: 1_500, age: Some(0), wait: 1_000,
    },
    Case {
        name: "changes may have been held up for the whole wait",
        events: &[(1_900, Event::Wait(1_000, 1_000, true))],
        now: 1_900, age: Some(900), wait: 100,
    },
    Case {
        name: "a process that stood still finds an old answer",
        events: &[(21_000, Event::Wait(1_000, 1_000, false))],
        now: 21_000, age: Some(19_000), wait: 0,
    },
    Case {
        name: "an older proof takes nothing back",
        events: &[(1_030, Event::Wait(0, 1_000, false)), (1_500, Event::Wait(900, 1_000, true))],
        now: 1_500, age: Some(500), wait: 500,
    },
    Case {
        name: "a state that gets older while nobody answers",
        events: &[(1_000, Event::Wait(0, 1_000, false))],
        now: 9_000, age: Some(8_000), wait: 0,
    },
];

#[test]
fn only_answers_make_a_state_fresh() {
    for case in CASES {
        let mut freshness = Freshness::default();
        for (millis, event) in case.events {
            match event {
                Event::Page(is_first) => {
                    let after = (!is_first).then(|| "key".into());
                    let stale = false;
                    freshness.record_call(at(*millis), &Call::Page { after, stale });
                }
                Event::Listed => freshness.record_listing(),
                Event::Wait(sent, wait, with_changes) => {
                    let wait = Span::from_millis(*wait);
                    freshness.record_wait(at(*millis), at(*sent), wait, *with_changes);
                }
            }
        }
        let age = freshness.age(at(case.now)).map(Span::as_millis);
        assert_eq!(age, case.age, "{}", case.name);
        let wait = freshness.next_wait(at(case.now), Span::from_millis(1_000));
        assert_eq!(wait.as_millis(), case.wait, "{}", case.name);
    }
}
