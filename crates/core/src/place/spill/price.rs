//! What bytes between data centres and regions cost, as a share of the worth of an answer.

use crate::estimate::number;
use crate::place::loss::Distance;

/// Worths of an answer for a gigabyte between regions, in thousandths: the lowest price list of the
/// deployments in use has 32,000 for a gigabyte.
pub(crate) const REGION_GB: u64 = 32_000_000;
/// The same between data centres of a region, for which that list has an eighth.
pub(crate) const DATA_CENTER_GB: u64 = 4_000_000;
const GB: f64 = 1e9;

data! {
    /// Costs of bytes, in thousandths of the worth of a plain answer.
    pub struct Prices {
        /// Cost of a gigabyte between data centres of a region.
        pub data_center_gb: u64,
        /// Cost of a gigabyte between regions.
        pub region_gb: u64,
        /// Worth of an answer by urgency, in thousandths; an urgency without one has 1,000.
        pub worths: Vec<(u8, u64)>,
    }
}

impl Default for Prices {
    fn default() -> Self {
        Self {
            data_center_gb: DATA_CENTER_GB,
            region_gb: REGION_GB,
            worths: Vec::new(),
        }
    }
}

impl Prices {
    /// Worth of an answer of `urgency` against a plain one.
    pub(crate) fn worth(&self, urgency: u8) -> f64 {
        let stated = self.worths.iter().find(|(rank, _)| *rank == urgency);
        stated.map_or(1.0, |(_, thousandths)| number(*thousandths) / 1_000.0)
    }

    /// Cost of `bytes` over `distance` as a share of the worth of an answer of `urgency`.
    pub(crate) fn cost(&self, bytes: f64, distance: Distance, urgency: u8) -> f64 {
        let thousandths = match distance {
            Distance::Local => 0,
            Distance::DataCenter => self.data_center_gb,
            Distance::Region => self.region_gb,
        };
        let worth = self.worth(urgency).max(f64::MIN_POSITIVE);
        bytes / GB * number(thousandths) / 1_000.0 / worth
    }
}
