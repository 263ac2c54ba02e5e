//! Which VMs read the configuration service, and how often they may call it.

use rand::Rng;
use rand::RngExt;

use crate::member::Fleet;
use crate::member::MAX_MEMBERS;
use crate::member::State;
use crate::settings;
use crate::time::Instant;
use crate::time::Span;
use crate::view::View;

/// Shortest limit of the wait after a failed call.
pub const BACKOFF_MIN: Span = Span::from_millis(200);
/// Longest limit of the wait after repeated failures.
pub const BACKOFF_MAX: Span = Span::from_millis(10_000);
/// Time for which a VM that took over keeps reading. Without it, the VM would stop as soon as its
/// own reading has refreshed the view; each VM that reads adds to the calls.
pub const TAKEOVER_HOLD: Span = Span::from_millis(10_000);

// VMs of a data centre take over one after the other, at intervals of a part of the age at which
// the first one does, so that an outage does not make readers of all of them. The last ones do so at
// less than twice that age.
const TAKEOVER_TURNS: u64 = 8;

const MICROS_PER_CALL: u64 = 1_000_000;
// The documented rate of the service, shared by as many VMs as the fleet can have, until the
// catalogue tells the deployment's own numbers.
const DEFAULT_CALLS_PER_S: u64 = 2_000;
const DEFAULT_VM_CEILING: u64 = MAX_MEMBERS as u64;

/// Whether this VM is one of the `readers` lowest-ranked live members of its data centre.
#[must_use]
pub fn is_designated(fleet: &Fleet, readers: u64) -> bool {
    fleet.own().record().state == State::Alive && position(fleet) < readers
}

/// Live members of this VM's data centre that rank before it.
fn position(fleet: &Fleet) -> u64 {
    let own = fleet.own();
    let lower = fleet
        .live()
        .filter(|member| {
            member.record().data_center == own.record().data_center
                && member.record().state == State::Alive
                && (member.rank(), &member.record().vm) < (own.rank(), &own.record().vm)
        })
        .count();
    lower as u64
}

/// This VM's share of the service's rate. It starts empty, refills at half of the share and holds
/// half a second's worth, so that no second sees more than the share, even when all VMs start at
/// once. A share below two calls a second can be exceeded by one call.
#[derive(Debug)]
pub struct Budget {
    calls_per_s: u64,
    vm_ceiling: u64,
    tokens: u64,
    refilled: Instant,
    pending: bool,
}

/// Wait between failed attempts: a random part of a limit that doubles.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

data! {
    /// What the I/O shell has to do.
    pub enum Step {
        /// Start to read: range, then watch.
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

/// Decides when this VM reads, and knows how old its view is.
#[derive(Debug)]
pub struct Reader {
    limits: settings::View,
    started: Instant,
    jitter: Span,
    view: View,
    taken_until: Instant,
    phase: Phase,
    backoff: Backoff,
    budget: Budget,
}

impl Budget {
    /// An empty budget with the share that is safe for any fleet.
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

    /// Takes over the deployment's constants.
    pub fn set_share(&mut self, now: Instant, calls_per_s: u64, vm_ceiling: u64) {
        self.refill(now);
        self.calls_per_s = calls_per_s;
        self.vm_ceiling = vm_ceiling.max(1);
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Pays for one call, if the share allows it.
    pub fn spend(&mut self, now: Instant) -> bool {
        self.refill(now);
        let paid = self.tokens >= MICROS_PER_CALL;
        if paid {
            self.tokens -= MICROS_PER_CALL;
        }
        paid
    }

    /// Counts a waiting watch as one call a second for as long as it waits, up to half of the
    /// share, so that a VM with a small share can still range.
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
    /// The wait after one more failure.
    pub fn next_delay(&mut self, random: &mut dyn Rng) -> Span {
        let doubled = BACKOFF_MIN.as_micros() << self.failures.min(16);
        self.failures = self.failures.saturating_add(1);
        let limit = doubled.min(BACKOFF_MAX.as_micros());
        Span::from_micros(random.random_range(0..=limit))
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

impl Reader {
    /// A reader that first leaves its peers time to tell what they know.
    #[must_use]
    pub fn new(now: Instant, limits: settings::View, random: &mut dyn Rng) -> Self {
        let next = now + limits.peer_wait;
        let jitter = jitter(&limits, random);
        Self {
            limits,
            started: now,
            jitter,
            view: View::default(),
            taken_until: Instant::default(),
            phase: Phase::Idle { next },
            backoff: Backoff::default(),
            budget: Budget::new(now),
        }
    }

    /// The budget of calls.
    pub fn budget(&mut self) -> &mut Budget {
        &mut self.budget
    }

    /// Notes that the view was complete `age` ago, as this VM's own reading or a peer with the
    /// same catalogue showed.
    pub fn confirm(&mut self, now: Instant, age: Span) {
        self.view.confirm(now, age);
    }

    /// Notes that the service responded.
    pub fn record_response(&mut self) {
        self.backoff.reset();
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

    /// Whether this VM should be reading now; called at every tick.
    pub fn step(&mut self, now: Instant, fleet: &Fleet, random: &mut dyn Rng) -> Option<Step> {
        let readers = self.limits.readers_per_data_center;
        let wanted = is_designated(fleet, readers) || self.take_over(now, fleet, random);
        match self.phase {
            Phase::Idle { next } if wanted && now >= next => {
                self.phase = Phase::Reading;
                Some(Step::Open)
            }
            Phase::Reading if !wanted => {
                self.phase = Phase::Idle { next: now };
                self.budget.set_watch_pending(now, false);
                Some(Step::Close)
            }
            Phase::Idle { .. } | Phase::Reading => None,
        }
    }

    /// Notes that reading ended by itself; it may start again after a wait.
    pub fn record_end(&mut self, now: Instant, random: &mut dyn Rng) {
        let next = now + self.backoff.next_delay(random);
        self.phase = Phase::Idle { next };
        self.budget.set_watch_pending(now, false);
    }

    /// Ends reading after a freeze, because messages that waited unread say nothing about now.
    pub fn close_after_freeze(&mut self, now: Instant) -> Option<Step> {
        if matches!(self.phase, Phase::Idle { .. }) {
            return None;
        }
        self.phase = Phase::Idle { next: now };
        self.budget.set_watch_pending(now, false);
        Some(Step::Close)
    }

    // A view that was never confirmed counts from the start, so that a starting VM does not take
    // over at once.
    fn age_or_uptime(&self, now: Instant) -> Span {
        let uptime = now.since(self.started);
        self.view.age(now).unwrap_or(uptime)
    }

    fn take_over(&mut self, now: Instant, fleet: &Fleet, random: &mut dyn Rng) -> bool {
        let readers = self.limits.readers_per_data_center;
        let turn = position(fleet).saturating_sub(readers);
        let turn = turn.min(TAKEOVER_TURNS - 2);
        let interval = interval(&self.limits).as_micros();
        let wait = Span::from_micros(interval * turn) + self.jitter;
        let limit = self.limits.takeover_after + wait;
        if now >= self.taken_until && self.age_or_uptime(now) > limit {
            self.taken_until = now + TAKEOVER_HOLD;
            self.jitter = jitter(&self.limits, random);
        }
        now < self.taken_until
    }
}

/// Time between the takeovers of two VMs of a data centre.
fn interval(limits: &settings::View) -> Span {
    Span::from_micros(limits.takeover_after.as_micros() / TAKEOVER_TURNS)
}

fn jitter(limits: &settings::View, random: &mut dyn Rng) -> Span {
    Span::from_micros(random.random_range(0..=interval(limits).as_micros()))
}
