//! The table of the targets of a service, with what this VM knows of each.

use slotmap::SlotMap;

use crate::entry;
use crate::estimate::Estimate;
use crate::estimate::seconds;
use crate::estimate::span;
use crate::map::Set;
use crate::site::region;
use crate::time::Instant;
use crate::time::Span;

slotmap::new_key_type! {
    /// Identifies a target of a [`Table`].
    pub struct Key;
}

key! {
    /// Whether a target may get new work.
    #[derive(Default)]
    pub enum Standing {
        /// It may.
        #[default]
        Open,
        /// Only after it answered a probe.
        Unconfirmed,
        /// It may not.
        Leaving,
    }
}

/// A target that fails more than this share of its requests is a candidate for ejection.
const BAD_ERROR_SHARE: f64 = 0.5;
/// Rank of a failing target, above that of any slow one.
const BAD_ERROR_RANK: f64 = 1e6;
/// A trial succeeds up to this multiple of the typical latency.
const GOOD_TRIAL_FACTOR: f64 = 2.0;

/// One target.
#[derive(Debug)]
pub struct Target {
    /// The target as the catalogue describes it.
    pub spec: entry::Target,
    /// Requests of this VM that the target works on.
    pub in_flight: u64,
    /// Whether it may get new work.
    pub standing: Standing,
    /// Load and speed.
    pub estimate: Estimate,
    /// Round trip to the target in seconds.
    pub(crate) round_trip: f64,
    /// Whether the target is in another region.
    pub(crate) remote: bool,
    /// Key of its region.
    pub(crate) region: region::Key,
    /// Set while the target is ejected: it gets only trials.
    pub(crate) ejected: Option<Trial>,
    /// When the last probe was sent.
    pub(crate) last_probe: Option<Instant>,
    /// Number of probes that ended since the target was last open.
    pub(crate) ended_probes: u32,
}

/// Schedule of the trials of an ejected target: single calls that show whether it has recovered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Trial {
    /// When the next trial is due.
    pub(crate) due: Instant,
    /// Seconds from the next trial to the one after it.
    pub(crate) wait: f64,
}

/// Time from an ejection to the first trial.
const FIRST_TRIAL_S: f64 = 5.0;
/// Longest time between trials, which doubles after each failed one.
const MAX_TRIAL_S: f64 = 60.0;
/// Time from a successful trial to the next one.
const NEXT_TRIAL_S: f64 = 0.2;

impl Trial {
    fn new(now: Instant) -> Self {
        Self {
            due: now + span(FIRST_TRIAL_S),
            wait: FIRST_TRIAL_S,
        }
    }

    /// Schedules the next trial after one was sent.
    pub(crate) fn record_start(&mut self, now: Instant) {
        self.due = now + span(self.wait);
    }

    /// Schedules the next trial after one ended: soon after a success, later after each failure.
    fn record_end(&mut self, now: Instant, succeeded: bool) {
        if succeeded {
            self.due = now + span(NEXT_TRIAL_S);
        } else {
            self.wait = (self.wait * 2.0).min(MAX_TRIAL_S);
            self.due = now + span(self.wait);
        }
    }
}

impl Target {
    /// Rank among the candidates for ejection, higher for a worse target; `None` if it is no
    /// candidate.
    pub(crate) fn ejection_rank(&self, typical: f64) -> Option<f64> {
        let errors = self.estimate.error_share();
        if errors > BAD_ERROR_SHARE {
            return Some(BAD_ERROR_RANK + errors);
        }
        self.estimate
            .is_outlier()
            .then(|| self.estimate.slowness(typical))
    }

    /// Sets the standing. An open target is probed without a delay when it is next unconfirmed.
    pub(crate) fn set_standing(&mut self, standing: Standing) {
        self.standing = standing;
        if standing == Standing::Open {
            self.ended_probes = 0;
        }
    }

    /// Whether the target may get work other than trials.
    pub(crate) fn is_open(&self) -> bool {
        self.standing == Standing::Open && self.ejected.is_none()
    }

    /// Whether the target is ejected and gets only trials.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        self.ejected.is_some()
    }

    /// Ejects the target, or ends its ejection.
    pub(crate) fn set_ejected(&mut self, now: Instant, ejected: bool) {
        if ejected && self.ejected.is_none() {
            self.ejected = Some(Trial::new(now));
        } else if !ejected {
            self.ejected = None;
        }
        if ejected {
            self.estimate.limit_history();
        }
    }

    /// Records a trial that ended after `latency`, with an answer if `answered`.
    pub(crate) fn record_trial(
        &mut self,
        now: Instant,
        answered: bool,
        latency: Span,
        typical: f64,
    ) {
        let succeeded = answered && seconds(latency) < GOOD_TRIAL_FACTOR * typical;
        if let Some(trial) = &mut self.ejected {
            trial.record_end(now, succeeded);
        }
    }

    fn new(spec: &entry::Target, now: Instant, round_trip: f64, remote: bool) -> Self {
        Self {
            spec: spec.clone(),
            in_flight: 0,
            standing: Standing::Open,
            estimate: Estimate::new(now),
            round_trip,
            remote,
            region: region::Key::of(&spec.region),
            ejected: None,
            last_probe: None,
            ended_probes: 0,
        }
    }
}

/// Location of a VM, to tell near targets from far ones.
#[derive(Clone, Debug, Default)]
pub struct Place {
    /// Name of the region.
    pub region: Box<str>,
    /// Name of the data centre.
    pub data_center: Box<str>,
}

/// Round trips in seconds that are assumed until they are measured: within a data centre, within a
/// region, and between regions.
const DATA_CENTER_TRIP_S: f64 = 0.000_2;
const REGION_TRIP_S: f64 = 0.002;
const REMOTE_TRIP_S: f64 = 0.040;

impl Place {
    fn round_trip(&self, spec: &entry::Target) -> f64 {
        if spec.region != self.region {
            REMOTE_TRIP_S
        } else if spec.data_center != self.data_center {
            REGION_TRIP_S
        } else {
            DATA_CENTER_TRIP_S
        }
    }
}

/// The targets of one service.
#[derive(Debug, Default)]
pub struct Table {
    targets: SlotMap<Key, Target>,
}

impl Table {
    /// Updates the targets to `specs`: adds new ones, keeps known ones and removes the rest.
    pub fn update(&mut self, now: Instant, place: &Place, specs: &[entry::Target]) {
        // Targets are looked up by hash: comparing each with each other took 5 ms for each change of a
        // service with 1,000 targets (the benchmark `fleet_growth`).
        let wanted: Set<&entry::Target> = specs.iter().collect();
        self.targets
            .retain(|_, target| wanted.contains(&target.spec));
        let known = self.targets.values().map(|target| &target.spec);
        let mut seen: Set<&entry::Target> = known.collect();
        let added: Vec<&entry::Target> = specs.iter().filter(|spec| seen.insert(spec)).collect();
        for spec in added {
            let remote = spec.region != place.region;
            let round_trip = place.round_trip(spec);
            self.targets
                .insert(Target::new(spec, now, round_trip, remote));
        }
    }

    /// The target of `key`, if it is still in the table.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Target> {
        self.targets.get(key)
    }

    /// The target of `key`, for changes, if it is still in the table.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Target> {
        self.targets.get_mut(key)
    }

    /// The key of the target called `name`.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<Key> {
        let mut targets = self.targets.iter();
        let (key, _) = targets.find(|(_, target)| &*target.spec.name == name)?;
        Some(key)
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Target)> {
        self.targets.iter()
    }

    /// All targets, for changes.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (Key, &mut Target)> {
        self.targets.iter_mut()
    }
}
