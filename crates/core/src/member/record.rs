//! Record of one incarnation of a VM, as the members of the fleet exchange it.

use std::cmp::Ordering;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

key! {
    /// State of a member. Of two records with the same sequence number, the one with the later
    /// variant counts as newer.
    #[derive(Serialize, Deserialize)]
    pub enum State {
        /// Running, as far as is known.
        #[serde(rename = "a")]
        Alive,
        /// A neighbour cannot reach it or gets no messages from it.
        #[serde(rename = "s")]
        Suspect,
        /// In a planned shutdown.
        #[serde(rename = "l")]
        Leaving,
        /// Stopped or lost.
        #[serde(rename = "d")]
        Dead,
    }
}

data! {
    /// State, addresses and location of one incarnation of a VM. The field names are short on the
    /// wire.
    #[derive(Serialize, Deserialize)]
    pub struct Record {
        /// Name of the VM.
        #[serde(rename = "v")]
        pub vm: Box<str>,
        /// Wall-clock milliseconds at start, raised above any known one of the same name.
        #[serde(rename = "i")]
        pub incarnation: u64,
        /// Sequence number, raised by the VM itself whenever it changes or refutes its record.
        #[serde(rename = "q")]
        pub sequence: u64,
        /// State.
        #[serde(rename = "s")]
        pub state: State,
        /// Address for requests.
        #[serde(rename = "c")]
        pub caller: SocketAddr,
        /// Address of the directory.
        #[serde(rename = "d")]
        pub directory: SocketAddr,
        /// Address for links.
        #[serde(rename = "p")]
        pub peer: SocketAddr,
        /// Region.
        #[serde(rename = "r")]
        pub region: Box<str>,
        /// Data centre.
        #[serde(rename = "z")]
        pub data_center: Box<str>,
        /// Lower bound of the VM's uptime in milliseconds when the record was sent.
        #[serde(rename = "u")]
        pub uptime_ms: u64,
        /// Build version.
        #[serde(rename = "b", default)]
        pub build: Box<str>,
        /// Slots of targets that the VM can send to; absent in records of older releases.
        #[serde(rename = "w", default = "usual_capacity")]
        pub capacity: u64,
    }

    /// The part of a record that decides which of two is newer.
    #[derive(Serialize, Deserialize, PartialOrd, Ord)]
    pub struct Stamp {
        /// Name of the VM.
        #[serde(rename = "v")]
        pub vm: Box<str>,
        /// Incarnation.
        #[serde(rename = "i")]
        pub incarnation: u64,
        /// Sequence number.
        #[serde(rename = "q")]
        pub sequence: u64,
        /// State.
        #[serde(rename = "s")]
        pub state: State,
    }
}

/// Capacity of a VM of unknown size, in slots of targets: those of six targets, which leave a
/// choice of lightly loaded ones.
pub const USUAL_CAPACITY: u64 = 24;

fn usual_capacity() -> u64 {
    USUAL_CAPACITY
}

impl Record {
    /// The part that decides which of two records is newer.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        Stamp {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            state: self.state,
        }
    }

    pub(crate) fn order(&self, other: &Self) -> Ordering {
        let position = |record: &Self| (record.incarnation, record.sequence, record.state);
        position(self).cmp(&position(other))
    }

    // Breaks ties between records of the same position, so that every order of merging ends alike.
    pub(crate) fn details(&self) -> impl Ord + '_ {
        let addresses = (self.caller, self.directory, self.peer);
        let place = (&self.region, &self.data_center);
        (addresses, place, &self.build, self.capacity)
    }
}
