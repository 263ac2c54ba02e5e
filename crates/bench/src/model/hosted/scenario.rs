//! The loads that the decisions of placement answer, one for each load pattern that the head of a
//! module of [`oriolecleat_core::place`] names.

use oriolecleat_core::entry::Class;

use super::load::Defect;
use super::load::Load;
use super::load::Stream;
use super::site::Full;
use super::site::Kind;
use super::site::Site;

/// A load at a site.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// VMs and targets.
    pub site: Site,
    /// Calls and faults.
    pub load: Load,
}

const SECOND_US: u64 = 1_000_000;

/// Look-ups that may run twice and are the least urgent, and bookings that must not.
fn streams() -> Vec<Stream> {
    let lookup = Stream {
        class: Class::Interactive,
        urgency: 2,
        share: 0.55,
        retries: 2,
        ..Stream::new(90)
    };
    let booking = Stream {
        value: 2.0,
        share: 0.45,
        retries: 2,
        ..Stream::new(120)
    };
    vec![lookup, booking]
}

/// All scenarios.
#[must_use]
pub fn all() -> Vec<Scenario> {
    let noisy = |slots, full| Kind::quiet(slots, full).noisy(0.25, 4.0);
    let pairs = |vms, full| Site::new(3, vms, 8, noisy(2, full));
    let quads = |vms, full| Site::new(3, vms, 4, noisy(4, full));
    let load = |name, utilization| Load::new(name, utilization).with_streams(streams());
    let burst = |name, utilization, factor| {
        load(name, utilization).with_burst(8 * SECOND_US, 11 * SECOND_US, factor)
    };
    let shed =
        |load: Load, share| load.with_fault(8 * SECOND_US, 16 * SECOND_US, 1, Defect::Sheds(share));
    let some = |load: Load, defect| load.with_fault(8 * SECOND_US, 16 * SECOND_US, 6, defect);
    let case = |site: &Site, load: Load| Scenario {
        site: site.clone(),
        load,
    };
    let (two, four) = (pairs(1, Full::Hang), quads(1, Full::Reset));
    let many = pairs(4, Full::Hang);
    vec![
        case(&two, load("two slots, calm", 0.17)),
        case(&two, load("two slots, busy", 0.28)),
        case(&two, burst("two slots, burst", 0.28, 2.0)),
        case(&two, load("two slots, overload", 0.6)),
        case(&two, shed(load("two slots, all reject half", 0.25), 0.55)),
        case(
            &two,
            some(load("two slots, some slow", 0.25), Defect::Slow(5.0)),
        ),
        case(
            &two,
            some(load("two slots, some hang", 0.2), Defect::Hangs(0.45)),
        ),
        case(
            &two,
            some(load("two slots, some flap", 0.2), Defect::Flaps(700_000)),
        ),
        case(
            &two,
            some(load("two slots, some fail", 0.2), Defect::Fails(0.45)),
        ),
        case(&four, load("four slots, calm", 0.2)),
        case(&four, load("four slots, busy", 0.4)),
        case(&four, burst("four slots, burst", 0.35, 2.0)),
        case(&four, load("four slots, overload", 0.8)),
        case(
            &four,
            some(load("four slots, some slow", 0.3), Defect::Slow(5.0)),
        ),
        case(&many, load("many VMs, busy", 0.25)),
        case(&many, burst("many VMs, burst", 0.25, 2.0)),
        case(&many, load("many VMs, overload", 0.6)),
    ]
}
