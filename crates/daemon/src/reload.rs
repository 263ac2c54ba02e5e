//! Reloads the settings file when it changes.

use std::path::PathBuf;
use std::time::Duration;
use std::time::SystemTime;

use oriolecleat_core::settings::Settings;
use tokio::signal::unix::Signal;

use crate::node::Node;
use crate::node::Shared;
use crate::program;

/// Time between two checks of the modification time, as a file may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Reloads the settings file on SIGHUP, and when its modification time changed.
pub(crate) async fn listen(node: Shared, path: PathBuf, mut hangup: Signal) {
    let modified = |path: &PathBuf| -> Option<SystemTime> {
        std::fs::metadata(path)
            .and_then(|file| file.modified())
            .ok()
    };
    let mut known = modified(&path);
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(POLL_INTERVAL) => false,
        };
        let latest = modified(&path);
        if !signalled && latest == known {
            continue;
        }
        known = latest;
        match program::load(&path) {
            Ok(settings) => node.borrow_mut().reload(&settings),
            Err(unusable) => {
                log::error!(cause:% = unusable; "reload failed: the settings in force are kept");
            }
        }
    }
}

impl Node {
    /// Applies the settings that can change while the process runs.
    fn reload(&mut self, settings: &Settings) {
        let mut next = self.settings.clone();
        next.view = settings.view.clone();
        next.stop = settings.stop.clone();
        next.http = settings.http.clone();
        next.evidence = settings.evidence.clone();
        next.seeds.clone_from(&settings.seeds);
        if let (Some(own), Some(new)) = (&mut next.hosting, &settings.hosting) {
            own.repeats = new.repeats;
            own.grace = new.grace;
            own.named = new.named;
            own.regions.clone_from(&new.regions);
            own.prices.clone_from(&new.prices);
            own.cold = new.cold;
        }
        let changed = next != self.settings;
        if next != *settings {
            log::warn!(
                "reload: names and addresses change only on a restart; their new values are ignored"
            );
        }
        log::info!(changed; "reload: the settings are valid");
        if let (Some(hosted), Some(hosting)) = (&mut self.hosted, &next.hosting) {
            hosted.configure(hosting.clone());
            self.homes_outdated = true;
        }
        let cold = |settings: &Settings| settings.hosting.as_ref().and_then(|own| own.cold);
        let is_cold_changed = cold(&self.settings) != cold(&next);
        let now = self.clock.now();
        self.gossip.set_seeds(now, next.seeds.clone());
        self.reader.set_limits(next.view.clone(), &mut self.rng);
        self.settings = next;
        if is_cold_changed {
            self.apply();
        }
    }
}
