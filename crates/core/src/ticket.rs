//! Tickets, which prevent a non-idempotent request from running twice: each lets one request run
//! once, on one incarnation of one VM.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use serde::Deserialize;
use serde::Serialize;
use sha2::Sha256;

use crate::map::Map;
use crate::request::Code;
use crate::request::Outcome;
use crate::time::Instant;

const TAG_BYTES: usize = 32;
const KEY_LABEL: &[u8] = b"oriolecleat ticket key";

data! {
    /// Permission to run one request once. The fleet signs it, and its caller sends it with the
    /// request.
    #[derive(Serialize, Deserialize)]
    pub struct Ticket {
        /// The VM that may run it.
        pub vm: Box<str>,
        /// The incarnation of that VM.
        pub incarnation: u64,
        /// Id that is unique with overwhelming probability.
        pub id: u128,
        /// Expiry, in microseconds of the uptime of that VM.
        pub expires_us: u64,
    }

    /// Why a ticket does not let a request run.
    pub enum Refusal {
        /// Not issued by this fleet.
        Invalid,
        /// Issued for another VM or incarnation.
        Elsewhere,
        /// Expired.
        Expired,
        /// Used before; the state tells whether the request ran.
        Used(State),
        /// The ledger has no room for another ticket.
        Full,
    }
}

key! {
    /// State of a ticket that was used.
    pub enum State {
        /// An attempt is in flight, or its result is unknown.
        Undecided,
        /// The whole answer was delivered.
        Ran,
    }
}

/// Signs and verifies tickets of one fleet.
#[derive(Clone)]
pub struct Issuer {
    mac: Hmac<Sha256>,
}

impl Issuer {
    /// An issuer under a key derived from the fleet key.
    ///
    /// # Panics
    ///
    /// Never: HMAC takes keys of any length.
    #[must_use]
    pub fn new(fleet_key: &[u8]) -> Self {
        let mut mac = Hmac::<Sha256>::new_from_slice(fleet_key).expect("HMAC takes any key length");
        mac.update(KEY_LABEL);
        let key = mac.finalize().into_bytes();
        Self {
            mac: Hmac::new_from_slice(&key).expect("HMAC takes any key length"),
        }
    }

    /// The signed text of `ticket`.
    ///
    /// # Panics
    ///
    /// Never: a ticket always has a JSON form.
    #[must_use]
    pub fn sign(&self, ticket: &Ticket) -> Box<str> {
        let mut bytes = serde_json::to_vec(ticket).expect("a ticket has a JSON form");
        let mut mac = self.mac.clone();
        mac.update(&bytes);
        bytes.extend_from_slice(&mac.finalize().into_bytes());
        URL_SAFE_NO_PAD.encode(bytes).into()
    }

    /// The ticket of `text`, if this fleet signed it.
    #[must_use]
    pub fn verify(&self, text: &str) -> Option<Ticket> {
        let bytes = URL_SAFE_NO_PAD.decode(text).ok()?;
        let (body, tag) = bytes.split_at_checked(bytes.len().checked_sub(TAG_BYTES)?)?;
        let mut mac = self.mac.clone();
        mac.update(body);
        mac.verify_slice(tag).ok()?;
        serde_json::from_slice(body).ok()
    }
}

/// The right to run the request of a ticket. A claim that is dropped leaves the ticket undecided.
#[derive(Debug)]
#[must_use]
pub struct Claim(u128);

/// The tickets used on this incarnation, until each expires.
#[derive(Debug)]
pub struct Ledger {
    vm: Box<str>,
    incarnation: u64,
    capacity: usize,
    used: Map<u128, (Instant, State)>,
}

impl Ledger {
    /// An empty ledger of one incarnation, for at most `capacity` tickets.
    #[must_use]
    pub fn new(vm: &str, incarnation: u64, capacity: usize) -> Self {
        Self {
            vm: vm.into(),
            incarnation,
            capacity,
            used: Map::default(),
        }
    }

    /// Marks `ticket` as used.
    ///
    /// # Errors
    ///
    /// Returns why the request must not run.
    pub fn claim(&mut self, now: Instant, ticket: &Ticket) -> Result<Claim, Refusal> {
        self.check(now, ticket)?;
        if self.used.len() >= self.capacity {
            self.used.retain(|_, (expires, _)| *expires > now);
        }
        if self.used.len() >= self.capacity {
            return Err(Refusal::Full);
        }
        let expires = Instant::from_micros(ticket.expires_us);
        self.used.insert(ticket.id, (expires, State::Undecided));
        Ok(Claim(ticket.id))
    }

    /// Whether a request with `ticket` has run so far. A refusal for another reason carries this
    /// outcome, since the ticket may have been used before.
    #[must_use]
    pub fn outcome(&self, now: Instant, ticket: &Ticket) -> Outcome {
        match self.check(now, ticket) {
            Ok(()) => Outcome::NotRun,
            Err(refusal) => refusal.outcome(),
        }
    }

    fn check(&self, now: Instant, ticket: &Ticket) -> Result<(), Refusal> {
        if ticket.vm != self.vm || ticket.incarnation != self.incarnation {
            return Err(Refusal::Elsewhere);
        }
        if now >= Instant::from_micros(ticket.expires_us) {
            return Err(Refusal::Expired);
        }
        match self.used.get(&ticket.id) {
            Some((_, state)) => Err(Refusal::Used(*state)),
            None => Ok(()),
        }
    }
}

impl Claim {
    /// Marks the ticket as run, once the whole answer to the request was delivered.
    pub fn complete(self, ledger: &mut Ledger) {
        if let Some((_, state)) = ledger.used.get_mut(&self.0) {
            *state = State::Ran;
        }
    }

    /// Frees the ticket of a request that did not run, so that it may be used again.
    pub fn release(self, ledger: &mut Ledger) {
        ledger.used.remove(&self.0);
    }
}

impl Refusal {
    /// Whether a request with the ticket ran, as its caller is told.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        match self {
            Self::Invalid | Self::Full => Outcome::NotRun,
            Self::Elsewhere | Self::Expired | Self::Used(State::Undecided) => Outcome::Unknown,
            Self::Used(State::Ran) => Outcome::Ran,
        }
    }

    /// The error code of the refusal.
    #[must_use]
    pub const fn code(&self) -> Code {
        match self {
            Self::Invalid => Code::TicketInvalid,
            Self::Elsewhere => Code::TicketElsewhere,
            Self::Expired => Code::TicketExpired,
            Self::Used(_) => Code::TicketUsed,
            Self::Full => Code::Overloaded,
        }
    }
}
