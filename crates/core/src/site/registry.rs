//! Targets as they register themselves, with what to do when a registration vanishes.
//!
//! A registration that lapses while the store is away comes back shortly after its return if the
//! target lives. It is therefore kept for a while if the first news after an outage lack it, or if
//! many of a service vanish together. One that vanishes alone has left or crashed, and one that was
//! draining is gone for good.

use std::net::SocketAddr;

use crate::entry;
use crate::estimate::number;
use crate::map::Map;
use crate::map::Set;
use crate::time::Instant;
use crate::time::Span;

key! {
    /// Whether a target takes new work.
    pub enum State {
        /// It does.
        Ready,
        /// It is leaving.
        Draining,
    }
}

data! {
    /// What a target says of itself.
    pub struct Registration {
        /// Its id, under which it answers.
        pub id: Box<str>,
        /// When it started, in milliseconds since 1970; tells apart starts under one id.
        pub born: u64,
        /// Service that it belongs to.
        pub service: Box<str>,
        /// IP number and port.
        pub address: SocketAddr,
        /// Its data centre.
        pub data_center: Box<str>,
        /// Requests that it works on at once.
        pub slots: u64,
        /// Whether it takes new work.
        pub state: State,
        /// How much longer it is slow after its start.
        pub cold_left: Span,
    }
}

/// A registration with when it was read, and when it vanished.
#[derive(Clone, Debug)]
struct Known {
    registration: Registration,
    read: Instant,
    vanished: Option<Vanished>,
}

/// How a registration vanished.
#[derive(Clone, Copy, Debug)]
struct Vanished {
    at: Instant,
    /// Whether the first news after an outage of the store lacked it.
    lapsed: bool,
}

/// Time for which a registration is kept that the first news after an outage of the store lack.
/// Those of living targets are back within about two seconds.
pub const OUTAGE_GRACE: Span = Span::from_millis(2_500);
/// Time for which registrations are kept that vanished together. A target that leaves without a word
/// serves for about two and a half seconds, of which the news take up to half a second.
pub const GROUP_GRACE: Span = Span::from_millis(1_800);
/// Time in which it shows whether others vanish together with a registration.
pub const SINGLE_GRACE: Span = Span::from_millis(300);
/// Registrations of a service that vanish together, at least: a share of all of them, and a number.
const TOGETHER_SHARE: f64 = 0.3;
const TOGETHER_LEAST: usize = 2;

/// All registrations by key.
#[derive(Debug, Default)]
pub struct Registry {
    known: Map<Box<str>, Known>,
    /// Whether removals are told by the first news after an outage of the store.
    outage: bool,
}

impl Registry {
    /// Whether the removals to come are told by the first news after an outage of the store.
    pub fn set_after_outage(&mut self, outage: bool) {
        self.outage = outage;
    }

    /// The registration under `key` is now `registration`; none if it is no target to use.
    /// Returns the services whose targets changed.
    pub fn put(
        &mut self,
        now: Instant,
        key: &str,
        registration: Option<Registration>,
    ) -> Vec<Box<str>> {
        let Some(registration) = registration else {
            return self.known.remove(key).into_iter().map(service).collect();
        };
        let mut changed = vec![registration.service.clone()];
        let known = Known {
            registration,
            read: now,
            vanished: None,
        };
        if let Some(old) = self.known.insert(key.into(), known)
            && old.registration.service != changed[0]
        {
            changed.push(old.registration.service);
        }
        changed
    }

    /// The registration under `key` vanished. Returns the services whose targets changed.
    pub fn remove(&mut self, now: Instant, key: &str) -> Vec<Box<str>> {
        let Some(known) = self.known.get_mut(key) else {
            return Vec::new();
        };
        if known.registration.state == State::Ready {
            known.vanished.get_or_insert(Vanished {
                at: now,
                lapsed: self.outage,
            });
            return Vec::new();
        }
        self.known.remove(key).into_iter().map(service).collect()
    }

    /// Forgets registrations that did not come back in time. Returns the services whose targets
    /// changed.
    pub fn expire(&mut self, now: Instant) -> Vec<Box<str>> {
        let services = self.services_with_many_vanished();
        let overdue = |known: &Known| {
            known.vanished.is_some_and(|vanished| {
                let limit = if vanished.lapsed {
                    OUTAGE_GRACE
                } else if services.contains(&known.registration.service) {
                    GROUP_GRACE
                } else {
                    SINGLE_GRACE
                };
                now.since(vanished.at) >= limit
            })
        };
        let gone = self.known.extract_if(|_, known| overdue(known));
        gone.map(|(_, known)| known.registration.service).collect()
    }

    /// Services of which many registrations have vanished.
    fn services_with_many_vanished(&self) -> Set<Box<str>> {
        let mut counts: Map<&str, (usize, usize)> = Map::default();
        for known in self.known.values() {
            let (all, vanished) = counts.entry(&known.registration.service).or_default();
            *all += 1;
            *vanished += usize::from(known.vanished.is_some());
        }
        let count = |count: usize| number(u64::try_from(count).unwrap_or(u64::MAX));
        let many = |(all, vanished): (usize, usize)| {
            vanished >= TOGETHER_LEAST && count(vanished) >= count(all) * TOGETHER_SHARE
        };
        counts
            .into_iter()
            .filter(|(_, counts)| many(*counts))
            .map(|(service, _)| service.into())
            .collect()
    }

    /// The targets of `service` that take new work, by id. `region` tells the region of a data
    /// centre.
    pub fn targets(&self, service: &str, region: impl Fn(&str) -> Box<str>) -> Vec<entry::Target> {
        let mut targets: Vec<entry::Target> = self
            .known
            .values()
            .map(|known| &known.registration)
            .filter(|found| *found.service == *service && found.state == State::Ready)
            .map(|found| entry::Target {
                name: found.id.clone(),
                address: found.address,
                vm: found.id.clone(),
                region: region(&found.data_center),
                data_center: found.data_center.clone(),
                slots: found.slots,
                incarnation: found.born,
            })
            .collect();
        // An address belongs to the newest target that names it.
        targets.sort_by(|left, right| {
            let order =
                |target: &entry::Target| (target.address, std::cmp::Reverse(target.incarnation));
            order(left).cmp(&order(right))
        });
        targets.dedup_by_key(|target| target.address);
        targets.sort_by(|left, right| left.name.cmp(&right.name));
        targets
    }

    /// Until when the targets of `service` are slow after their start, by id.
    pub fn cold_until(&self, service: &str) -> impl Iterator<Item = (&str, Instant)> {
        let known = self.known.values();
        let own = known.filter(move |known| *known.registration.service == *service);
        own.map(|known| {
            let until = known.read + known.registration.cold_left;
            (&*known.registration.id, until)
        })
    }
}

fn service(known: Known) -> Box<str> {
    known.registration.service
}
