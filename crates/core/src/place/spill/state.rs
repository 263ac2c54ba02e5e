//! State of a placer on which spillover depends, and its place in a decision.

use rand::RngExt;
use rand::rngs::SmallRng;
use slotmap::SecondaryMap;

use super::Change;
use super::Cost;
use super::Reason;
use super::Scope;
use super::Tally;
use super::Terms;
use super::Way;
use super::room::Reported;
use super::room::Rooms;
use super::size::Sizes;
use crate::balance::Call;
use crate::balance::Job;
use crate::estimate::number;
use crate::map::Map;
use crate::map::Set;
use crate::place::loss::Candidate;
use crate::place::loss::Distance;
use crate::place::placer::ASSUMED_WORK_S;
use crate::place::placer::Choice;
use crate::place::placer::Placer;
use crate::place::region::permitted;
use crate::target;
use crate::target::Table;
use crate::time::Instant;

/// What a placer knows for spillover.
#[derive(Debug, Default)]
pub(crate) struct Spill {
    pub(crate) terms: Terms,
    pub(crate) sizes: Sizes,
    pub(crate) tally: Tally,
    rooms: Rooms,
    /// Names of the data centres, by index.
    centers: Vec<Box<str>>,
    /// Index of the data centre of each target, and whether the target is assigned to this VM.
    places: SecondaryMap<target::Key, (usize, bool)>,
    /// VMs by data centre.
    vms: Map<Box<str>, usize>,
}

impl Spill {
    /// Numbers the data centres of `targets`, of which those named in `own` are assigned to this VM.
    pub(crate) fn update(&mut self, targets: &Table, own: Option<&Set<Box<str>>>) {
        self.places.clear();
        for (key, target) in targets.iter() {
            let name = &target.spec.data_center;
            let known = self.centers.iter().position(|center| center == name);
            let index = known.unwrap_or_else(|| {
                self.centers.push(name.clone());
                self.centers.len() - 1
            });
            let is_own = own.is_some_and(|own| own.contains(&target.spec.name));
            self.places.insert(key, (index, is_own));
        }
    }

    /// Number of VMs that may send calls to `center` from elsewhere.
    fn senders(&self, center: usize) -> usize {
        let name = self.centers.get(center);
        let vms = self.vms.iter().filter(|(other, _)| name != Some(*other));
        vms.map(|(_, count)| *count).sum()
    }
}

impl Placer {
    /// Sets how calls leave their data centre.
    pub fn set_spill(&mut self, terms: Terms) {
        self.spill.terms = terms;
    }

    /// Sets the number of VMs in each data centre, which divide the room in the others.
    pub fn set_vms(&mut self, vms: Map<Box<str>, usize>) {
        self.spill.vms = vms;
    }

    /// What left the data centre of this VM.
    #[must_use]
    pub fn spilled(&self) -> &Tally {
        &self.spill.tally
    }

    /// Removes and returns where leaving began and ended since the last time.
    pub fn take_spill_changes(&mut self, now: Instant) -> Vec<Change> {
        self.spill.tally.take_changes(now)
    }

    /// Records the bytes that the exchange of `call` with `target` carried in both directions.
    pub fn record_bytes(&mut self, call: Call, target: target::Key, bytes: u64) {
        let Some(flight) = self.flights.get(&call) else {
            return;
        };
        self.spill.sizes.add(flight.job.entry, number(bytes));
        let mut attempts = flight.attempts.iter();
        let attempt = attempts.find(|attempt| attempt.target == target);
        if let Some((scope, reason)) = attempt.and_then(|attempt| attempt.leaving) {
            self.spill.tally.add_bytes(scope, reason, bytes);
        }
    }

    /// What `job` loses by its way to another data centre.
    pub(in crate::place) fn cost(&self, job: &Job) -> Cost {
        let bytes = self.spill.sizes.expected(job.entry, job.bytes.map(number));
        self.spill.terms.cost(bytes, job.urgency)
    }

    /// Limits `candidates` in other data centres to what this VM may send there.
    pub(in crate::place) fn bound_leaving(
        &mut self,
        now: Instant,
        candidates: &mut [(target::Key, Candidate)],
        rng: &mut SmallRng,
    ) {
        let way = self.spill.terms.way;
        let bounded = matches!(way, Way::Shares | Way::Congestion);
        if !bounded || self.spill.centers.len() < 2 {
            return;
        }
        let mut rooms = std::mem::take(&mut self.spill.rooms);
        let (stats, places) = (&self.stats, &self.spill.places);
        let away = |(key, candidate): &(target::Key, Candidate)| {
            let (center, _) = *places.get(*key)?;
            let stats = stats.get(*key)?;
            let own = u64::try_from(stats.own_calls()).unwrap_or(u64::MAX);
            let reported = Reported {
                max_load: candidate.max_load,
                load: candidate.load - 1.0,
                own: number(own),
                round_trip: candidate.round_trip,
                age: stats.report_age(now),
            };
            (candidate.distance != Distance::Local).then_some((center, reported))
        };
        // Calls that no target of this VM may get at once do not wait for the next trial.
        let stranded = !candidates.iter().any(|(key, candidate)| {
            (candidate.distance == Distance::Local || self.is_own(*key)) && candidate.has_room()
        });
        let work = self.work.typical().unwrap_or(ASSUMED_WORK_S) * self.mean_slowdown;
        let spill = &self.spill;
        let phase = rng.random::<f64>();
        rooms.update(
            now,
            candidates.iter().filter_map(away),
            |center| spill.senders(center),
            work,
            phase,
            stranded,
        );
        self.spill.rooms = rooms;
        for (key, candidate) in candidates {
            let Some((center, is_own)) = self.spill.places.get(*key) else {
                continue;
            };
            if candidate.distance == Distance::Local {
                continue;
            }
            if way == Way::Congestion {
                candidate.price = self.spill.rooms.price(*center);
            } else if !is_own {
                candidate.leave = Some(*center);
                candidate.may_leave = self.spill.rooms.credit(*center) >= 1.0;
                candidate.unreported = self.spill.rooms.is_blind(*center);
            }
        }
    }

    /// Whether the target is assigned to this VM.
    fn is_own(&self, key: target::Key) -> bool {
        self.spill
            .places
            .get(key)
            .is_some_and(|(_, is_own)| *is_own)
    }

    /// Records that `call` was sent to `choice`, and takes it from what this VM may send there.
    pub(in crate::place) fn record_leaving(
        &mut self,
        now: Instant,
        call: Call,
        remaining: f64,
        choice: &Choice,
        candidates: &mut [(target::Key, Candidate)],
    ) {
        let scope = match choice.candidate.distance {
            Distance::Local => return,
            Distance::DataCenter => Scope::DataCenter,
            Distance::Region => Scope::Region,
        };
        let Some(flight) = self.flights.get_mut(&call) else {
            return;
        };
        let mut attempts = flight.attempts.iter_mut();
        let Some(attempt) = attempts.find(|attempt| attempt.target == choice.target) else {
            return;
        };
        let open = permitted(candidates, &flight.job.regions);
        let reason = reason(remaining, attempt.work, open);
        attempt.leaving = Some((scope, reason));
        if let Some(center) = choice.candidate.leave {
            self.spill.rooms.take(now, center);
            let may_leave = self.spill.rooms.credit(center) >= 1.0;
            let same = candidates.iter_mut();
            for (_, candidate) in same.filter(|(_, other)| other.leave == Some(center)) {
                candidate.may_leave = may_leave;
            }
        }
        if let Some(target) = self.targets.get(choice.target) {
            let name = &target.spec.data_center;
            self.spill.tally.add_call(now, name, scope, reason);
        }
    }
}

/// Why a call leaves, by the local ones of `candidates`, which are in the regions of the call.
fn reason<'a>(
    remaining: f64,
    work: f64,
    candidates: impl Iterator<Item = &'a Candidate>,
) -> Reason {
    let mut open = candidates
        .filter(|candidate| candidate.distance == Distance::Local)
        .peekable();
    if open.peek().is_none() {
        return Reason::NoneOpen;
    }
    let mut with_room = open.filter(|candidate| candidate.has_room()).peekable();
    if with_room.peek().is_none() {
        return Reason::Full;
    }
    if with_room.any(|candidate| candidate.expected_time(work) <= remaining) {
        Reason::Cheaper
    } else {
        Reason::Slow
    }
}
