//! Constants of the deployment: parses and validates the catalogue key `fleet`.

use serde_json::Value;
use serde_json::json;

use crate::read;
use crate::read::Fault;
use crate::read::Reader;

data! {
    /// Constants that apply to all VMs of the fleet.
    #[derive(Copy)]
    pub struct Constants {
        /// Generation of the constants. Any revision of a higher generation overrides all revisions
        /// of lower ones.
        pub generation: u64,
        /// Maximum number of entry VM processes alive at once, replacements included.
        pub vm_ceiling: u64,
        /// Calls per second that all VMs together may make to the configuration service.
        pub configuration_calls_per_s: u64,
    }
}

/// Parses and validates the text of the key `fleet`.
///
/// # Errors
///
/// Returns every fault found.
pub fn parse(text: &str) -> Result<Constants, Vec<Fault>> {
    read::object(text, constants)
}

fn constants(reader: &mut Reader) -> Option<Constants> {
    let generation = reader.integer("generation", 0..=u64::MAX, Some(0));
    let vm_ceiling = reader.integer("vm_ceiling", 1..=1_024, None);
    let calls = reader.integer("configuration_calls_per_s", 1..=1_000_000, None);
    Some(Constants {
        generation: generation?,
        vm_ceiling: vm_ceiling?,
        configuration_calls_per_s: calls?,
    })
}

impl Constants {
    /// The constants as an operator writes them, with every field present.
    #[must_use]
    pub fn to_json(&self) -> Value {
        json!({
            "generation": self.generation,
            "vm_ceiling": self.vm_ceiling,
            "configuration_calls_per_s": self.configuration_calls_per_s,
        })
    }
}
