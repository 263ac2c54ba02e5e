//! Guards against VMs that learn of changes too late since their readers or links are lost.

use oriolecleat_bench::network::Network;
use oriolecleat_bench::network::sites;
use oriolecleat_core::time::Span;

/// Time between two looks at the views.
const LOOK: Span = Span::from_millis(20);
/// Looks after which a VM that reads confirms its view again; the platform's feed does so each
/// second.
const CONFIRM_LOOKS: u64 = 50;
/// Time after which the links have settled: those that are not needed are closed after 10 s.
const SETTLED: Span = Span::from_millis(20_000);
/// Age that no view reaches while one VM confirms its own each second: `takeover_after_ms` of the
/// hosted fleet.
const TAKEOVER_AFTER: Span = Span::from_millis(1_500);

/// Guards against a view that gets older with each link between it and a reader, so that the loss of
/// readers is noticed late.
#[test]
fn views_of_all_vms_have_nearly_the_same_age() {
    let mut network = Network::new(&sites(3, 6, 60), 7, false);
    let mut oldest = Span::ZERO;
    for second in 0..40 {
        network.act(0, |gossip, context| {
            gossip.confirm_view(context, Span::ZERO)
        });
        for _ in 0..CONFIRM_LOOKS {
            network.run(LOOK);
            if second < SETTLED.as_millis() / 1_000 {
                continue;
            }
            let now = network.now();
            for vm in &network.vms {
                let age = vm.reader.age(vm.clock(now));
                oldest = oldest.max(age.expect("every view was confirmed"));
            }
        }
    }
    assert!(oldest < TAKEOVER_AFTER, "{oldest:?}");
}
