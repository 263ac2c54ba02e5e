//! Planned stop of the process: starts it on a signal and moves through its phases.

use std::rc::Rc;

use oriolecleat_core::settings::Stop;
use oriolecleat_core::stop;
use oriolecleat_core::stop::Phase;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

use crate::node::Node;
use crate::node::Shared;

/// Channel that publishes the phase of the process to its tasks.
pub(crate) type Phases = Rc<watch::Sender<Phase>>;

/// Starts the planned stop on SIGTERM or SIGINT.
pub(crate) async fn listen(node: Shared, mut terminate: Signal, mut interrupt: Signal) {
    loop {
        let name = tokio::select! {
            _ = terminate.recv() => "SIGTERM",
            _ = interrupt.recv() => "SIGINT",
        };
        log::info!(signal = name; "planned stop requested");
        node.borrow_mut().start_stop();
    }
}

impl Node {
    /// Starts the planned stop.
    pub(crate) fn start_stop(&mut self) {
        let hosting = self.settings.hosting.as_ref();
        let grace = hosting.map(|hosting| hosting.grace);
        let now = self.clock.now();
        let phase = self.phase().leave(now, &self.stop_bounds(), grace);
        self.set_phase(phase);
    }

    /// Moves the planned stop to its next phase when that is due.
    pub(crate) fn advance(&mut self) {
        let work = self.in_flight.work(self.lingering.in_use(), true);
        let phase = self
            .phase()
            .advance(self.clock.now(), &self.stop_bounds(), work);
        self.set_phase(phase);
    }

    fn stop_bounds(&self) -> Stop {
        let bounds = &self.settings.stop;
        match &self.settings.hosting {
            Some(hosting) => stop::clamp_to_grace(hosting.grace, bounds),
            None => bounds.clone(),
        }
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phases.borrow()
    }

    fn set_phase(&mut self, phase: Phase) {
        if phase != self.phase() {
            let work = self.in_flight.work(self.lingering.in_use(), true);
            log::info!(
                phase = name(phase),
                in_flight = work.in_flight,
                lingering = work.lingering,
                latest_deadline_ms = work.latest_deadline.since(self.clock.now()).as_millis();
                "phase of the VM changed"
            );
            self.phases.send_replace(phase);
        }
    }
}

/// Name of `phase` in logs and on the operator port.
pub(crate) const fn name(phase: Phase) -> &'static str {
    match phase {
        Phase::Serving(_) => "serving",
        Phase::Leaving(_) => "leaving",
        Phase::Draining(_) => "draining",
        Phase::Stopped(_) => "stopped",
    }
}
