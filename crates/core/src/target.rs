//! Targets of one service with what this VM knows of each.

use slotmap::SlotMap;

use crate::entry;
use crate::estimate::Estimate;
use crate::estimate::seconds;
use crate::estimate::span;
use crate::time::Instant;
use crate::time::Span;

slotmap::new_key_type! {
    /// Names a target of a [`Table`].
    pub struct Key;
}

key! {
    /// Whether a target may get new work.
    #[derive(Default)]
    pub enum Standing {
        /// It may.
        #[default]
        Open,
        /// Only after a probe was answered.
        Unconfirmed,
        /// It may not.
        Leaving,
    }
}

/// A target that fails more than this share of its requests looks bad.
const BAD_ERROR_SHARE: f64 = 0.5;
/// Failing targets are ejected before slow ones.
const BAD_ERROR_RANK: f64 = 1e6;
/// A trial is good up to this multiple of the typical latency.
const GOOD_TRIAL: f64 = 2.0;

/// One target.
#[derive(Debug)]
pub struct Target {
    /// The target as the catalogue has it.
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
    /// Set while the target looks bad: it gets only trials.
    pub(crate) ejected: Option<Trial>,
    /// When the last probe was sent.
    pub(crate) probe: Option<Instant>,
    /// Probes that ended since the target was last open.
    pub(crate) probed: u32,
}

/// Occasional requests to a target that looks bad.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Trial {
    /// When the next one is due.
    pub(crate) due: Instant,
    /// Seconds until the one after it.
    pub(crate) wait: f64,
}

const FIRST_TRIAL_S: f64 = 5.0;
const LAST_TRIAL_S: f64 = 60.0;
const NEXT_TRIAL_S: f64 = 0.2;

impl Trial {
    fn new(now: Instant) -> Self {
        Self {
            due: now + span(FIRST_TRIAL_S),
            wait: FIRST_TRIAL_S,
        }
    }

    /// A trial was sent: the next one has to wait for its own time.
    pub(crate) fn sent(&mut self, now: Instant) {
        self.due = now + span(self.wait);
    }

    /// A trial ended; after a good one the next follows soon.
    fn ended(&mut self, now: Instant, good: bool) {
        if good {
            self.due = now + span(NEXT_TRIAL_S);
        } else {
            self.wait = (self.wait * 2.0).min(LAST_TRIAL_S);
            self.due = now + span(self.wait);
        }
    }
}

impl Target {
    /// How bad the target looks: none if it does not.
    pub(crate) fn badness(&self, typical: f64) -> Option<f64> {
        let errors = self.estimate.error_share();
        if errors > BAD_ERROR_SHARE {
            return Some(BAD_ERROR_RANK + errors);
        }
        self.estimate
            .is_outlier()
            .then(|| self.estimate.slowness(typical))
    }

    /// Takes over a standing; an open target is probed without delay when it next needs it.
    pub(crate) fn set_standing(&mut self, standing: Standing) {
        self.standing = standing;
        if standing == Standing::Open {
            self.probed = 0;
        }
    }

    /// Whether the target may get work apart from trials.
    pub(crate) fn is_open(&self) -> bool {
        self.standing == Standing::Open && self.ejected.is_none()
    }

    /// Whether the target looks bad and gets only trials.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        self.ejected.is_some()
    }

    /// Takes the target out of normal use, or back into it.
    pub(crate) fn eject(&mut self, now: Instant, bad: bool) {
        if bad && self.ejected.is_none() {
            self.ejected = Some(Trial::new(now));
        } else if !bad {
            self.ejected = None;
        }
        if bad {
            self.estimate.fade();
        }
    }

    /// A trial ended after `latency`, with an answer if `answered`.
    pub(crate) fn tried(&mut self, now: Instant, answered: bool, latency: Span, typical: f64) {
        let good = answered && seconds(latency) < GOOD_TRIAL * typical;
        if let Some(trial) = &mut self.ejected {
            trial.ended(now, good);
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
            ejected: None,
            probe: None,
            probed: 0,
        }
    }
}

/// Where a VM is, to tell near targets from far ones.
#[derive(Clone, Debug, Default)]
pub struct Place {
    /// Region.
    pub region: Box<str>,
    /// Data centre.
    pub data_center: Box<str>,
}

/// Round trips that are assumed until they are measured.
const DATA_CENTER_S: f64 = 0.000_2;
const REGION_S: f64 = 0.002;
const REMOTE_S: f64 = 0.040;

impl Place {
    fn round_trip(&self, spec: &entry::Target) -> f64 {
        if spec.region != self.region {
            REMOTE_S
        } else if spec.data_center != self.data_center {
            REGION_S
        } else {
            DATA_CENTER_S
        }
    }
}

/// Arena of the targets of one service.
#[derive(Debug, Default)]
pub struct Table {
    targets: SlotMap<Key, Target>,
}

impl Table {
    /// Takes over `specs`: adds new targets, keeps known ones, removes the rest.
    pub fn update(&mut self, now: Instant, place: &Place, specs: &[entry::Target]) {
        self.targets
            .retain(|_, target| specs.contains(&target.spec));
        for spec in specs {
            if !self.targets.values().any(|target| target.spec == *spec) {
                let remote = spec.region != place.region;
                let round_trip = place.round_trip(spec);
                self.targets
                    .insert(Target::new(spec, now, round_trip, remote));
            }
        }
    }

    /// The target of `key`, if it is still in the table.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Target> {
        self.targets.get(key)
    }

    /// The target of `key` for a change, if it is still in the table.
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

    /// All targets for a change.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (Key, &mut Target)> {
        self.targets.iter_mut()
    }
}
