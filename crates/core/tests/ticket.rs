//! Tests of tickets against an oracle that knows every attempt on every VM.

use oriolecleat_core::request::Outcome;
use oriolecleat_core::ticket::Claim;
use oriolecleat_core::ticket::Issuer;
use oriolecleat_core::ticket::Ledger;
use oriolecleat_core::ticket::Refusal;
use oriolecleat_core::ticket::Ticket;
use oriolecleat_core::time::Instant;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestCaseError;

const VMS: usize = 2;
const CAPACITY: usize = 4;
const LIFETIME_US: u64 = 10;

#[derive(Clone, Debug)]
enum Step {
    Issue { vm: usize },
    Submit { ticket: usize, vm: usize },
    Write { attempt: usize },
    Start { attempt: usize },
    Shed { attempt: usize },
    Deliver { attempt: usize },
    Abandon { attempt: usize },
    Pass { micros: u64 },
    Restart { vm: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let vm = 0..VMS;
    let any = 0..64_usize;
    prop_oneof![
        2 => vm.clone().prop_map(|vm| Step::Issue { vm }),
        8 => (any.clone(), vm.clone()).prop_map(|(ticket, vm)| Step::Submit { ticket, vm }),
        4 => any.clone().prop_map(|attempt| Step::Write { attempt }),
        4 => any.clone().prop_map(|attempt| Step::Start { attempt }),
        2 => any.clone().prop_map(|attempt| Step::Shed { attempt }),
        3 => any.clone().prop_map(|attempt| Step::Deliver { attempt }),
        2 => any.prop_map(|attempt| Step::Abandon { attempt }),
        1 => (1..LIFETIME_US).prop_map(|micros| Step::Pass { micros }),
        1 => vm.prop_map(|vm| Step::Restart { vm }),
    ]
}

/// Progress of an attempt, as the oracle knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Claimed,
    Written,
    Started,
    Delivered,
    /// It did not run and never will.
    Unrun,
}

struct Attempt {
    ticket: usize,
    vm: usize,
    claim: Option<Claim>,
    state: State,
}

struct Vm {
    incarnation: u64,
    now: Instant,
    ledger: Ledger,
}

impl Vm {
    fn new(name: usize, incarnation: u64) -> Self {
        Self {
            incarnation,
            now: Instant::default(),
            ledger: Ledger::new(&format!("vm-{name}"), incarnation, CAPACITY),
        }
    }
}

struct World {
    vms: Vec<Vm>,
    tickets: Vec<Ticket>,
    attempts: Vec<Attempt>,
}

impl World {
    fn new() -> Self {
        Self {
            vms: (0..VMS).map(|name| Vm::new(name, 1)).collect(),
            tickets: Vec::new(),
            attempts: Vec::new(),
        }
    }

    fn states(&self, ticket: usize) -> impl Iterator<Item = State> {
        let attempts = self
            .attempts
            .iter()
            .filter(move |attempt| attempt.ticket == ticket);
        attempts.map(|attempt| attempt.state)
    }

    /// Checks that `outcome` is true for all attempts with the ticket so far.
    fn check(&self, ticket: usize, outcome: Outcome) -> Result<(), TestCaseError> {
        match outcome {
            Outcome::NotRun => prop_assert!(self.states(ticket).all(|state| state == State::Unrun)),
            Outcome::Ran => {
                prop_assert!(self.states(ticket).any(|state| state == State::Delivered));
            }
            Outcome::Unknown => {}
        }
        Ok(())
    }

    fn submit(&mut self, ticket: usize, vm: usize) -> Result<(), TestCaseError> {
        let holder = &mut self.vms[vm];
        let outcome = holder.ledger.outcome(holder.now, &self.tickets[ticket]);
        let claimed = holder.ledger.claim(holder.now, &self.tickets[ticket]);
        self.check(ticket, outcome)?;
        match claimed {
            Ok(claim) => {
                prop_assert!(self.states(ticket).all(|state| state == State::Unrun));
                self.attempts.push(Attempt {
                    ticket,
                    vm,
                    claim: Some(claim),
                    state: State::Claimed,
                });
                Ok(())
            }
            Err(refusal) => self.check(ticket, refusal.outcome()),
        }
    }

    fn restart(&mut self, vm: usize) {
        let incarnation = self.vms[vm].incarnation + 1;
        self.vms[vm] = Vm::new(vm, incarnation);
        for attempt in self.attempts.iter_mut().filter(|attempt| attempt.vm == vm) {
            attempt.claim = None;
            if attempt.state == State::Claimed {
                attempt.state = State::Unrun;
            }
        }
    }

    /// Applies a step to an attempt; a step that its state does not allow is skipped.
    fn advance(&mut self, attempt: usize, step: &Step) {
        let Some(attempt) = self.attempts.get_mut(attempt) else {
            return;
        };
        let ledger = &mut self.vms[attempt.vm].ledger;
        match (step, attempt.state) {
            (Step::Write { .. }, State::Claimed) if attempt.claim.is_some() => {
                attempt.state = State::Written;
            }
            // A target may start a request long after it was written.
            (Step::Start { .. }, State::Written) => attempt.state = State::Started,
            (Step::Shed { .. }, State::Written | State::Claimed) => {
                if let Some(claim) = attempt.claim.take() {
                    claim.release(ledger);
                    attempt.state = State::Unrun;
                }
            }
            (Step::Deliver { .. }, State::Started) => {
                if let Some(claim) = attempt.claim.take() {
                    claim.complete(ledger);
                    attempt.state = State::Delivered;
                }
            }
            (Step::Abandon { .. }, State::Written | State::Started) => attempt.claim = None,
            _ => {}
        }
    }

    fn apply(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match step {
            Step::Issue { vm } => {
                let issuer = &self.vms[*vm];
                self.tickets.push(Ticket {
                    vm: format!("vm-{vm}").into(),
                    incarnation: issuer.incarnation,
                    id: self.tickets.len() as u128,
                    expires_us: issuer.now.as_micros() + LIFETIME_US,
                });
            }
            Step::Submit { ticket, vm } if !self.tickets.is_empty() => {
                return self.submit(ticket % self.tickets.len(), *vm);
            }
            Step::Pass { micros } => {
                for vm in &mut self.vms {
                    vm.now = Instant::from_micros(vm.now.as_micros() + micros);
                }
            }
            Step::Restart { vm } => self.restart(*vm),
            Step::Write { attempt }
            | Step::Start { attempt }
            | Step::Shed { attempt }
            | Step::Deliver { attempt }
            | Step::Abandon { attempt }
                if !self.attempts.is_empty() =>
            {
                self.advance(attempt % self.attempts.len(), step);
            }
            _ => {}
        }
        Ok(())
    }
}

/// A configuration with the same cases in every run.
fn fixed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::with_cases(512)
    }
}

proptest! {
    #![proptest_config(fixed())]

    /// Guards against a request that is started twice, and against an outcome that is false for an
    /// earlier attempt with the same ticket.
    #[test]
    fn ticket_runs_once(steps in proptest::collection::vec(step(), 1..150)) {
        let mut world = World::new();
        for step in &steps {
            world.apply(step)?;
            for ticket in 0..world.tickets.len() {
                let is_started = |state: &State| matches!(state, State::Started | State::Delivered);
                prop_assert!(world.states(ticket).filter(is_started).count() <= 1);
            }
        }
    }

    /// Guards against a ticket that is accepted after one of its bits was changed.
    #[test]
    fn changed_ticket_is_refused(position: usize, bit in 0..6_u8) {
        let issuer = Issuer::new(b"a key of thirty-two bytes or more");
        let ticket = Ticket { vm: "vm-0".into(), incarnation: 1, id: 7, expires_us: 9 };
        let text = issuer.sign(&ticket);
        prop_assert_eq!(issuer.verify(&text), Some(ticket.clone()));
        let mut changed = text.as_bytes().to_vec();
        let position = position % changed.len();
        changed[position] ^= 1 << bit;
        let verified = std::str::from_utf8(&changed).ok().and_then(|text| issuer.verify(text));
        prop_assert!(verified.is_none_or(|verified| verified == ticket));
    }
}

/// Guards against a full ledger that drops a valid ticket, or that stays full after expiry.
#[test]
fn full_ledger_refuses_until_expiry() {
    let mut ledger = Ledger::new("vm-0", 1, 1);
    let ticket = |id, expires_us| Ticket {
        vm: "vm-0".into(),
        incarnation: 1,
        id,
        expires_us,
    };
    let at = Instant::from_micros;
    let first = ledger.claim(at(0), &ticket(1, 10));
    assert!(first.is_ok());
    let refused = ledger.claim(at(9), &ticket(2, 20));
    assert_eq!(refused.err(), Some(Refusal::Full));
    assert!(ledger.claim(at(10), &ticket(2, 20)).is_ok());
    assert_eq!(
        ledger.claim(at(10), &ticket(1, 10)).err(),
        Some(Refusal::Expired)
    );
}
