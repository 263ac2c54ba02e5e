//! Guards against urgent calls that are refused for less urgent ones, and against calls that lose their
//! place to later ones of the same urgency.

use oriolecleat_core::balance::Action;
use oriolecleat_core::balance::Call;
use oriolecleat_core::balance::Job;
use oriolecleat_core::entry;
use oriolecleat_core::entry::Class;
use oriolecleat_core::place::Limits;
use oriolecleat_core::place::Placer;
use oriolecleat_core::site::region::Scope;
use oriolecleat_core::target::Place;
use oriolecleat_core::target::Standing;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const START: Instant = Instant::from_micros(1_000_000);

#[test]
fn a_full_queue_keeps_the_most_urgent_calls_and_the_earliest_of_them() {
    struct Case {
        name: &'static str,
        /// Urgencies of calls in the order of their arrival; one runs and three may wait.
        urgencies: &'static [u8],
        refused: &'static [u64],
    }
    let cases = [
        Case {
            name: "the last one of an urgency is refused",
            urgencies: &[0, 1, 1, 1, 1],
            refused: &[4],
        },
        Case {
            name: "the last one of the least urgent ones gives way",
            urgencies: &[0, 2, 2, 1, 0],
            refused: &[2],
        },
        Case {
            name: "a less urgent one does not displace any",
            urgencies: &[0, 1, 1, 0, 2],
            refused: &[4],
        },
        Case {
            name: "each urgent one displaces one",
            urgencies: &[0, 2, 1, 2, 1, 0],
            refused: &[3, 1],
        },
    ];
    for case in cases {
        let mut rng = SmallRng::seed_from_u64(1);
        let place = Place {
            region: "r".into(),
            data_center: "c".into(),
        };
        let mut placer = Placer::new(place, Limits { queue: 3 });
        let spec = entry::Target {
            name: "t".into(),
            address: ([10, 0, 0, 1], 1_000).into(),
            vm: "t".into(),
            region: "r".into(),
            data_center: "c".into(),
            slots: 1,
            incarnation: 1,
        };
        placer.update(START, std::slice::from_ref(&spec), |_| None);
        let key = placer.targets().find("t").expect("the target");
        placer.set_standing(key, Standing::Open);
        let mut out = Vec::new();
        for (id, urgency) in (0..).zip(case.urgencies) {
            let now = START + Span::from_millis(id);
            let job = Job {
                call: Call(id),
                class: Class::Once,
                arrived: now,
                deadline: now + Span::from_millis(9_000),
                objective: Span::from_millis(4_000),
                urgency: *urgency,
                avoid: None,
                entry: 1,
                hedge_percent: 0,
                bytes: None,
                regions: Scope::ANY,
            };
            placer.arrive(now, job, &mut rng, &mut out);
        }
        let refused = out.iter().filter_map(|action| match action {
            Action::Refuse { call, .. } => Some(call.0),
            _ => None,
        });
        assert_eq!(refused.collect::<Vec<u64>>(), case.refused, "{}", case.name);
    }
}
