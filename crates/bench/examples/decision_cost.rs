//! Measures the time of one decision of the placer: a call that arrives, by targets and waiting calls.

use std::hint::black_box;
use std::time::Instant as Clock;

use oriolecleat_bench::model::hosted::site::Full;
use oriolecleat_bench::model::hosted::site::Kind;
use oriolecleat_bench::model::hosted::site::Site;
use oriolecleat_core::balance::Call;
use oriolecleat_core::balance::Job;
use oriolecleat_core::entry::Class;
use oriolecleat_core::place::Limits;
use oriolecleat_core::place::Placer;
use oriolecleat_core::site::region::Scope;
use oriolecleat_core::target::Standing;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const DECISIONS: u32 = 100;

fn main() {
    for targets in [12, 250, 3_000] {
        for centers in [1, 6] {
            for waiting in [0, 100, 2_000] {
                let micros = measure(targets, centers, waiting);
                println!(
                    "{targets:5} targets {centers} data centres {waiting:5} waiting \
                     {micros:10.1} us a decision"
                );
            }
        }
    }
}

/// Mean microseconds of a tick with targets in `centers` data centres if calls wait, or else of an arrival with its withdrawal.
fn measure(targets: usize, centers: usize, waiting: u64) -> f64 {
    let mut site = Site::new(1, 1, targets, Kind::quiet(2, Full::Reset));
    site.centers = (0..targets).map(|index| index % centers).collect();
    let mut placer = Placer::new(site.place(0), Limits { queue: 10_000 });
    let now = Instant::from_micros(1_000_000);
    placer.update(now, &site.specs(), |_| None);
    let keys: Vec<_> = placer.targets().iter().map(|(key, _)| key).collect();
    for key in keys {
        placer.set_standing(key, Standing::Open);
    }
    let own = site.own_targets(0).into_iter();
    let specs = site.specs();
    let own = own.map(|index| specs[index].name.clone());
    placer.set_own_targets(Some(own.collect()));
    let mut rng = SmallRng::seed_from_u64(1);
    let mut out = Vec::new();
    let job = |call: u64| Job {
        call: Call(call),
        class: Class::Once,
        arrived: now,
        deadline: now + Span::from_millis(600_000),
        objective: Span::from_millis(500_000),
        urgency: 1,
        avoid: None,
        entry: 1,
        hedge_percent: 0,
        bytes: None,
        regions: Scope::ANY,
    };
    let slots = u64::try_from(2 * targets).unwrap_or(0);
    let filled = if waiting == 0 { 0 } else { slots + waiting };
    for call in 0..filled {
        placer.arrive(now, job(call), &mut rng, &mut out);
    }
    // After the wait for answers to probes.
    let later = now + Span::from_millis(50);
    let start = Clock::now();
    for index in 0..DECISIONS {
        out.clear();
        if waiting == 0 {
            let call = u64::from(index) + 1_000_000;
            placer.arrive(now, job(call), &mut rng, &mut out);
            placer.withdraw(Call(call), &mut out);
        } else {
            placer.tick(later, &mut rng, &mut out);
        }
        black_box(&out);
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(DECISIONS)
}
