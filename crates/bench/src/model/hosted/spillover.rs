//! The loads that spillover answers: data centres of which some are full, slow or lost beside others
//! with room.

use oriolecleat_core::entry::Class;

use super::load::Defect;
use super::load::Link;
use super::load::Load;
use super::load::Stream;
use super::scenario::Scenario;
use super::site::Center;
use super::site::Full;
use super::site::Kind;
use super::site::Site;

const SECOND_US: u64 = 1_000_000;
/// Start and end of the faults.
const FROM_US: u64 = 3 * SECOND_US;
const TO_US: u64 = 5 * SECOND_US;
/// Length of a load.
const END_US: u64 = 7 * SECOND_US;
/// Period of a defect that lasts until the end of its fault.
const LASTING_US: u64 = 1_000 * SECOND_US;

/// Look-ups, non-idempotent bookings and downloads, in the proportions of a deployment.
fn streams() -> Vec<Stream> {
    let repeatable = |work_ms, objective_us, bytes, share| Stream {
        class: Class::Interactive,
        urgency: 2,
        objective_us,
        patience_us: 3_000_000,
        share,
        retries: 1,
        bytes,
        ..Stream::new(work_ms)
    };
    let booking = Stream {
        share: 0.3,
        objective_us: 500_000,
        patience_us: 1_500_000,
        retries: 1,
        ..Stream::new(110)
    };
    vec![
        repeatable(85, 300_000, 1_500, 0.6),
        booking,
        repeatable(68, 1_000_000, 90_000, 0.1),
    ]
}

/// Six data centres of different size in three regions.
fn six() -> Vec<Center> {
    let sizes = [
        (0, 8, 10),
        (0, 4, 6),
        (1, 6, 8),
        (1, 3, 4),
        (2, 4, 6),
        (2, 2, 2),
    ];
    let center = |(region, vms, targets)| Center {
        region,
        vms,
        targets,
    };
    sizes.into_iter().map(center).collect()
}

/// All loads.
#[must_use]
pub fn all() -> Vec<Scenario> {
    let kind = Kind::quiet(4, Full::Reject).noisy(0.25, 4.0);
    let kind = Kind { queue: 0, ..kind };
    let pair = |vms, targets| {
        let center = |region| Center {
            region,
            vms,
            targets,
        };
        Site::with_centers(&[center(0), center(1)], kind)
    };
    let six = Site::with_centers(&six(), kind);
    let load = |name, utilization| {
        let load = Load::new(name, utilization).with_streams(streams());
        Load {
            end_us: END_US,
            ..load
        }
    };
    let lossy = Link {
        loss: 0.05,
        resend_us: 200_000,
        stale_us: 0,
    };
    let stale = Link {
        stale_us: SECOND_US,
        ..Link::default()
    };
    let case = |site: &Site, load: Load| Scenario {
        site: site.clone(),
        load,
    };
    let with_link = |load: Load, link| Load { link, ..load };
    let (few, many, least) = (pair(4, 10), pair(40, 8), pair(3, 4));
    let skewed = |name| load(name, 0.3).with_weights(&[0.9, 0.1]);
    let lost = Defect::Flaps(LASTING_US);
    let first = (0, 10);
    vec![
        case(&six, load("calm", 0.2)),
        case(&six, load("busy", 0.35)),
        case(&few, skewed("full beside free")),
        case(&least, load("all full", 0.8)),
        case(
            &few,
            load("one slow", 0.2).with_center_fault(FROM_US, TO_US, first, Defect::Slow(5.0)),
        ),
        case(&few, with_link(skewed("stale reports"), stale)),
        case(&few, with_link(skewed("lossy link"), lossy)),
        case(
            &six,
            load("lost and back", 0.2).with_center_fault(FROM_US, TO_US, first, lost),
        ),
        case(
            &six,
            load("region lost and back", 0.2).with_center_fault(FROM_US, TO_US, (0, 16), lost),
        ),
        case(
            &six,
            load("six of different size", 0.3).with_weights(&[0.25, 0.35, 0.4]),
        ),
        case(&many, skewed("many VMs at once")),
    ]
}
