//! Targets as they register themselves, with what to do when a registration vanishes.
//!
//! A registration that lapses while the store is away comes back shortly after its return if the
//! target lives. It is therefore kept for a while, unless it was draining: then it is gone for good.

use std::net::SocketAddr;

use crate::entry;
use crate::map::Map;
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
    vanished: Option<Instant>,
}

/// Time for which a registration that vanished while the store was away is kept after the store's
/// return. Those of living targets are back within about two seconds.
pub const RETURN_LIMIT: Span = Span::from_millis(2_500);

/// All registrations by key.
#[derive(Debug, Default)]
pub struct Roster {
    known: Map<Box<str>, Known>,
    /// When the store was last known to be away.
    away: Option<Instant>,
}

impl Roster {
    /// The store could not be read at `now`, or its history was cut.
    pub fn interrupted(&mut self, now: Instant) {
        self.away = Some(now);
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
        let lapsed = self.away.is_some_and(|away| now.since(away) < RETURN_LIMIT);
        if lapsed && known.registration.state == State::Ready {
            known.vanished.get_or_insert(now);
            return Vec::new();
        }
        self.known.remove(key).into_iter().map(service).collect()
    }

    /// Forgets registrations that did not come back in time. Returns the services whose targets
    /// changed.
    pub fn expire(&mut self, now: Instant) -> Vec<Box<str>> {
        let overdue = |known: &Known| {
            let since = known.vanished.max(known.vanished.and(self.away));
            since.is_some_and(|since| now.since(since) >= RETURN_LIMIT)
        };
        let gone = self.known.extract_if(|_, known| overdue(known));
        gone.map(|(_, known)| known.registration.service).collect()
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
    pub fn cold(&self, service: &str) -> impl Iterator<Item = (&str, Instant)> {
        let known = self.known.values();
        let own = known.filter(move |known| *known.registration.service == *service);
        own.map(|known| {
            let until = known.read + known.registration.cold_left;
            (&*known.registration.id, until)
        })
    }

    /// Registrations known, those that vanished and may come back included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no registration is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

fn service(known: Known) -> Box<str> {
    known.registration.service
}
