//! Handshake of two VMs: mutual authentication with the fleet key, which all VMs of a fleet share,
//! and agreement on a protocol.
//!
//! The dialer sends its hello. The acceptor answers with its own hello and a proof over both
//! hellos, and the dialer sends its proof over both. Each nonce is new, so that no proof can be
//! replayed. The two proofs have different labels, so that none can be sent back to its sender.

use std::fmt;

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use oriolecleat_core::read::is_name;
use serde::Deserialize;
use serde::Serialize;
use sha2::Sha256;

use crate::MIN_PROTOCOL;
use crate::PROTOCOL;
use crate::bytes;
use crate::bytes::LENGTH;
use crate::frame::Opener;
use crate::frame::Sealer;

/// Largest message of the handshake in bytes.
pub const MAX_BYTES: usize = 1_024;

const KEY_LABEL: &[u8] = b"oriolecleat peer key";
const ACCEPTOR_PROOF: &[u8] = b"acceptor proof";
const DIALER_PROOF: &[u8] = b"dialer proof";
const ACCEPTOR_LINK: &[u8] = b"acceptor to dialer";
const DIALER_LINK: &[u8] = b"dialer to acceptor";
// Unknown fields of a newer release may nest, but a hello has no deep values.
const MAX_DEPTH: usize = 16;

/// A random value used once.
pub type Nonce = [u8; LENGTH];

/// Identity of a VM and the protocols that it speaks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Newest protocol that the sender speaks.
    #[serde(rename = "p")]
    pub protocol: u64,
    /// Oldest protocol that the sender speaks.
    #[serde(rename = "m")]
    pub min_protocol: u64,
    /// Fleet of the sender.
    #[serde(rename = "f")]
    pub fleet: Box<str>,
    /// Name of the sender.
    #[serde(rename = "v")]
    pub vm: Box<str>,
    /// Incarnation of the sender.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Data centre of the sender.
    #[serde(rename = "z")]
    pub data_center: Box<str>,
    /// New random value.
    #[serde(rename = "n", with = "bytes")]
    pub nonce: Nonce,
}

/// Why a handshake failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The message is too large.
    TooLarge,
    /// The message does not have a valid hello.
    Malformed,
    /// The peer belongs to another fleet.
    OtherFleet,
    /// The peer is this VM itself, in the same incarnation.
    Own,
    /// No protocol is spoken by both.
    Protocol,
    /// The peer does not know the fleet key.
    Proof,
}

/// An authenticated peer with both directions of its link.
pub struct Established {
    /// The peer's hello.
    pub peer: Hello,
    /// Protocol that both speak.
    pub protocol: u64,
    /// Encodes frames to the peer.
    pub sealer: Sealer,
    /// Decodes frames from the peer.
    pub opener: Opener,
}

/// The dialing side, waiting for the acceptor's hello.
pub struct Dialer {
    key: Key,
    own: Hello,
    /// The own hello in CBOR, as it was sent.
    own_bytes: Vec<u8>,
}

/// The accepting side, waiting for the dialer's proof.
pub struct Acceptor {
    key: Key,
    peer: Hello,
    protocol: u64,
    transcript: Vec<u8>,
}

/// Key of the handshake, derived from the fleet key.
#[derive(Clone)]
pub struct Key(Hmac<Sha256>);

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            Self::TooLarge => "handshake message is too large",
            Self::Malformed => "handshake message is malformed",
            Self::OtherFleet => "peer belongs to another fleet",
            Self::Own => "peer is this VM itself",
            Self::Protocol => "this VM and the peer have no protocol in common",
            Self::Proof => "peer does not know the fleet key",
        })
    }
}

impl std::error::Error for Fault {}

impl Hello {
    /// The hello of this release.
    #[must_use]
    pub fn new(fleet: &str, vm: &str, incarnation: u64, data_center: &str, nonce: Nonce) -> Self {
        Self {
            protocol: PROTOCOL,
            min_protocol: MIN_PROTOCOL,
            fleet: fleet.into(),
            vm: vm.into(),
            incarnation,
            data_center: data_center.into(),
            nonce,
        }
    }

    fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("a hello has a CBOR form");
        bytes
    }

    fn decode(bytes: &[u8]) -> Result<Self, Fault> {
        let hello: Self = ciborium::de::from_reader_with_recursion_limit(bytes, MAX_DEPTH)
            .map_err(|_| Fault::Malformed)?;
        let names = [&hello.fleet, &hello.vm, &hello.data_center];
        if names.into_iter().all(|name| is_name(name)) {
            Ok(hello)
        } else {
            Err(Fault::Malformed)
        }
    }

    /// Newest protocol that both sides speak, or why they cannot be peers.
    fn agree(&self, peer: &Self) -> Result<u64, Fault> {
        if self.fleet != peer.fleet {
            return Err(Fault::OtherFleet);
        }
        if self.vm == peer.vm && self.incarnation == peer.incarnation {
            return Err(Fault::Own);
        }
        let protocol = self.protocol.min(peer.protocol);
        if protocol < self.min_protocol.max(peer.min_protocol) {
            return Err(Fault::Protocol);
        }
        Ok(protocol)
    }
}

impl Key {
    /// The key derived from the fleet key.
    ///
    /// # Panics
    ///
    /// Never: HMAC takes keys of any length.
    #[must_use]
    pub fn new(fleet_key: &[u8]) -> Self {
        let mac = Hmac::new_from_slice(fleet_key).expect("HMAC takes any key length");
        Self(Self(mac).derive(KEY_LABEL, &[]))
    }

    fn tag(&self, label: &[u8], transcript: &[u8]) -> [u8; LENGTH] {
        self.start_mac(label, transcript)
            .finalize()
            .into_bytes()
            .into()
    }

    fn derive(&self, label: &[u8], transcript: &[u8]) -> Hmac<Sha256> {
        let key = self.tag(label, transcript);
        Hmac::new_from_slice(&key).expect("HMAC takes any key length")
    }

    fn verify(&self, label: &[u8], transcript: &[u8], proof: &[u8]) -> Result<(), Fault> {
        self.start_mac(label, transcript)
            .verify_slice(proof)
            .map_err(|_| Fault::Proof)
    }

    fn start_mac(&self, label: &[u8], transcript: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        mac.update(label);
        mac.update(transcript);
        mac
    }
}

impl Dialer {
    /// Starts a handshake. The returned bytes have to be sent to the acceptor.
    #[must_use]
    pub fn start(key: Key, own: Hello) -> (Self, Vec<u8>) {
        let own_bytes = own.encode();
        let message = own_bytes.clone();
        (
            Self {
                key,
                own,
                own_bytes,
            },
            message,
        )
    }

    /// Verifies the acceptor's proof and hello. The returned bytes are the dialer's proof, which
    /// has to be sent to the acceptor and ends the handshake.
    ///
    /// # Errors
    ///
    /// Returns why the acceptor is not a peer.
    pub fn receive(self, message: &[u8]) -> Result<(Established, Vec<u8>), Fault> {
        let (proof, body) = split(message)?;
        let transcript = transcript(&self.own_bytes, body);
        self.key.verify(ACCEPTOR_PROOF, &transcript, proof)?;
        let peer = Hello::decode(body)?;
        let protocol = self.own.agree(&peer)?;
        let reply = self.key.tag(DIALER_PROOF, &transcript).to_vec();
        let established = Established {
            peer,
            protocol,
            sealer: Sealer::new(self.key.derive(DIALER_LINK, &transcript), protocol),
            opener: Opener::new(self.key.derive(ACCEPTOR_LINK, &transcript)),
        };
        Ok((established, reply))
    }
}

impl Acceptor {
    /// Checks the dialer's hello. The returned bytes, a proof and a hello, have to be sent to the
    /// dialer.
    ///
    /// # Errors
    ///
    /// Returns why the dialer cannot be a peer.
    pub fn start(key: Key, own: &Hello, message: &[u8]) -> Result<(Self, Vec<u8>), Fault> {
        if message.len() > MAX_BYTES {
            return Err(Fault::TooLarge);
        }
        let peer = Hello::decode(message)?;
        let protocol = own.agree(&peer)?;
        let body = own.encode();
        let transcript = transcript(message, &body);
        let mut reply = key.tag(ACCEPTOR_PROOF, &transcript).to_vec();
        reply.extend_from_slice(&body);
        let acceptor = Self {
            key,
            peer,
            protocol,
            transcript,
        };
        Ok((acceptor, reply))
    }

    /// Verifies the dialer's proof, which ends the handshake.
    ///
    /// # Errors
    ///
    /// Returns why the dialer is not a peer.
    pub fn receive(self, message: &[u8]) -> Result<Established, Fault> {
        self.key.verify(DIALER_PROOF, &self.transcript, message)?;
        Ok(Established {
            sealer: Sealer::new(
                self.key.derive(ACCEPTOR_LINK, &self.transcript),
                self.protocol,
            ),
            opener: Opener::new(self.key.derive(DIALER_LINK, &self.transcript)),
            peer: self.peer,
            protocol: self.protocol,
        })
    }
}

/// Splits the acceptor's message into its proof and its hello.
fn split(message: &[u8]) -> Result<(&[u8], &[u8]), Fault> {
    if message.len() > MAX_BYTES {
        return Err(Fault::TooLarge);
    }
    message.split_at_checked(LENGTH).ok_or(Fault::Malformed)
}

// The length of the dialer's hello keeps two different pairs of hellos from having one transcript.
fn transcript(dialer: &[u8], acceptor: &[u8]) -> Vec<u8> {
    let mut transcript = (dialer.len() as u64).to_be_bytes().to_vec();
    transcript.extend_from_slice(dialer);
    transcript.extend_from_slice(acceptor);
    transcript
}
