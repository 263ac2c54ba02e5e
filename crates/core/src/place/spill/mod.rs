//! Spillover: whether a call is worth the bytes that it carries to another data centre, and how many
//! calls may go there. For a data centre that is full, slow or lost beside another one with room.
//!
//! [`price`] turns bytes into a share of the worth of an answer, [`room`] bounds the calls that this
//! VM sends to another data centre, and [`record`] counts them by reason. All decide from values
//! alone; the placer compares the resulting losses.

pub(crate) mod price;
pub(crate) mod record;
pub(crate) mod room;
pub(crate) mod size;
mod state;

pub(crate) use state::Spill;

pub use price::Prices;
pub use record::Change;
pub use record::REASONS;
pub use record::Reason;
pub use record::Scope;
pub use record::Tally;
pub use record::Total;

use crate::place::loss::Distance;

/// Loss of a call in another region apart from its bytes and its time, since the VMs here get few
/// reports from there. With 0.1 a busy fleet of targets with two slots earns 0.855 of the worth, with
/// 0.4 0.891, as with the former fixed losses (model, `two slots, busy`); many VMs beside a free region
/// earn 0.949 and 0.873, and 0.851 with the fixed losses (model, `many VMs at once`). The bytes of a
/// call cost more in the deployments than in these loads, so a value between the two is used.
const REGION_KNOWLEDGE_LOSS: f64 = 0.2;
/// Losses of a call in another data centre and, by urgency, in another region under [`Way::Fixed`].
const FIXED_DATA_CENTER: f64 = 0.12;
const FIXED_REGION: [f64; 3] = [0.25, 0.35, 0.7];
/// Loss of an answer of which half are late.
const THRESHOLD: f64 = 0.45;
/// Loss that exceeds every other one, so that a call leaves only if no local target has room.
const PROHIBITIVE: f64 = 100.0;

key! {
    /// How calls leave their data centre. The daemon uses [`Way::Unbounded`]; the model compares the
    /// others with it.
    pub enum Way {
        /// Calls pay for their bytes, and each VM sends a share of the room in another data centre.
        Shares,
        /// Calls leave only if no local target has room.
        LocalFirst,
        /// A fixed loss for each distance, whatever the bytes.
        Fixed,
        /// Calls leave only if more than half of them would be late at a local target.
        Threshold,
        /// Calls pay for their bytes, and as many leave as the targets elsewhere are expected to have
        /// room for.
        Unbounded,
        /// Calls pay for their bytes and for the load at the other end, by a price that moves slowly.
        Congestion,
    }
}

data! {
    /// Terms on which calls leave their data centre.
    pub struct Terms {
        /// How the decision is taken.
        pub way: Way,
        /// What bytes cost.
        pub prices: Prices,
    }
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            way: Way::Unbounded,
            prices: Prices::default(),
        }
    }
}

impl Terms {
    /// What a call of `urgency` that carries `bytes` loses by its way.
    pub(crate) fn cost(&self, bytes: f64, urgency: u8) -> Cost {
        let between = self.prices.cost(bytes, Distance::DataCenter, urgency);
        let beyond = self.prices.cost(bytes, Distance::Region, urgency);
        let (losses, pays) = match self.way {
            Way::Shares | Way::Unbounded | Way::Congestion => (
                [0.0, between, beyond + REGION_KNOWLEDGE_LOSS],
                [true, between < 1.0, beyond < 1.0],
            ),
            Way::LocalFirst => ([0.0, PROHIBITIVE, 2.0 * PROHIBITIVE], [true; 3]),
            Way::Threshold => ([0.0, THRESHOLD, THRESHOLD], [true; 3]),
            Way::Fixed => {
                let rank = usize::from(urgency).min(FIXED_REGION.len() - 1);
                ([0.0, FIXED_DATA_CENTER, FIXED_REGION[rank]], [true; 3])
            }
        };
        Cost {
            losses,
            bytes,
            pays,
        }
    }
}

/// What a call loses by its way, for each [`Distance`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cost {
    losses: [f64; 3],
    /// Expected bytes of the call and its answer.
    pub(crate) bytes: f64,
    /// Whether the answer is worth the bytes.
    pays: [bool; 3],
}

impl Cost {
    /// Loss over `distance`.
    pub(crate) fn loss(&self, distance: Distance) -> f64 {
        self.losses[distance as usize]
    }

    /// Whether an answer is worth its bytes over `distance`.
    pub(crate) fn pays(&self, distance: Distance) -> bool {
        self.pays[distance as usize]
    }
}
