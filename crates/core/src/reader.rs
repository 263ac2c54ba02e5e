//! Selects the VMs that read the configuration service and bounds how often they call it.
//!
//! Each data centre has a few designated readers. Any other VM takes over reading when its view of
//! the catalogue gets too old, or as soon as it hears none of its peers.

use rand::Rng;
use rand::RngExt;

use crate::map::Map;
use crate::member::Fleet;
use crate::member::MAX_MEMBERS;
use crate::member::Member;
use crate::member::State;
use crate::settings;
use crate::time::Instant;
use crate::time::Span;
use crate::view::View;

/// Upper limit of the random delay after the first failure.
pub const BACKOFF_MIN: Span = Span::from_millis(200);
/// Upper limit of the random delay after any number of failures.
pub const BACKOFF_MAX: Span = Span::from_millis(10_000);
/// The same limit for the calls of a reader. After an outage of any length, changes are read this soon.
pub const READ_BACKOFF_MAX: Span = Span::from_millis(2_000);
/// Time for which a VM that took over keeps reading. Without it, the VM would stop as soon as its
/// own reading has refreshed the view. The time is bounded since each reader adds calls to the
/// configuration service.
pub const TAKEOVER_HOLD: Span = Span::from_millis(10_000);

// The VMs of a data centre take over one after the other, at intervals of this part of
// `takeover_after`, so that an outage does not turn all of them into readers at once. As many VMs as
// there are turns take over at a view age of less than twice `takeover_after`.
const TAKEOVER_TURNS: u64 = 8;
// The VMs that come after these take single turns, one VM in each interval: 120 VMs that read for as
// long as an outage lasts would make about 160 calls a second. The first of these turns is early
// enough that it ends, with a timer that is 0.2 s late, before twice `takeover_after`.
const FIRST_PROBE_INTERVALS: u64 = 5;

/// Longest wait for changes in one call. An answer can be lost on a connection that stays open, which
/// only the end of the wait shows.
const WAIT_MAX: Span = Span::from_millis(2_000);
/// Designated readers, each of another data centre, that confirm the view often enough for all. The
/// second one does so alone while the first one is lost.
const FREQUENT_READERS: usize = 2;

const MICROS_PER_CALL: u64 = 1_000_000;
// Limits that are safe for any fleet: the documented rate of the service, shared by as many VMs as
// a fleet can have. They apply until the catalogue has the constants of the deployment.
const DEFAULT_CALLS_PER_S: u64 = 2_000;
const DEFAULT_VM_CEILING: u64 = MAX_MEMBERS as u64;

/// Whether this VM is alive and one of the `readers` lowest-ranked alive members of its data
/// centre.
#[must_use]
pub fn is_designated(fleet: &Fleet, readers: u64) -> bool {
    fleet.own().record().state == State::Alive && rank_in_data_center(fleet) < readers
}

/// Whether this VM is one of the [`FREQUENT_READERS`] lowest-ranked VMs among the first readers of all data
/// centres.
fn is_frequent_reader(fleet: &Fleet) -> bool {
    let mut first: Map<&str, &Member> = Map::default();
    for member in fleet.live() {
        let reader = first.entry(&member.record().data_center).or_insert(member);
        if reader.record().state != State::Alive || reader.is_preceded_by(member) {
            *reader = member;
        }
    }
    let own = fleet.own().record();
    let is_first = |reader: &&Member| reader.record().vm == own.vm;
    let mut readers: Vec<&Member> = first.into_values().collect();
    readers.sort_unstable_by_key(|reader| (reader.rank(), &reader.record().vm));
    readers.iter().take(FREQUENT_READERS).any(is_first)
}

/// Number of alive members of this VM's data centre that rank before it.
fn rank_in_data_center(fleet: &Fleet) -> u64 {
    let own = fleet.own();
    let lower = fleet.live().filter(|member| own.is_preceded_by(member));
    lower.count() as u64
}

/// Token bucket for this VM's share of the call rate of the configuration service.
///
/// It starts empty, refills at half of the share and holds at most the calls that the share allows
/// in half a second, so that no second sees more calls than the share, even when all VMs start at
/// once. A share below two calls per second can be exceeded by one call.
#[derive(Debug)]
pub struct Budget {
    calls_per_s: u64,
    vm_ceiling: u64,
    /// Tokens in millionths of a call.
    tokens: u64,
    refilled: Instant,
    /// Whether a watch is pending.
    pending: bool,
}

/// Exponential backoff with full jitter: each delay is a random part of a limit that doubles from
/// [`BACKOFF_MIN`] to a maximum.
#[derive(Debug)]
pub struct Backoff {
    failures: u32,
    max: Span,
}

impl Default for Backoff {
    fn default() -> Self {
        Self::up_to(BACKOFF_MAX)
    }
}

data! {
    /// What the daemon has to do next.
    pub enum Step {
        /// Start reading: a range, then a watch.
        Open,
        /// Stop reading.
        Close,
    }
}

#[derive(Debug)]
enum Phase {
    Idle { next: Instant },
    Reading,
}

/// Decides when this VM reads the configuration service, and tracks the age of its view.
#[derive(Debug)]
pub struct Reader {
    limits: settings::View,
    started: Instant,
    jitter: Span,
    view: View,
    takeover_until: Instant,
    /// Whether the takeover ends with the first call that fails.
    is_probe: bool,
    /// Number of the last single turn since the view got old.
    round: Option<u64>,
    /// Whether a call has failed since the last answer.
    has_failed: bool,
    /// Neighbours that rank before this VM and that it does not hear.
    unheard: u64,
    phase: Phase,
    backoff: Backoff,
    budget: Budget,
}

impl Budget {
    /// An empty budget with the default share, which is safe for any fleet.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            calls_per_s: DEFAULT_CALLS_PER_S,
            vm_ceiling: DEFAULT_VM_CEILING,
            tokens: 0,
            refilled: now,
            pending: false,
        }
    }

    /// Sets the share to `calls_per_s` divided by `vm_ceiling`, the constants of the deployment.
    pub fn set_share(&mut self, now: Instant, calls_per_s: u64, vm_ceiling: u64) {
        self.refill(now);
        self.calls_per_s = calls_per_s;
        self.vm_ceiling = vm_ceiling.max(1);
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Takes a token for one call and returns true, or returns false if none is left.
    pub fn spend(&mut self, now: Instant) -> bool {
        self.refill(now);
        let is_allowed = self.tokens >= MICROS_PER_CALL;
        if is_allowed {
            self.tokens -= MICROS_PER_CALL;
        }
        is_allowed
    }

    /// Sets whether a watch is pending. A pending watch counts as one call per second, but as at
    /// most half of the share, so that a VM with a small share can still make range calls.
    pub fn set_watch_pending(&mut self, now: Instant, pending: bool) {
        self.refill(now);
        self.pending = pending;
    }

    fn refill(&mut self, now: Instant) {
        let micros = now.since(self.refilled).as_micros();
        let gained = micros.saturating_mul(self.calls_per_s) / (2 * self.vm_ceiling);
        let spent = if self.pending {
            micros.min(gained / 2)
        } else {
            0
        };
        if gained > 0 {
            self.tokens = (self.tokens + gained - spent).min(self.capacity());
            self.refilled = now;
        }
    }

    fn capacity(&self) -> u64 {
        let half = MICROS_PER_CALL.saturating_mul(self.calls_per_s) / (2 * self.vm_ceiling);
        half.max(MICROS_PER_CALL)
    }
}

impl Backoff {
    /// A backoff whose limit grows to `max`.
    #[must_use]
    pub const fn up_to(max: Span) -> Self {
        Self { failures: 0, max }
    }

    /// Counts one more failure and returns the delay before the next attempt.
    pub fn next_delay(&mut self, random: &mut dyn Rng) -> Span {
        let doubled = BACKOFF_MIN.as_micros() << self.failures.min(16);
        self.failures = self.failures.saturating_add(1);
        let limit = doubled.min(self.max.as_micros());
        Span::from_micros(random.random_range(0..=limit))
    }

    /// Resets the limit after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

impl Reader {
    /// A reader that starts to read after `limits.peer_wait` at the earliest, so that peers can
    /// send their catalogue first.
    #[must_use]
    pub fn new(now: Instant, limits: settings::View, random: &mut dyn Rng) -> Self {
        let next = now + limits.peer_wait;
        let jitter = jitter(&limits, random);
        Self {
            limits,
            started: now,
            jitter,
            view: View::default(),
            takeover_until: Instant::default(),
            is_probe: false,
            round: None,
            has_failed: false,
            unheard: 0,
            phase: Phase::Idle { next },
            backoff: Backoff::up_to(READ_BACKOFF_MAX),
            budget: Budget::new(now),
        }
    }

    /// Applies changed bounds on the view.
    pub fn set_limits(&mut self, limits: settings::View, random: &mut dyn Rng) {
        if limits != self.limits {
            self.jitter = jitter(&limits, random);
            self.limits = limits;
        }
    }

    /// The budget of calls to the configuration service.
    pub fn budget(&mut self) -> &mut Budget {
        &mut self.budget
    }

    /// Records that the view was complete `age` ago, as confirmed by this VM's own reading or by a
    /// peer with the same catalogue.
    pub fn confirm(&mut self, now: Instant, age: Span) {
        self.view.confirm(now, age);
    }

    /// Records how many neighbours that rank before this VM it does not hear, for whose turn it then
    /// need not wait. A VM that is cut off hears nobody: it reads at once.
    pub fn record_hearing(&mut self, now: Instant, unheard: u64, is_cut_off: bool) {
        self.unheard = unheard;
        if is_cut_off {
            self.takeover_until = now + TAKEOVER_HOLD;
            self.is_probe = false;
        }
    }

    /// Records that a call failed. Returns whether this VM has to stop reading because it had a single
    /// turn; the next [`Reader::step`] then closes the reading.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        self.has_failed = true;
        let stops = std::mem::take(&mut self.is_probe);
        if stops {
            self.takeover_until = now;
        }
        stops
    }

    /// Records that the configuration service answered, which resets the backoff.
    ///
    /// After an outage, the designated readers are back as soon as this VM, so it goes on reading for
    /// `takeover_after` only. If none of them confirms the view, the next takeover lasts for
    /// [`TAKEOVER_HOLD`].
    pub fn record_response(&mut self, now: Instant) {
        self.backoff.reset();
        self.is_probe = false;
        if std::mem::take(&mut self.has_failed) {
            let limit = now + self.limits.takeover_after;
            self.takeover_until = self.takeover_until.min(limit);
        }
    }

    /// Longest wait for changes that this VM makes as a reader. The view of the fleet is confirmed only
    /// when a wait ends, so some readers wait for two thirds of `takeover_after` at most; the rest is for
    /// the way of the answer to all VMs. The other designated readers wait longer, as calls cost.
    #[must_use]
    pub fn longest_wait(&self, fleet: &Fleet) -> Span {
        let takes_over = !is_designated(fleet, self.limits.readers_per_data_center);
        if takes_over || is_frequent_reader(fleet) {
            let takeover_after = self.limits.takeover_after.as_micros();
            Span::from_micros(takeover_after / 3 * 2).min(WAIT_MAX)
        } else {
            WAIT_MAX
        }
    }

    /// Age of the view; none before the first confirmation.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Span> {
        self.view.age(now)
    }

    /// Whether the view is too old to be reported as current.
    #[must_use]
    pub fn is_stale(&self, now: Instant) -> bool {
        self.age_or_uptime(now) > self.limits.stale_after
    }

    /// Whether the view is older than it gets when a reader is lost: more than twice `takeover_after`.
    /// The service is then away, or this VM is cut off from it.
    #[must_use]
    pub fn is_view_old(&self, now: Instant) -> bool {
        let limit = self.limits.takeover_after + self.limits.takeover_after;
        self.view.age(now).is_some_and(|age| age > limit)
    }

    /// Starts or stops reading if this VM is, or is no longer, a reader. Call it at every tick.
    pub fn step(&mut self, now: Instant, fleet: &Fleet, random: &mut dyn Rng) -> Option<Step> {
        let readers = self.limits.readers_per_data_center;
        let is_reader = is_designated(fleet, readers) || self.update_takeover(now, fleet, random);
        match self.phase {
            Phase::Idle { next } if is_reader && now >= next => {
                self.phase = Phase::Reading;
                Some(Step::Open)
            }
            Phase::Reading if !is_reader => {
                self.phase = Phase::Idle { next: now };
                self.budget.set_watch_pending(now, false);
                Some(Step::Close)
            }
            Phase::Idle { .. } | Phase::Reading => None,
        }
    }

    /// Records that reading ended or failed by itself. It may start again after a backoff delay.
    pub fn record_end(&mut self, now: Instant, random: &mut dyn Rng) {
        self.record_failure(now);
        let next = now + self.backoff.next_delay(random);
        self.phase = Phase::Idle { next };
        self.budget.set_watch_pending(now, false);
    }

    /// Stops reading after the process was frozen, because messages that were buffered during the
    /// freeze do not show the current state of the service.
    pub fn close_after_freeze(&mut self, now: Instant) -> Option<Step> {
        if matches!(self.phase, Phase::Idle { .. }) {
            return None;
        }
        self.phase = Phase::Idle { next: now };
        self.budget.set_watch_pending(now, false);
        Some(Step::Close)
    }

    // The age of the view; the uptime if the view was never confirmed, so that a starting VM does
    // not take over at once.
    fn age_or_uptime(&self, now: Instant) -> Span {
        let uptime = now.since(self.started);
        self.view.age(now).unwrap_or(uptime)
    }

    /// Starts a takeover if the view is too old, and returns whether one is in progress.
    fn update_takeover(&mut self, now: Instant, fleet: &Fleet, random: &mut dyn Rng) -> bool {
        let readers = self.limits.readers_per_data_center;
        let turn = rank_in_data_center(fleet).saturating_sub(readers);
        let takeover_after = self.limits.takeover_after.as_micros();
        let is_late = turn >= TAKEOVER_TURNS;
        let intervals = if is_late && self.unheard == 0 {
            FIRST_PROBE_INTERVALS + turn - TAKEOVER_TURNS
        } else {
            turn.min(TAKEOVER_TURNS - 2).saturating_sub(self.unheard)
        };
        let interval = interval(&self.limits).as_micros();
        let limit = Span::from_micros(takeover_after + interval * intervals) + self.jitter;
        // No reader confirms a view before it has waited for its peers.
        let waited = now.since(self.started + self.limits.peer_wait);
        let age = self.view.age(now).unwrap_or(waited);
        if age <= limit {
            self.round = None;
        } else if is_late {
            let late = late_vms(fleet, readers).max(TAKEOVER_TURNS);
            let overdue = age.as_micros() - limit.as_micros();
            let round = Some(overdue / (interval * late).max(1));
            if now >= self.takeover_until && round > self.round {
                self.takeover_until = now + TAKEOVER_HOLD;
                self.is_probe = true;
            }
            self.round = round;
        } else if now >= self.takeover_until {
            self.takeover_until = now + TAKEOVER_HOLD;
            self.is_probe = false;
            self.jitter = jitter(&self.limits, random);
        }
        now < self.takeover_until
    }
}

/// Number of alive members of this VM's data centre that take single turns.
fn late_vms(fleet: &Fleet, readers: u64) -> u64 {
    let own = &fleet.own().record().data_center;
    let near = fleet
        .live()
        .filter(|member| member.record().data_center == *own);
    (near.count() as u64).saturating_sub(readers + TAKEOVER_TURNS)
}

/// Time between the takeovers of two successive VMs of a data centre.
fn interval(limits: &settings::View) -> Span {
    Span::from_micros(limits.takeover_after.as_micros() / TAKEOVER_TURNS)
}

fn jitter(limits: &settings::View, random: &mut dyn Rng) -> Span {
    Span::from_micros(random.random_range(0..=interval(limits).as_micros()))
}
