//! Scenarios of the load table: load over time and faults of targets, VMs and links.

/// Length of the part of a run that is not measured, in microseconds.
pub const WARM_UP_US: u64 = 5_000_000;

/// A case of the load table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// 70 % load.
    Calm,
    /// 90 % load.
    Peak,
    /// 70 % load on average: 150 ms at 160 % in each second.
    Bursts,
    /// 130 % load.
    Overload,
    /// 70 % load, one target 8 times slower.
    Straggler,
    /// 70 % load, one target answers errors after 1 ms.
    FailFast,
    /// 70 % load, one target is replaced by a cold one every 10 s.
    ColdStart,
    /// 70 % load, each of three targets in turn is 3 times slower for 2 s.
    Noisy,
    /// 70 % load, one target always reports no load.
    Lying,
    /// 70 % load, all load reports freeze at the end of the warm-up.
    FrozenReports,
    /// 70 % load, one region at 85 %; regions are cut from each other for a third of the run.
    Cut,
    /// 70 % load, one VM is frozen for 2 s in every 20 s.
    FrozenVm,
}

/// All cases in the order of the table.
pub const ALL: [Scenario; 12] = [
    Scenario::Calm,
    Scenario::Peak,
    Scenario::Bursts,
    Scenario::Overload,
    Scenario::Straggler,
    Scenario::FailFast,
    Scenario::ColdStart,
    Scenario::Noisy,
    Scenario::Lying,
    Scenario::FrozenReports,
    Scenario::Cut,
    Scenario::FrozenVm,
];

const SECOND_US: u64 = 1_000_000;

impl Scenario {
    /// Name in the output.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm_70",
            Self::Peak => "peak_90",
            Self::Bursts => "bursts",
            Self::Overload => "overload_130",
            Self::Straggler => "straggler",
            Self::FailFast => "fail_fast",
            Self::ColdStart => "cold_start",
            Self::Noisy => "noisy_neighbour",
            Self::Lying => "lying_reports",
            Self::FrozenReports => "frozen_reports",
            Self::Cut => "cut",
            Self::FrozenVm => "frozen_vm",
        }
    }

    /// Load offered at `at` in `region`, as a share of the region's slots.
    #[must_use]
    pub fn load(self, at: u64, region: usize) -> f64 {
        match self {
            Self::Peak => 0.9,
            Self::Overload => 1.3,
            // 0.15 × 1.6 + 0.85 × 0.541 = 0.7
            Self::Bursts if at % SECOND_US < 150_000 => 1.6,
            Self::Bursts => 0.541,
            Self::Cut if region == 0 => 0.85,
            _ => 0.7,
        }
    }

    /// How many times slower `target` is at `at`.
    #[must_use]
    pub fn slowness(self, at: u64, target: usize) -> u64 {
        match self {
            Self::Straggler if target == 0 => 8,
            Self::Noisy if target == usize::try_from(at / (2 * SECOND_US) % 3).unwrap_or(0) => 3,
            _ => 1,
        }
    }

    /// Whether `target` answers only errors.
    #[must_use]
    pub fn is_failing(self, target: usize) -> bool {
        self == Self::FailFast && target == 0
    }

    /// Whether `target` reports no load, whatever its load is.
    #[must_use]
    pub fn hides_load(self, target: usize) -> bool {
        self == Self::Lying && target == 0
    }

    /// Whether load reports are frozen at `at`.
    #[must_use]
    pub fn reports_frozen(self, at: u64) -> bool {
        self == Self::FrozenReports && at >= WARM_UP_US
    }

    /// Whether no message passes between regions at `at` in a run that ends at `end`.
    #[must_use]
    pub fn is_cut(self, at: u64, end: u64) -> bool {
        self == Self::Cut && at >= end / 3 && at < end / 3 * 2
    }

    /// When `vm` resumes if it is frozen at `at`.
    #[must_use]
    pub fn resume_time(self, at: u64, vm: usize) -> Option<u64> {
        let phase = at % (20 * SECOND_US);
        let frozen = self == Self::FrozenVm && vm == 0 && phase >= 10 * SECOND_US;
        (frozen && phase < 12 * SECOND_US).then(|| at - phase + 12 * SECOND_US)
    }

    /// When targets are replaced, and which.
    #[must_use]
    pub fn replacements(self, end: u64, targets: usize) -> Vec<(u64, usize)> {
        if self != Self::ColdStart {
            return Vec::new();
        }
        let times = (1..).map(|turn: u64| turn * 10 * SECOND_US);
        let times = times.take_while(|at| *at < end);
        times.zip((0..targets).cycle()).collect()
    }
}
