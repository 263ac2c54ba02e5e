//! Guards against calls that are lost on connections which their targets have dropped.

use oriolecleat_core::idle::Limit;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;

struct Case {
    name: &'static str,
    /// Time of each break of a connection, and how long the connection had been idle, in ms.
    breaks: &'static [(u64, u64)],
    now: u64,
    limit: u64,
}

const CASES: &[Case] = &[
    Case {
        name: "no evidence",
        breaks: &[],
        now: 0,
        limit: 4_000,
    },
    Case {
        name: "one connection broke",
        breaks: &[(100, 640)],
        now: 200,
        limit: 320,
    },
    Case {
        name: "a shorter idle time tightens the limit",
        breaks: &[(100, 640), (200, 300)],
        now: 300,
        limit: 150,
    },
    Case {
        name: "a longer idle time does not loosen it",
        breaks: &[(100, 300), (200, 2_000)],
        now: 300,
        limit: 150,
    },
    Case {
        name: "the newest break decides how long the limit holds",
        breaks: &[(100, 300), (9_000, 2_000)],
        now: 15_000,
        limit: 150,
    },
    Case {
        name: "a connection in steady use broke for another reason",
        breaks: &[(100, 20)],
        now: 200,
        limit: 4_000,
    },
    Case {
        name: "the limit leaves connections in steady use",
        breaks: &[(100, 60)],
        now: 200,
        limit: 50,
    },
    Case {
        name: "evidence is forgotten",
        breaks: &[(100, 300)],
        now: 10_100,
        limit: 4_000,
    },
];

#[test]
fn broken_connections_limit_the_idle_time_of_others() {
    let at = |millis| Instant::default() + Span::from_millis(millis);
    for case in CASES {
        let mut limit = Limit::default();
        for (time, idle) in case.breaks {
            limit.record_break(at(*time), Span::from_millis(*idle));
        }
        let expected = Span::from_millis(case.limit);
        assert_eq!(limit.get(at(case.now)), expected, "{}", case.name);
    }
}
