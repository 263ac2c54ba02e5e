//! Guards against calls that are lost on connections which their targets have forgotten.

use oriolecleat_core::idle::Limit;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;

struct Case {
    name: &'static str,
    /// Rests of connections that broke, with the time of each in ms.
    broke: &'static [(u64, u64)],
    now: u64,
    bound: u64,
}

const CASES: &[Case] = &[
    Case {
        name: "no evidence",
        broke: &[],
        now: 0,
        bound: 4_000,
    },
    Case {
        name: "one connection broke",
        broke: &[(100, 640)],
        now: 200,
        bound: 320,
    },
    Case {
        name: "a shorter rest tightens the bound",
        broke: &[(100, 640), (200, 300)],
        now: 300,
        bound: 150,
    },
    Case {
        name: "a longer rest does not loosen it",
        broke: &[(100, 300), (200, 2_000)],
        now: 300,
        bound: 150,
    },
    Case {
        name: "the newest evidence counts for how long it holds",
        broke: &[(100, 300), (9_000, 2_000)],
        now: 15_000,
        bound: 150,
    },
    Case {
        name: "a connection in steady use broke for another reason",
        broke: &[(100, 20)],
        now: 200,
        bound: 4_000,
    },
    Case {
        name: "the bound leaves connections in steady use",
        broke: &[(100, 60)],
        now: 200,
        bound: 50,
    },
    Case {
        name: "evidence is forgotten",
        broke: &[(100, 300)],
        now: 10_100,
        bound: 4_000,
    },
];

#[test]
fn broken_connections_bound_the_rest_of_others() {
    let at = |millis| Instant::default() + Span::from_millis(millis);
    for case in CASES {
        let mut bound = Limit::default();
        for (time, rested) in case.broke {
            bound.record_break(at(*time), Span::from_millis(*rested));
        }
        let expected = Span::from_millis(case.bound);
        assert_eq!(bound.get(at(case.now)), expected, "{}", case.name);
    }
}
