//! A builder for settings.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use super::Evidence;
use super::Hosting;
use super::Http;
use super::Listen;
use super::Platform;
use super::Settings;
use super::Stop;
use super::View;
use crate::time::Span;

/// Builds settings in code. Fields that are not set have the documented defaults.
pub struct Builder {
    settings: Settings,
}

impl Builder {
    /// Settings of a VM that listens on loopback, on ports chosen by the system.
    #[must_use]
    pub fn new(vm: &str, region: &str, data_center: &str) -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let settings = Settings {
            vm: vm.into(),
            region: region.into(),
            data_center: data_center.into(),
            fleet: "fleet".into(),
            fleet_key: "0123456789abcdef0123456789abcdef".into(),
            listen: Listen {
                directory: any,
                caller: any,
                peer: any,
                operator: any,
            },
            platform: Platform {
                configuration: SocketAddr::from((Ipv4Addr::LOCALHOST, 2379)),
                vm_list: Some(SocketAddr::from((Ipv4Addr::LOCALHOST, 2380))),
            },
            seeds: Vec::new(),
            view: View::default(),
            stop: Stop::default(),
            http: Http::default(),
            evidence: Evidence::default(),
            statsd: None,
            hosting: None,
        };
        Self { settings }
    }

    /// Sets the fleet's name and its secret.
    #[must_use]
    pub fn fleet(mut self, name: &str, key: &str) -> Self {
        self.settings.fleet = name.into();
        self.settings.fleet_key = key.into();
        self
    }

    /// Sets the addresses to listen on.
    #[must_use]
    pub fn listen(mut self, listen: Listen) -> Self {
        self.settings.listen = listen;
        self
    }

    /// Sets the addresses of the services of the platform.
    #[must_use]
    pub fn platform(mut self, platform: Platform) -> Self {
        self.settings.platform = platform;
        self
    }

    /// Sets the peer addresses through which the VM joins the fleet.
    #[must_use]
    pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.settings.seeds = seeds;
        self
    }

    /// Sets the bounds on the age of the catalogue view.
    #[must_use]
    pub fn view(mut self, view: View) -> Self {
        self.settings.view = view;
        self
    }

    /// Sets the bounds on a planned stop.
    #[must_use]
    pub fn stop(mut self, stop: Stop) -> Self {
        self.settings.stop = stop;
        self
    }

    /// Sets the bounds on requests and answers.
    #[must_use]
    pub fn http(mut self, http: Http) -> Self {
        self.settings.http = http;
        self
    }

    /// Sets the lifetimes of the evidence of a target's state.
    #[must_use]
    pub fn evidence(mut self, evidence: Evidence) -> Self {
        self.settings.evidence = evidence;
        self
    }

    /// Sets the address of a statsd server.
    #[must_use]
    pub fn statsd(mut self, statsd: SocketAddr) -> Self {
        self.settings.statsd = Some(statsd);
        self
    }

    /// Sets the settings for a platform that hosts the fleet.
    #[must_use]
    pub fn hosting(mut self, hosting: Hosting) -> Self {
        self.settings.hosting = Some(hosting);
        self
    }

    /// The settings, without validation; [`super::parse`] validates their JSON text.
    #[must_use]
    pub fn build(self) -> Settings {
        self.settings
    }
}

impl Default for View {
    fn default() -> Self {
        Self {
            stale_after: Span::from_millis(30_000),
            takeover_after: Span::from_millis(10_000),
            peer_wait: Span::from_millis(1_000),
            readers_per_data_center: 2,
        }
    }
}

impl Default for Stop {
    fn default() -> Self {
        Self {
            address_ttl: Span::from_millis(10_000),
            drain_limit: Span::from_millis(60_000),
        }
    }
}

impl Default for Http {
    fn default() -> Self {
        Self {
            head_bytes: 32_768,
            head_timeout: Span::from_millis(5_000),
            body_idle: Span::from_millis(10_000),
            linger: Span::from_millis(5_000),
            connect_timeout: Span::from_millis(250),
            connections: 10_000,
            connections_per_target: 240,
            read_ahead: 0,
        }
    }
}

impl Default for Evidence {
    fn default() -> Self {
        Self {
            confirm_after: Span::from_millis(2_000),
            leaving_hold: Span::from_millis(60_000),
            probe_timeout: Span::from_millis(250),
        }
    }
}
