//! The VM list of the platform: parses its records and stores the last valid ones with their age.

use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;

use crate::map::Map;
use crate::read;
use crate::read::Fault;
use crate::read::Reader;
use crate::time::Instant;
use crate::time::Span;

key! {
    /// Lifecycle state that the platform gives a VM.
    #[derive(serde::Serialize)]
    #[serde(rename_all = "lowercase")]
    pub enum State {
        /// The VM is to keep running.
        Live,
        /// The platform is about to stop the VM.
        Leaving,
    }

    /// Addresses of an entry VM.
    pub struct Addresses {
        /// Address of the directory, where callers query the addresses of entry VMs.
        pub directory: SocketAddr,
        /// Address where callers send requests.
        pub caller: SocketAddr,
        /// Address where peers connect.
        pub peer: SocketAddr,
        /// Address of the operator API.
        pub operator: SocketAddr,
    }

    /// Purpose of a VM.
    pub enum Role {
        /// Runs the daemon, at these addresses.
        Entry(Addresses),
        /// Runs targets.
        Target,
    }
}

data! {
    /// The record of one VM in the list.
    pub struct Vm {
        /// Purpose of the VM.
        pub role: Role,
        /// Lifecycle state of the VM.
        pub state: State,
        /// Region of the VM.
        pub region: Box<str>,
        /// Data centre of the VM.
        pub data_center: Box<str>,
    }
}

/// Key prefix of the list.
pub const PREFIX: &str = "vms/";

/// Parses and validates the text of one VM.
///
/// # Errors
///
/// Returns every fault found.
pub fn parse(text: &str) -> Result<Vm, Vec<Fault>> {
    read::object(text, vm)
}

fn vm(reader: &mut Reader) -> Option<Vm> {
    let is_entry = reader.choice("role", &[("entry", true), ("target", false)]);
    let state = reader.choice(
        "state",
        &[("live", State::Live), ("leaving", State::Leaving)],
    );
    let region = reader.name("region");
    let data_center = reader.name("data_center");
    let role = match is_entry {
        Some(true) => addresses(reader).map(Role::Entry),
        Some(false) => Some(Role::Target),
        None => {
            // Without a valid role, addresses may be present or missing; only malformed ones are
            // faults.
            for name in ["directory", "caller", "peer", "operator"] {
                reader.optional_address(name);
            }
            None
        }
    };
    Some(Vm {
        role: role?,
        state: state?,
        region: region?,
        data_center: data_center?,
    })
}

fn addresses(reader: &mut Reader) -> Option<Addresses> {
    let directory = reader.address("directory");
    let caller = reader.address("caller");
    let peer = reader.address("peer");
    let operator = reader.address("operator");
    Some(Addresses {
        directory: directory?,
        caller: caller?,
        peer: peer?,
        operator: operator?,
    })
}

impl Vm {
    /// The record as the platform writes it.
    #[must_use]
    pub fn to_json(&self) -> Value {
        let common = json!({
            "state": self.state,
            "region": self.region,
            "data_center": self.data_center,
        });
        let role = match self.role {
            Role::Target => json!({ "role": "target" }),
            Role::Entry(addresses) => json!({
                "role": "entry",
                "directory": addresses.directory.to_string(),
                "caller": addresses.caller.to_string(),
                "peer": addresses.peer.to_string(),
                "operator": addresses.operator.to_string(),
            }),
        };
        let parts = [common, role].into_iter();
        Value::Object(parts.filter_map(object).flatten().collect())
    }
}

fn object(value: Value) -> Option<serde_json::Map<String, Value>> {
    match value {
        Value::Object(fields) => Some(fields),
        _ => None,
    }
}

/// The VM list as last received.
#[derive(Default)]
pub struct List {
    vms: Map<Box<str>, Vm>,
    revision: u64,
    confirmed: Option<Instant>,
}

impl List {
    /// Replaces the list with a read of the whole list at `revision`; `vms` are names without the
    /// prefix, and texts.
    ///
    /// VMs whose text is not valid keep their last valid record. Returns the faults of their texts.
    pub fn replace(&mut self, now: Instant, revision: u64, vms: &[(&str, &str)]) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut kept = Map::default();
        for (name, text) in vms {
            match parse(text) {
                Ok(vm) => {
                    kept.insert((*name).into(), vm);
                }
                Err(found) => {
                    faults.extend(found.into_iter().map(|fault| qualify(name, &fault)));
                    if let Some(vm) = self.vms.remove(*name) {
                        kept.insert((*name).into(), vm);
                    }
                }
            }
        }
        self.vms = kept;
        self.revision = revision;
        self.confirmed = Some(now);
        faults
    }

    /// Applies a change of one VM at `revision`; `text` is none for a removal.
    ///
    /// A change that is older than the list is ignored, but still confirms the list.
    ///
    /// # Errors
    ///
    /// Returns the faults of a text that is not valid; the last valid record stays.
    pub fn change(
        &mut self,
        now: Instant,
        revision: u64,
        name: &str,
        text: Option<&str>,
    ) -> Result<(), Vec<Fault>> {
        self.confirmed = Some(now);
        if revision < self.revision {
            return Ok(());
        }
        self.revision = revision;
        let Some(text) = text else {
            self.vms.remove(name);
            return Ok(());
        };
        let vm = parse(text).map_err(|found| {
            let named = found.iter().map(|fault| qualify(name, fault));
            named.collect::<Vec<Fault>>()
        })?;
        self.vms.insert(name.into(), vm);
        Ok(())
    }

    /// Applies a progress message of the watch: the list is unchanged up to `revision`.
    pub fn confirm(&mut self, now: Instant, revision: u64) {
        self.confirmed = Some(now);
        self.revision = self.revision.max(revision);
    }

    /// Time since the list was last confirmed; none if it was never confirmed.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Span> {
        Some(now.since(self.confirmed?))
    }

    /// The VM of that name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Vm> {
        self.vms.get(name)
    }

    /// All VMs with their names, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Vm)> {
        self.vms.iter().map(|(name, vm)| (&**name, vm))
    }
}

/// The fault with the key of the VM in front of its path.
fn qualify(name: &str, fault: &Fault) -> Fault {
    let path = match &*fault.path {
        "" => format!("{PREFIX}{name}"),
        path => format!("{PREFIX}{name}.{path}"),
    };
    Fault {
        path: path.into(),
        reason: fault.reason.clone(),
    }
}
