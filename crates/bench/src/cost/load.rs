//! Traffic and processor time of the VMs in a time window.

use std::time::Duration;

use oriolecleat_core::time::Span;

use crate::cost::number::as_f64;
use crate::network::Network;

/// Length of the window in seconds.
pub const WINDOW_S: u32 = 60;
const WINDOW: Span = Span::from_millis(60_000);

/// Traffic and time of the VMs of a fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Bytes a second, mean of the VMs.
    pub bytes: f64,
    /// Bytes a second of the busiest VM.
    pub max_bytes: f64,
    /// Frames a second, mean of the VMs.
    pub frames: f64,
    /// Microseconds a second, mean of the VMs.
    pub micros: f64,
    /// Microseconds a second of the busiest VM.
    pub max_micros: f64,
}

/// Runs the network for one window and returns its load.
pub fn window(network: &mut Network) -> Load {
    network.reset_costs();
    network.run(WINDOW);
    load(network)
}

/// The load since the last reset of the costs, which must be one window ago.
#[must_use]
pub fn load(network: &Network) -> Load {
    let seconds = f64::from(WINDOW_S);
    let running = network.running();
    let mut load = Load::default();
    for vm in &running {
        let cost = network.vms[*vm].cost;
        let bytes = as_f64(cost.bytes) / seconds;
        let micros = micros(cost.busy) / seconds;
        load.bytes += bytes / as_f64(running.len() as u64);
        load.frames += as_f64(cost.frames) / seconds / as_f64(running.len() as u64);
        load.micros += micros / as_f64(running.len() as u64);
        load.max_bytes = load.max_bytes.max(bytes);
        load.max_micros = load.max_micros.max(micros);
    }
    load
}

fn micros(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000_000.0
}
