//! Results of a run.

use oriolecleat_core::place::spill::Prices;

use super::load::Call;
use super::load::Load;
use super::load::float;
use super::site::Site;

/// Length of a window in microseconds.
const WINDOW_US: u64 = 2_000_000;
/// Value of a late answer as a share of that of an answer in time.
const LATE_SHARE: f64 = 0.1;

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// An answer after so many microseconds.
    Answered(u64),
    /// Refused, and not tried again.
    Refused,
    /// Failed, or unanswered until its caller left.
    Failed,
}

/// Counts of calls, and the value of their answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    /// Calls.
    pub calls: u64,
    /// Answers within the objective.
    pub in_time: u64,
    /// Later answers.
    pub late: u64,
    /// Refused calls.
    pub refused: u64,
    /// Failed calls.
    pub failed: u64,
    /// Value of the answers.
    pub earned: f64,
    /// Value if all calls were answered in time.
    pub owed: f64,
}

/// What a run measured after the warm-up.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// All calls.
    pub all: Count,
    /// Calls by stream.
    pub streams: Vec<Count>,
    /// Calls by the window of their first try.
    pub windows: Vec<Count>,
    /// Requests that reached targets, the first one of each try and further ones.
    pub sends: u64,
    /// Sends beyond the first one of a try.
    pub repeats: u64,
    /// Requests for which a target had no place.
    pub overfilled: u64,
    /// Probes.
    pub probes: u64,
    /// Tries that were refused.
    pub refusals: u64,
    /// Requests to another data centre of the region, and their bytes with the answers.
    pub to_center: (u64, u64),
    /// Requests to another region, and their bytes with the answers.
    pub to_region: (u64, u64),
    /// Sends after the warm-up, and the requests that they found at their targets in all.
    pub found: (u64, u64),
    /// Microseconds to each answer.
    pub times: Vec<u64>,
}

impl Count {
    fn add(&mut self, value: f64, objective_us: u64, end: End) {
        self.calls += 1;
        self.owed += value;
        match end {
            End::Answered(took) if took <= objective_us => {
                self.in_time += 1;
                self.earned += value;
            }
            End::Answered(_) => {
                self.late += 1;
                self.earned += value * LATE_SHARE;
            }
            End::Refused => self.refused += 1,
            End::Failed => self.failed += 1,
        }
    }

    /// Value of the answers as a share of what was owed; 1 without calls.
    #[must_use]
    pub fn share(&self) -> f64 {
        if self.owed > 0.0 {
            self.earned / self.owed
        } else {
            1.0
        }
    }

    /// Share of the calls that were answered in time; 1 without calls.
    #[must_use]
    pub fn in_time_share(&self) -> f64 {
        let number = |count: u64| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        if self.calls > 0 {
            number(self.in_time) / number(self.calls)
        } else {
            1.0
        }
    }
}

impl Summary {
    pub(super) fn new(load: &Load) -> Self {
        let windows = load.end_us / WINDOW_US + 1;
        Self {
            streams: vec![Count::default(); load.streams.len()],
            windows: vec![Count::default(); usize::try_from(windows).unwrap_or(0)],
            ..Self::default()
        }
    }

    pub(super) fn record(&mut self, load: &Load, call: &Call, end: End) {
        if call.at < load.warm_up_us {
            return;
        }
        if let End::Answered(took) = end {
            self.times.push(took);
        }
        let stream = &load.streams[call.stream];
        let window = usize::try_from(call.at / WINDOW_US).unwrap_or(usize::MAX);
        let counts = [Some(&mut self.all), self.streams.get_mut(call.stream)];
        let counts = counts.into_iter().chain([self.windows.get_mut(window)]);
        for count in counts.flatten() {
            count.add(stream.value, stream.objective_us, end);
        }
    }

    /// Counts a request from `vm` to `target`.
    pub(super) fn count_way(&mut self, site: &Site, vm: usize, target: usize, bytes: u64) {
        let count = if site.vms[vm].region != site.targets[target].0 {
            &mut self.to_region
        } else if site.vms[vm].center != site.centers[target] {
            &mut self.to_center
        } else {
            return;
        };
        count.0 += 1;
        count.1 += bytes;
    }

    /// Value of the answers less the cost of the bytes that left a data centre, as a share of what
    /// was owed. The cost counts all sends, those of the warm-up included.
    #[must_use]
    pub fn net(&self, prices: &Prices) -> f64 {
        let cost = |per_gb: u64, bytes: u64| {
            let number = |value: u64| f64::from(u32::try_from(value).unwrap_or(u32::MAX));
            number(per_gb) * number(bytes / 1_000) / 1e9
        };
        let cost = cost(prices.data_center_gb, self.to_center.1)
            + cost(prices.region_gb, self.to_region.1);
        (self.all.earned - cost) / self.all.owed.max(f64::MIN_POSITIVE)
    }

    /// Records a send at `now` to a target that held `found` requests.
    pub(super) fn record_send(&mut self, load: &Load, now: u64, found: usize) {
        if now >= load.warm_up_us {
            self.found.0 += 1;
            self.found.1 += u64::try_from(found).unwrap_or(u64::MAX);
        }
    }

    /// Mean requests that a send found at its target.
    #[must_use]
    pub fn found_load(&self) -> f64 {
        let number = |count: u64| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        number(self.found.1) / number(self.found.0.max(1))
    }

    /// Microseconds within which `per_mill` of the answers came.
    #[must_use]
    pub fn quantile(&self, per_mill: usize) -> u64 {
        let mut times = self.times.clone();
        times.sort_unstable();
        let last = times.len().saturating_sub(1);
        times.get(last * per_mill / 1_000).copied().unwrap_or(0)
    }

    /// Mean share of the value that the two worst windows earned.
    #[must_use]
    pub fn worst_windows(&self) -> f64 {
        let used = self.windows.iter().filter(|window| window.calls > 0);
        let mut shares: Vec<f64> = used.map(Count::share).collect();
        shares.sort_by(f64::total_cmp);
        let worst = shares.iter().take(2).sum::<f64>();
        worst / float(shares.len().clamp(1, 2))
    }

    /// One line for people.
    #[must_use]
    pub fn line(&self) -> String {
        let per_mill = |count: u64| count * 1_000 / self.all.calls.max(1);
        format!(
            "value {:.3} worst {:.3} in time {:.3}; per mill late {} refused {} failed {}; \
             sends {} repeats {} overfilled {} probes {} refusals {}; \
             p50 {} ms p90 {} ms found {:.2}",
            self.all.share(),
            self.worst_windows(),
            self.all.in_time_share(),
            per_mill(self.all.late),
            per_mill(self.all.refused),
            per_mill(self.all.failed),
            self.sends,
            self.repeats,
            self.overfilled,
            self.probes,
            self.refusals,
            self.quantile(500) / 1_000,
            self.quantile(900) / 1_000,
            self.found_load(),
        )
    }
}
