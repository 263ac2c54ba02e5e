//! Property P5: guards against new work for a target that is leaving, and against targets that get
//! no work although there is no evidence against them.

mod seeded;

use oriolecleat_core::leaving::Bounds;
use oriolecleat_core::leaving::Evidence;
use oriolecleat_core::leaving::Listed;
use oriolecleat_core::leaving::News;
use oriolecleat_core::leaving::Probe;
use oriolecleat_core::leaving::Source;
use oriolecleat_core::leaving::Standing;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use proptest::prop_oneof;
use proptest::strategy::BoxedStrategy;
use proptest::strategy::Just;
use proptest::strategy::Strategy;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

const BOUNDS: Bounds = Bounds {
    confirm_after: Span::from_millis(2_000),
    hold: Span::from_millis(60_000),
};

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// An answer to a request sent this many milliseconds ago, with or without a sign of draining.
    Answer(u64, bool),
    Probe(u64, Probe),
    Refused,
    List(Listed, u64),
    News(Source, u64),
    Removed,
    Restored,
}

/// Records `event`; returns whether peers have to be told.
fn record(evidence: &mut Evidence, now: u64, event: Event) -> bool {
    let sent = |ago| at(now.saturating_sub(ago));
    match event {
        Event::Answer(ago, draining) => evidence.record_answer(at(now), sent(ago), draining),
        Event::Probe(ago, probe) => evidence.record_probe(at(now), sent(ago), probe),
        Event::Refused => evidence.record_refusal(at(now)),
        Event::List(listed, age) => {
            evidence.record_listing(at(now), listed, Span::from_millis(age))
        }
        Event::News(source, age) => {
            let age = Span::from_millis(age);
            evidence.record_news(at(now), News { source, age })
        }
        Event::Removed => {
            evidence.record_removal(at(now));
            false
        }
        Event::Restored => {
            evidence.clear_removal();
            false
        }
    }
}

struct Case {
    name: &'static str,
    events: &'static [(u64, Event)],
    standings: &'static [(u64, Standing)],
}

const CASES: &[Case] = &[
    Case {
        name: "an unknown target has to be confirmed",
        events: &[],
        standings: &[(100_000, Standing::Unconfirmed)],
    },
    Case {
        name: "positive evidence ages",
        events: &[(100_000, Event::Answer(0, false))],
        standings: &[
            (101_999, Standing::Usable),
            (102_000, Standing::Unconfirmed),
        ],
    },
    Case {
        name: "an answer read after a freeze counts from when its request was sent",
        events: &[(100_000, Event::Answer(5_000, false))],
        standings: &[(100_000, Standing::Unconfirmed)],
    },
    Case {
        name: "answers without a sign do not cancel a drain sign",
        events: &[
            (100_000, Event::Answer(0, true)),
            (101_000, Event::Answer(0, false)),
            (102_000, Event::Probe(0, Probe::Ready)),
        ],
        standings: &[
            (102_000, Standing::Leaving),
            (160_000, Standing::Unconfirmed),
        ],
    },
    Case {
        name: "after the hold only a probe brings a target back",
        events: &[
            (100_000, Event::Answer(0, true)),
            (160_500, Event::Answer(400, false)),
            (161_000, Event::Probe(100, Probe::Ready)),
        ],
        standings: &[(161_000, Standing::Usable)],
    },
    Case {
        name: "a probe sent during the hold does not count after it",
        events: &[
            (100_000, Event::Answer(0, true)),
            (160_100, Event::Probe(200, Probe::Ready)),
        ],
        standings: &[(160_100, Standing::Unconfirmed)],
    },
    Case {
        name: "a refused connection counts until a probe succeeds",
        events: &[
            (100_000, Event::Refused),
            (101_000, Event::Probe(10, Probe::Ready)),
        ],
        standings: &[(101_000, Standing::Usable)],
    },
    Case {
        name: "a probe sent before the refusal does not cancel it",
        events: &[
            (100_000, Event::Refused),
            (100_100, Event::Probe(200, Probe::Ready)),
        ],
        standings: &[(100_100, Standing::Leaving)],
    },
    Case {
        name: "a probe does not cancel what the VM list says besides a refusal",
        events: &[
            (100_000, Event::Refused),
            (100_000, Event::List(Listed::Leaving, 1_000)),
            (100_100, Event::Probe(0, Probe::Ready)),
        ],
        standings: &[
            (158_999, Standing::Leaving),
            (159_000, Standing::Unconfirmed),
        ],
    },
    Case {
        name: "a lagging list does not cancel a drain sign",
        events: &[
            (100_000, Event::Probe(0, Probe::Draining)),
            (100_100, Event::List(Listed::Live, 0)),
        ],
        standings: &[(100_100, Standing::Leaving)],
    },
    Case {
        name: "a list that says live is no positive evidence",
        events: &[(100_000, Event::List(Listed::Live, 0))],
        standings: &[(100_000, Standing::Unconfirmed)],
    },
    Case {
        name: "old news does not revive what a probe has ended",
        events: &[
            (100_000, Event::Probe(0, Probe::Draining)),
            (160_000, Event::Probe(0, Probe::Ready)),
            (160_100, Event::News(Source::Drain, 5_000)),
            (160_100, Event::List(Listed::Leaving, 200)),
        ],
        standings: &[(160_100, Standing::Usable)],
    },
    Case {
        name: "old news of a refusal does not revive it after a probe",
        events: &[
            (100_000, Event::Refused),
            (101_000, Event::Probe(0, Probe::Ready)),
            (101_500, Event::News(Source::Refused, 1_000)),
        ],
        standings: &[(101_500, Standing::Usable)],
    },
    Case {
        name: "news newer than the probe stops work again",
        events: &[
            (100_000, Event::Probe(0, Probe::Draining)),
            (160_000, Event::Probe(0, Probe::Ready)),
            (160_100, Event::News(Source::Drain, 50)),
        ],
        standings: &[(160_100, Standing::Leaving), (220_049, Standing::Leaving)],
    },
    Case {
        name: "news older than the start of the process holds for the rest of its time",
        events: &[(1_000, Event::News(Source::Drain, 50_000))],
        standings: &[(10_999, Standing::Leaving), (11_000, Standing::Unconfirmed)],
    },
    Case {
        name: "a target that the catalogue names again has to be confirmed",
        events: &[
            (100_000, Event::Answer(0, false)),
            (100_000, Event::Removed),
            (100_100, Event::Restored),
        ],
        standings: &[(100_100, Standing::Unconfirmed)],
    },
    Case {
        name: "a failed probe ends positive evidence",
        events: &[
            (100_000, Event::Answer(0, false)),
            (100_500, Event::Probe(300, Probe::Failed)),
        ],
        standings: &[(100_500, Standing::Unconfirmed)],
    },
    Case {
        name: "a freeze longer than every bound leaves nothing to go by",
        events: &[
            (100_000, Event::Answer(0, true)),
            (100_000, Event::Answer(0, false)),
        ],
        standings: &[(9_000_000, Standing::Unconfirmed)],
    },
];

#[test]
fn standing_follows_section_11() {
    for case in CASES {
        let mut evidence = Evidence::new(BOUNDS);
        for (now, event) in case.events {
            record(&mut evidence, *now, *event);
        }
        for (now, standing) in case.standings {
            let found = evidence.standing(at(*now));
            assert_eq!(found, *standing, "{} at {now}", case.name);
        }
    }
}

#[test]
fn a_target_that_refused_connections_is_probed() {
    let mut evidence = Evidence::new(BOUNDS);
    assert!(evidence.wants_probe(at(1)));
    record(&mut evidence, 1, Event::Refused);
    assert!(evidence.wants_probe(at(2)));
    record(&mut evidence, 3, Event::List(Listed::Leaving, 0));
    assert!(!evidence.wants_probe(at(4)));
}

/// Guards against two VMs that renew each other's evidence forever: news looks younger at each hop,
/// since its age does not include the time on the way.
#[test]
fn peers_do_not_keep_a_rumour_alive() {
    let mut vms = [Evidence::new(BOUNDS), Evidence::new(BOUNDS)];
    let mut must_tell = record(&mut vms[0], 0, Event::Answer(0, true));
    let mut now = 0;
    for turn in 0..10_000 {
        now += 40;
        let [left, right] = &mut vms;
        let (from, to) = if turn % 2 == 0 {
            (left, right)
        } else {
            (right, left)
        };
        // In addition, the link reopens every 10 s and repeats all evidence.
        if must_tell || turn % 250 < 2 {
            let news: Vec<News> = from.news(at(now - 40)).collect();
            must_tell = news.into_iter().any(|news| to.record_news(at(now), news));
        }
    }
    for evidence in vms {
        assert_eq!(evidence.standing(at(62_000)), Standing::Unconfirmed);
    }
}

/// The evidence of the target by its true time. Evidence in `leaving` stops work for 60 s; after
/// that, only a probe sent later removes it.
#[derive(Clone, Debug, Default)]
struct Oracle {
    now: u64,
    leaving: Vec<(Source, u64)>,
    /// When the newest request or probe was sent that got a good answer.
    good: Option<u64>,
    /// When the newest good probe was sent.
    probe: Option<u64>,
    /// When the probe was sent that last removed all evidence of leaving.
    cleared: Option<u64>,
}

impl Oracle {
    fn standing(&self) -> Standing {
        let fresh = self.good.is_some_and(|sent| self.now - sent < 2_000);
        if self
            .leaving
            .iter()
            .any(|(_, when)| self.now < when + 60_000)
        {
            Standing::Leaving
        } else if self.leaving.is_empty() && fresh {
            Standing::Usable
        } else {
            Standing::Unconfirmed
        }
    }

    fn add(&mut self, source: Source, age: u64) {
        let when = self.now.saturating_sub(age);
        let success = match source {
            Source::Refused => self.probe,
            _ => self.cleared,
        };
        let outdated = age >= 60_000 || success.is_some_and(|sent| when <= sent);
        if age == 0 || !outdated {
            self.leaving.push((source, when));
        }
    }

    fn record(&mut self, event: Event) {
        match event {
            Event::Answer(_, true) | Event::Probe(_, Probe::Draining) => {
                self.add(Source::Drain, 0);
            }
            Event::Refused | Event::Probe(_, Probe::Refused) => self.add(Source::Refused, 0),
            Event::List(Listed::Leaving, age) => self.add(Source::List, age),
            Event::List(Listed::Live, _) => {}
            Event::News(source, age) => self.add(source, age),
            Event::Answer(ago, false) => self.good = self.good.max(Some(self.now - ago)),
            Event::Probe(ago, Probe::Ready) => {
                let sent = self.now - ago;
                self.good = self.good.max(Some(sent));
                self.probe = self.probe.max(Some(sent));
                self.leaving
                    .retain(|(source, when)| *source != Source::Refused || *when > sent);
                if !self.leaving.is_empty()
                    && self
                        .leaving
                        .iter()
                        .all(|evidence| evidence.1 + 60_000 <= sent)
                {
                    self.leaving.clear();
                    self.cleared = Some(sent);
                }
            }
            Event::Probe(_, Probe::Failed) => self.good = None,
            Event::Removed => self.add(Source::Removal, 0),
            Event::Restored => {
                self.leaving
                    .retain(|(source, _)| *source != Source::Removal);
                self.good = None;
            }
        }
    }
}

fn events() -> impl Strategy<Value = Event> {
    let ago = prop_oneof![3 => 0..300_u64, 1 => 0..70_000_u64];
    let age = prop_oneof![1..2_000_u64, 1..120_000_u64];
    let probe = prop_oneof![
        4 => Just(Probe::Ready),
        1 => Just(Probe::Draining),
        1 => Just(Probe::Refused),
        1 => Just(Probe::Failed),
    ];
    let listed = prop_oneof![Just(Listed::Live), Just(Listed::Leaving)];
    let source = prop_oneof![
        Just(Source::Drain),
        Just(Source::Refused),
        Just(Source::List)
    ];
    prop_oneof![
        6 => (ago.clone(), proptest::bool::weighted(0.1)).prop_map(|(ago, sign)| Event::Answer(ago, sign)),
        6 => (ago, probe).prop_map(|(ago, probe)| Event::Probe(ago, probe)),
        1 => Just(Event::Refused),
        1 => (listed, age.clone()).prop_map(|(listed, age)| Event::List(listed, age)),
        2 => (source, age).prop_map(|(source, age)| Event::News(source, age)),
        1 => Just(Event::Removed),
        1 => Just(Event::Restored),
    ]
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = (u64, Event);

    fn init_state() -> BoxedStrategy<Self> {
        let start = |now| Self {
            now,
            ..Self::default()
        };
        (100_000..200_000_u64).prop_map(start).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Self::Transition> {
        let pass = prop_oneof![4 => 1..1_500_u64, 2 => 1..61_000_u64, 1 => Just(3_600_000)];
        (pass, events()).boxed()
    }

    fn apply(mut state: Self, (pass, event): &Self::Transition) -> Self {
        state.now += pass;
        state.record(*event);
        state
    }
}

struct System(Evidence);

impl StateMachineTest for System {
    type SystemUnderTest = Self;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Self {
        Self(Evidence::new(BOUNDS))
    }

    fn apply(mut system: Self, oracle: &Oracle, (_, event): (u64, Event)) -> Self {
        record(&mut system.0, oracle.now, event);
        assert_eq!(system.0.standing(at(oracle.now)), oracle.standing());
        let mut later = oracle.clone();
        for pass in [1, 1_000, 30_000, 59_000] {
            later.now = oracle.now + pass;
            assert_eq!(system.0.standing(at(later.now)), later.standing());
        }
        system
    }
}

prop_state_machine! {
    #![proptest_config(seeded::config(1, 256))]

    #[test]
    fn standing_agrees_with_what_was_said(sequential 1..40 => System);
}
