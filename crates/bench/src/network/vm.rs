//! One simulated VM with its own clock.

use std::time::Duration;

use oriolecleat_core::audit::Ring;
use oriolecleat_core::catalogue::Catalogue;
use oriolecleat_core::gossip::Context;
use oriolecleat_core::gossip::Gossip;
use oriolecleat_core::member::Record;
use oriolecleat_core::member::State;
use oriolecleat_core::reader::Reader;
use oriolecleat_core::settings::View;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::network::DEPARTURE_HOLD;
use crate::network::site::Site;
use crate::network::site::address;

const SEEDS: usize = 3;

/// Measured traffic and processing time of one VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Bytes of WebSocket frames sent and received.
    pub bytes: u64,
    /// Bytes sent to other data centres.
    pub cross_center_bytes: u64,
    /// Frames sent and received.
    pub frames: u64,
    /// Time spent in gossip decisions and the codec.
    pub busy: Duration,
}

/// One simulated VM.
pub struct Vm {
    /// Its gossip state.
    pub gossip: Gossip,
    /// Its catalogue.
    pub catalogue: Catalogue,
    /// Its audit trail.
    pub audit: Ring,
    /// Its view of the configuration service.
    pub reader: Reader,
    /// Its measured cost.
    pub cost: Cost,
    /// Whether it runs; a frozen VM does.
    pub running: bool,
    pub(crate) name: Box<str>,
    pub(crate) site: Site,
    pub(crate) incarnation: u64,
    pub(crate) started: Instant,
    pub(crate) frozen_until: Instant,
    /// Until when the processor applies a change.
    pub(crate) busy_until: Instant,
    /// When the link has carried all that was sent.
    pub(crate) uplink_free: Instant,
    /// When the link has carried all that is on its way to this VM.
    pub(crate) downlink_free: Instant,
    pub(crate) random: SmallRng,
}

impl Vm {
    pub(crate) fn start(
        index: usize,
        site: Site,
        incarnation: u64,
        now: Instant,
        seed: u64,
    ) -> Self {
        let name: Box<str> = format!("vm-{index:03}").into();
        let mut random = SmallRng::seed_from_u64(seed ^ incarnation ^ (index as u64) << 32);
        let record = Record {
            vm: name.clone(),
            incarnation,
            sequence: 0,
            state: State::Alive,
            caller: address(index),
            directory: address(index),
            peer: address(index),
            region: site.region.clone(),
            data_center: site.data_center.clone(),
            uptime_ms: 0,
            build: "0.1.0".into(),
            capacity: 24,
        };
        let view = View {
            stale_after: Span::from_millis(30_000),
            takeover_after: Span::from_millis(10_000),
            peer_wait: Span::from_millis(1_000),
            readers_per_data_center: 2,
        };
        let seeds = (0..SEEDS).map(address).collect();
        Self {
            gossip: Gossip::new(Instant::default(), record, seeds, DEPARTURE_HOLD),
            catalogue: Catalogue::default(),
            audit: Ring::new(&name, incarnation),
            reader: Reader::new(Instant::default(), view, &mut random),
            cost: Cost::default(),
            running: true,
            name,
            site,
            incarnation,
            started: now,
            frozen_until: Instant::default(),
            busy_until: Instant::default(),
            uplink_free: Instant::default(),
            downlink_free: Instant::default(),
            random,
        }
    }

    /// Name of the VM.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Where the VM runs.
    #[must_use]
    pub fn site(&self) -> &Site {
        &self.site
    }

    /// The VM's own clock at virtual time `now`: it starts with the VM.
    #[must_use]
    pub fn clock(&self, now: Instant) -> Instant {
        Instant::default() + now.since(self.started)
    }

    /// Applies `event` to the VM's state and adds its processing time to the cost.
    pub fn handle<T>(
        &mut self,
        now: Instant,
        event: impl FnOnce(&mut Gossip, &mut Context) -> T,
    ) -> T {
        let mut context = Context {
            now: self.clock(now),
            wall_ms: 1_700_000_000_000 + now.as_micros() / 1_000,
            catalogue: &mut self.catalogue,
            audit: &mut self.audit,
            reader: &mut self.reader,
            random: &mut self.random,
        };
        let before = std::time::Instant::now();
        let result = event(&mut self.gossip, &mut context);
        self.cost.busy += before.elapsed();
        result
    }
}
