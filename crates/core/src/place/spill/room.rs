//! How many calls this VM may send to another data centre, for many VMs that see the same free
//! slots at the same moment.
//!
//! Of the free slots that are reported there, each VM may fill half a share by the number of VMs
//! that may send and half in proportion to its calls among all calls there, which the reports count.
//! The shares of all VMs add up to the free slots without any message between VMs, and the share of
//! a VM that sends alone grows with each round of reports.

use crate::estimate::number;
use crate::estimate::seconds;
use crate::estimate::span;
use crate::time::Instant;
use crate::time::Span;

/// Time after which a report counts for 1/e: the load of a data centre changes within about a
/// second.
const REPORT_DECAY_S: f64 = 1.0;
/// Weight below which a report counts as none, so that a trial renews it.
const REPORT_WEIGHT_MIN: f64 = 0.05;
/// Part of the free slots that is shared equally among the senders.
const EQUAL_PART: f64 = 0.5;
/// Free share of a data centre from which on the shares do not bind: so much is not filled before
/// new reports arrive. With 0.35 the calls of a lost region earn 0.964 of their worth, with shares
/// that always bind 0.957 (model, `region lost and back`).
const AMPLE_SHARE: f64 = 0.35;
/// The shares may be filled once within this part of the mean age of the reports, and of a round
/// trip at least, as calls of other VMs show no earlier. With the whole age the calls beside a slow
/// data centre earn 0.905, with half of it 0.911 (model, `one slow`).
const AGE_PART: f64 = 0.5;
const TRIP_PART: f64 = 0.25;
/// Time between two trials in a data centre of which nothing is known.
const TRIAL_INTERVAL: Span = Span::from_millis(1_000);
/// Longest time in seconds until a VM whose own targets take no call may send one to a data centre that
/// reports free slots. Calls with an objective of 300 ms and 85 ms of work are refused after 215 ms, and
/// the share of one of many VMs takes longer to accrue.
const STRANDED_WAIT_S: f64 = 0.2;
/// Time in seconds in which a congestion price moves by the excess of the load over the limit.
const PRICE_PERIOD_S: f64 = 0.5;
/// Share of the largest load above which the price rises.
const PRICE_LOAD: f64 = 0.8;
/// Largest congestion price, the worth of an answer.
const PRICE_MAX: f64 = 1.0;

/// A target of another data centre, as its newest report states it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reported {
    /// Largest load that it may get.
    pub(crate) max_load: f64,
    /// Expected requests at it, those of this VM included.
    pub(crate) load: f64,
    /// Requests of this VM at it.
    pub(crate) own: f64,
    /// Seconds to it and back.
    pub(crate) round_trip: f64,
    /// Age of the newest report.
    pub(crate) age: Option<Span>,
}

/// Sums over the targets of a data centre.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    max_load: f64,
    own: f64,
    round_trip: f64,
    /// Weighted sums over the targets with a report.
    known_max: f64,
    known_load: f64,
    known_free: f64,
    /// Weighted sum of the ages of the reports in seconds.
    known_age: f64,
    weights: f64,
    best_weight: f64,
}

/// What this VM may send to one data centre.
#[derive(Clone, Copy, Debug)]
struct Account {
    /// Calls that may be sent now; a fraction accrues to a whole call.
    credit: f64,
    updated: Instant,
    /// Whether no report is recent enough, so that the next call is a trial.
    blind: bool,
    trial: Option<Instant>,
    /// Calls of this VM there, averaged over two periods.
    own: f64,
    price: f64,
}

/// What this VM may send to each other data centre, by its index.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rooms {
    accounts: Vec<Option<Account>>,
    /// Sums of the update under way, kept so that an arrival allocates nothing.
    sums: Vec<Option<Sum>>,
}

impl Rooms {
    /// Updates the accounts by the targets of each data centre. `senders` returns the number of VMs
    /// that may send to it, `period` is the time in seconds after which a call sent shows in the
    /// reports, and `phase` a random number below 1, which spreads the first calls of the VMs.
    /// `stranded` states that no target outside the accounts may get a call at once: then one call
    /// leaves in each `period` without reports, and in `STRANDED_WAIT_S` with free slots.
    pub(crate) fn update(
        &mut self,
        now: Instant,
        targets: impl Iterator<Item = (usize, Reported)>,
        senders: impl Fn(usize) -> usize,
        period: f64,
        phase: f64,
        stranded: bool,
    ) {
        self.sums.fill(None);
        for (center, target) in targets {
            if self.sums.len() <= center {
                self.sums.resize(center + 1, None);
                self.accounts.resize(center + 1, None);
            }
            self.sums[center]
                .get_or_insert_with(Sum::default)
                .add(&target);
        }
        let both = self.accounts.iter_mut().zip(&self.sums).enumerate();
        for (center, (account, sum)) in both {
            let Some(sum) = sum else {
                *account = None;
                continue;
            };
            let account = account.get_or_insert(Account {
                credit: phase,
                updated: now,
                blind: true,
                trial: None,
                own: 0.0,
                price: 0.0,
            });
            account.update(now, sum, senders(center), period, stranded);
        }
    }

    fn account(&self, center: usize) -> Option<&Account> {
        self.accounts.get(center).and_then(Option::as_ref)
    }

    /// Calls that may be sent to `center` now.
    pub(crate) fn credit(&self, center: usize) -> f64 {
        self.account(center).map_or(0.0, |account| account.credit)
    }

    /// Whether no recent report tells the load of `center`.
    pub(crate) fn is_blind(&self, center: usize) -> bool {
        let account = self.account(center);
        account.is_none_or(|account| account.blind)
    }

    /// Congestion price of a call to `center`.
    pub(crate) fn price(&self, center: usize) -> f64 {
        self.account(center).map_or(0.0, |account| account.price)
    }

    /// Takes a call that was sent to `center`.
    pub(crate) fn take(&mut self, now: Instant, center: usize) {
        if let Some(account) = self.accounts.get_mut(center).and_then(Option::as_mut) {
            account.credit -= 1.0;
            if account.blind {
                account.trial = Some(now);
            }
        }
    }
}

impl Sum {
    fn add(&mut self, target: &Reported) {
        self.max_load += target.max_load;
        self.own += target.own;
        self.round_trip = self.round_trip.max(target.round_trip);
        let weight = target.age.map_or(0.0, weight);
        self.known_max += target.max_load * weight;
        self.known_load += target.load * weight;
        self.known_free += (target.max_load - target.load).max(0.0) * weight;
        self.known_age += target.age.map_or(0.0, seconds) * weight;
        self.weights += weight;
        self.best_weight = self.best_weight.max(weight);
    }
}

/// Weight of a report of `age`.
fn weight(age: Span) -> f64 {
    (-seconds(age) / REPORT_DECAY_S).exp()
}

impl Account {
    fn update(&mut self, now: Instant, sum: &Sum, senders: usize, period: f64, stranded: bool) {
        let elapsed = seconds(now.since(self.updated));
        self.updated = now;
        let period = period.max(f64::MIN_POSITIVE);
        self.own += (sum.own - self.own) * (1.0 - (-elapsed / (2.0 * period)).exp());
        self.blind = sum.best_weight < REPORT_WEIGHT_MIN;
        if self.blind {
            let interval = if stranded {
                span(period).min(TRIAL_INTERVAL)
            } else {
                TRIAL_INTERVAL
            };
            let due = self.trial.is_none_or(|last| now.since(last) >= interval);
            self.credit = if due { 1.0 } else { self.credit.min(0.0) };
            return;
        }
        let scale = sum.max_load / sum.known_max.max(f64::MIN_POSITIVE);
        let free = sum.known_free * scale * sum.best_weight;
        let own = self.own.max(sum.own);
        let load = (sum.known_load * scale).max(own).max(1.0);
        let equal = EQUAL_PART / number(u64::try_from(senders.max(1)).unwrap_or(u64::MAX));
        let share = free * (equal + (1.0 - EQUAL_PART) * own / load);
        let age = sum.known_age / sum.weights.max(f64::MIN_POSITIVE);
        let delay = (age * AGE_PART).max(TRIP_PART * sum.round_trip).min(period);
        let delay = delay.max(f64::MIN_POSITIVE);
        let mut rate = share / delay;
        if stranded && free > 0.0 {
            rate = rate.max(1.0 / STRANDED_WAIT_S);
        }
        let accrued = self.credit + rate * elapsed;
        self.credit = accrued.min(share.max(1.0));
        if sum.known_free >= AMPLE_SHARE * sum.known_max {
            self.credit = self.credit.max(1.0);
        }
        let used = sum.known_load / sum.known_max.max(f64::MIN_POSITIVE);
        let step = (used - PRICE_LOAD) * (elapsed / PRICE_PERIOD_S).min(1.0);
        self.price = (self.price + step).clamp(0.0, PRICE_MAX);
    }
}
