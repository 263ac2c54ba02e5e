//! Applies the VM list: peers to dial and targets that are leaving.

use oriolecleat_core::gateway::Update;
use oriolecleat_core::leaving::Listed;
use oriolecleat_core::time::Span;
use oriolecleat_core::vmlist;
use oriolecleat_core::vmlist::Role;
use oriolecleat_core::vmlist::State;

use crate::node::Node;

impl Node {
    /// Applies an update of the VM list.
    pub(crate) fn update_vm_list(&mut self, news: &Update) {
        let now = self.clock.now();
        let changes = news.changes.iter().filter_map(|change| {
            let name = change.key.strip_prefix(vmlist::PREFIX)?;
            Some((name, change.revision, change.value.as_deref()))
        });
        let mut faults = Vec::new();
        if let Some(revision) = news.snapshot_revision {
            let present = changes.filter_map(|(name, _, text)| Some((name, text?)));
            let present: Vec<(&str, &str)> = present.collect();
            faults = self.vm_list.replace(now, revision, &present);
        } else {
            for (name, revision, text) in changes {
                let outcome = self.vm_list.change(now, revision, name, text);
                faults.extend(outcome.err().into_iter().flatten());
            }
        }
        if news.confirmed {
            self.vm_list.confirm(now, 0);
        }
        for fault in faults {
            log::warn!(path = &*fault.path, reason = &*fault.reason; "VM list entry is not valid");
        }
        self.suggest_peers();
        self.record_listed_leaving();
    }

    /// Whether the list states that the VM is leaving.
    pub(crate) fn is_listed_leaving(&self, vm: &str) -> bool {
        let listed = self.vm_list.get(vm);
        listed.is_some_and(|listed| listed.state == State::Leaving)
    }

    fn suggest_peers(&mut self) {
        let live = self
            .vm_list
            .iter()
            .filter(|(_, vm)| vm.state == State::Live);
        let peers = live.filter_map(|(name, vm)| match &vm.role {
            Role::Entry(addresses) if *name != *self.settings.vm => Some(addresses.peer),
            Role::Entry(_) | Role::Target => None,
        });
        let peers = peers.collect();
        self.gossip.set_peer_hints(peers);
    }

    /// Stops new work for the targets on VMs that the list states as leaving.
    fn record_listed_leaving(&mut self) {
        let now = self.clock.now();
        let leaving = self
            .vm_list
            .iter()
            .filter(|(_, vm)| vm.state == State::Leaving);
        let leaving: Vec<Box<str>> = leaving.map(|(name, _)| name.into()).collect();
        let mut news = Vec::new();
        for (key, service) in &mut self.services {
            for vm in &leaving {
                let targets = service.record_listing(now, vm, Listed::Leaving, Span::ZERO);
                news.extend(targets.into_iter().map(|target| (key, target)));
            }
        }
        for (service, target) in news {
            self.record_leaving(service, target, "VM list");
        }
    }
}
