//! Registry of the targets as they register themselves in the platform's store. It decides how long
//! a registration that vanished is kept.
//!
//! A registration that lapses during an outage of the store comes back shortly after the store does
//! if the target is alive. One that vanishes by then is therefore kept until then; where many of a
//! service vanish together, they are kept for a while. A target whose registration vanishes alone has
//! left or crashed, and one that was draining does not come back.

use std::cmp::Reverse;
use std::net::SocketAddr;

use crate::entry;
use crate::estimate::number;
use crate::map::Map;
use crate::map::Set;
use crate::site::withdrawn;
use crate::time::Instant;
use crate::time::Span;

key! {
    /// Whether a target takes new work.
    pub enum State {
        /// It takes new work.
        Ready,
        /// It is leaving and takes no new work.
        Draining,
    }
}

data! {
    /// What a target registers about itself.
    pub struct Registration {
        /// Its id, under which it answers.
        pub id: Box<str>,
        /// When it started, in milliseconds since 1970; tells apart starts under one id. 0 if it does
        /// not say.
        pub born: u64,
        /// Service that it belongs to.
        pub service: Box<str>,
        /// IP address and port.
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

/// A registration with when it was read, and how it vanished if it did.
#[derive(Clone, Debug)]
struct Record {
    registration: Registration,
    read_at: Instant,
    /// When this start of the target appeared; none if it was there when this VM started.
    appeared: Option<Instant>,
    removal: Option<Removal>,
}

/// How a registration vanished.
#[derive(Clone, Copy, Debug)]
struct Removal {
    /// Earliest time at which it may have vanished; none if that is not known.
    since: Option<Instant>,
    /// Until when it may come back because the store was away.
    back_by: Instant,
}

/// Time from the return of the store until the registrations of living targets are back.
pub const RETURN_GRACE: Span = Span::from_millis(2_000);
/// Time for which registrations are kept that vanished together. A target that leaves without
/// draining serves for about two and a half seconds; up to half a second of that passes until its
/// removal arrives.
pub const GROUP_GRACE: Span = Span::from_millis(1_800);
/// Time for which any registration is kept, to see whether others vanish together with it.
pub const SINGLE_GRACE: Span = Span::from_millis(300);
/// Least share and number of the registrations of a service that count as vanished together.
const GROUP_MIN_SHARE: f64 = 0.3;
const GROUP_MIN: usize = 2;

/// All registrations by key.
#[derive(Debug, Default)]
pub struct Registry {
    records: Map<Box<str>, Record>,
    /// Until when registrations that lapsed during an outage of the store come back.
    back_by: Instant,
    /// Until when the operator may write again what a store has lost that was restored from a copy.
    restored_by: Instant,
    /// Data centres out of service.
    withdrawn: withdrawn::Orders,
    /// Whether all registrations were read once, so that others are of targets that start.
    complete: bool,
}

impl Registry {
    /// Records that all registrations were read. Those that are put later are of targets that start, or
    /// that were lost and are back.
    pub fn set_complete(&mut self) {
        self.complete = true;
    }

    /// The data centres out of service.
    #[must_use]
    pub fn withdrawn(&self) -> &withdrawn::Orders {
        &self.withdrawn
    }

    /// Takes the targets of `data_center` out of service until [`Registry::restore`] gets the same
    /// key. Returns the services whose targets changed; none if it was out of service already.
    pub fn withdraw(&mut self, key: &str, data_center: &str) -> Option<Vec<Box<str>>> {
        let changed = self.withdrawn.put(key, data_center);
        changed.then(|| self.services_in(data_center))
    }

    /// Removes the order under `key` that took a data centre out of service. Returns the data centre
    /// that is back with the services whose targets changed; none if `key` holds no such order, or if it
    /// is kept until [`Registry::lapse_orders`] removes it, as the store was just restored.
    pub fn restore(&mut self, now: Instant, key: &str) -> Option<(Box<str>, Vec<Box<str>>)> {
        if now < self.restored_by && self.withdrawn.keep(key, self.restored_by) {
            return None;
        }
        self.remove_order(now, key)
    }

    /// Removes the orders that a restored store lacks and that were not written again in time. Returns
    /// the data centres that are back, each with the services whose targets changed.
    pub fn lapse_orders(&mut self, now: Instant) -> Vec<(Box<str>, Vec<Box<str>>)> {
        let lapsed = self.withdrawn.lapsed(now).into_iter();
        lapsed
            .filter_map(|key| self.remove_order(now, &key))
            .collect()
    }

    fn remove_order(&mut self, now: Instant, key: &str) -> Option<(Box<str>, Vec<Box<str>>)> {
        let data_center = self.withdrawn.remove(now, key)?;
        let services = self.services_in(&data_center);
        Some((data_center, services))
    }

    /// Services with registrations in `data_center`, without duplicates.
    fn services_in(&self, data_center: &str) -> Vec<Box<str>> {
        let records = self.records.values().map(|record| &record.registration);
        let there = records.filter(|found| *found.data_center == *data_center);
        let services: Set<Box<str>> = there.map(|found| found.service.clone()).collect();
        services.into_iter().collect()
    }

    /// Records that the store is back after an outage.
    pub fn record_return(&mut self, now: Instant) {
        self.back_by = now + RETURN_GRACE;
    }

    /// Records that the store was restored from a copy. What it lacks is written again.
    pub fn record_restore(&mut self, now: Instant) {
        self.record_return(now);
        self.restored_by = self.back_by;
    }

    /// Replaces the registration under `key`, or removes it if there is none because the new value
    /// of the key cannot be used. Returns the services whose targets changed.
    ///
    /// A start that drains stays so: a store that was restored from a copy may show it as ready.
    pub fn put(
        &mut self,
        now: Instant,
        key: &str,
        registration: Option<Registration>,
    ) -> Vec<Box<str>> {
        let Some(mut registration) = registration else {
            return self.records.remove(key).into_iter().map(service).collect();
        };
        let mut changed = vec![registration.service.clone()];
        let known = self.records.get(key);
        let same_start = known.filter(|known| known.registration.born == registration.born);
        let appeared = match same_start {
            Some(known) => known.appeared,
            None => self.complete.then_some(now),
        };
        if same_start.is_some_and(|known| known.registration.state == State::Draining)
            && registration.born > 0
        {
            registration.state = State::Draining;
        }
        let record = Record {
            registration,
            read_at: now,
            appeared,
            removal: None,
        };
        if let Some(old) = self.records.insert(key.into(), record)
            && old.registration.service != changed[0]
        {
            changed.push(old.registration.service);
        }
        changed
    }

    /// Records that the registration under `key` vanished, at `since` or later, or at any time if none
    /// is given. That of a ready target is kept until [`Registry::expire`] removes it. Returns the
    /// services whose targets changed.
    pub fn remove(&mut self, since: Option<Instant>, key: &str) -> Vec<Box<str>> {
        let Some(record) = self.records.get_mut(key) else {
            return Vec::new();
        };
        if record.registration.state == State::Ready {
            record.removal.get_or_insert(Removal {
                since,
                back_by: self.back_by,
            });
            return Vec::new();
        }
        self.records.remove(key).into_iter().map(service).collect()
    }

    /// Removes the registrations that vanished and did not come back in time. Returns the services
    /// whose targets changed.
    pub fn expire(&mut self, now: Instant) -> Vec<Box<str>> {
        let services = self.services_with_many_vanished();
        let overdue = |record: &Record| {
            record.removal.is_some_and(|removal| {
                let grace = if services.contains(&record.registration.service) {
                    GROUP_GRACE
                } else {
                    SINGLE_GRACE
                };
                let kept_until = removal
                    .since
                    .map_or(Instant::default(), |since| since + grace);
                now >= kept_until.max(removal.back_by)
            })
        };
        let expired = self.records.extract_if(|_, record| overdue(record));
        expired
            .map(|(_, record)| record.registration.service)
            .collect()
    }

    /// Services of which many registrations have vanished.
    fn services_with_many_vanished(&self) -> Set<Box<str>> {
        let mut counts: Map<&str, (usize, usize)> = Map::default();
        for record in self.records.values() {
            let (all, vanished) = counts.entry(&record.registration.service).or_default();
            *all += 1;
            *vanished += usize::from(record.removal.is_some());
        }
        let count = |count: usize| number(u64::try_from(count).unwrap_or(u64::MAX));
        let many = |(all, vanished): (usize, usize)| {
            vanished >= GROUP_MIN && count(vanished) >= count(all) * GROUP_MIN_SHARE
        };
        counts
            .into_iter()
            .filter(|(_, counts)| many(*counts))
            .map(|(service, _)| service.into())
            .collect()
    }

    /// The targets of `service` that take new work, by id. Those of a data centre out of service take
    /// none. `region` returns the region of a data centre.
    pub fn targets(&self, service: &str, region: impl Fn(&str) -> Box<str>) -> Vec<entry::Target> {
        let all = self.records.values().map(|record| &record.registration);
        let mut found: Vec<&Registration> =
            all.filter(|found| *found.service == *service).collect();
        // An address belongs to the newest target that names it, also if that one takes no new work: an
        // older registration of the address may be that of a target that is gone.
        found.sort_by(|left, right| {
            let order = |found: &Registration| (found.address, Reverse(found.born));
            (order(left), &left.id).cmp(&(order(right), &right.id))
        });
        found.dedup_by_key(|found| found.address);
        let usable = found.into_iter().filter(|found| {
            found.state == State::Ready && !self.withdrawn.contains(&found.data_center)
        });
        let mut targets: Vec<entry::Target> = usable
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
        targets.sort_by(|left, right| left.name.cmp(&right.name));
        targets
    }

    /// Ids of the targets of `service`, each with the time until which it is slow after its start: as
    /// it registered, and for `start` after this VM saw it start or come back, alone or with its data
    /// centre. Nothing is assumed if `start` is zero.
    pub fn cold_until(&self, service: &str, start: Span) -> impl Iterator<Item = (&str, Instant)> {
        let records = self.records.values();
        let own = records.filter(move |record| *record.registration.service == *service);
        own.map(move |record| {
            let registration = &record.registration;
            let stated = record.read_at + registration.cold_left;
            let returned = self.withdrawn.returned_at(&registration.data_center);
            let starts = record.appeared.max(returned);
            let assumed = starts.map(|at| at + start);
            let until = assumed.filter(|_| start > Span::ZERO).unwrap_or(stated);
            (&*registration.id, until.max(stated))
        })
    }
}

fn service(record: Record) -> Box<str> {
    record.registration.service
}
