//! Frames between peers: an authentication tag, then a sequence number, the kind of the message and
//! its body in CBOR.

use std::fmt;

use hmac::Hmac;
use hmac::Mac;
use oriolecleat_core::message::Message;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::Sha256;

use crate::OFFERS_PROTOCOL;
use crate::bytes::LENGTH;

/// Largest frame in bytes. A catalogue value of 1 MB fits with its key and version.
pub const MAX_BYTES: usize = 1_500_000;

const FIRST_SEQUENCE: u64 = 1;
// The deepest message has six levels; unknown fields of a newer release may nest further.
const MAX_DEPTH: usize = 32;

/// A frame as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// A message of a known kind.
    Known(Message),
    /// A frame of a kind that this release does not know.
    Unknown(u64),
}

/// Why a frame is refused. A receiver has to close the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The frame is larger than [`MAX_BYTES`].
    TooLarge,
    /// The authentication tag is not valid for the frame on this link.
    Tag,
    /// The sequence number is not the next one.
    Sequence,
    /// The body is malformed.
    Malformed,
}

/// Encodes and authenticates the frames that are sent on a link.
pub struct Sealer {
    mac: Hmac<Sha256>,
    protocol: u64,
    /// Sequence number of the next frame.
    next_sequence: u64,
}

/// Authenticates and decodes the frames that are received on a link.
pub struct Opener {
    mac: Hmac<Sha256>,
    next_sequence: u64,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            Self::TooLarge => "frame is too large",
            Self::Tag => "frame has a wrong authentication tag",
            Self::Sequence => "frame has a sequence number that is not the next one",
            Self::Malformed => "frame is malformed",
        })
    }
}

impl std::error::Error for Fault {}

impl Sealer {
    pub(crate) fn new(mac: Hmac<Sha256>, protocol: u64) -> Self {
        Self {
            mac,
            protocol,
            next_sequence: FIRST_SEQUENCE,
        }
    }

    /// Encodes `message` as the next frame; none if the protocol of the link lacks its kind.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame would be too large; the link stays usable.
    pub fn seal(&mut self, message: &Message) -> Result<Option<Vec<u8>>, Fault> {
        let (kind, since) = kind(message);
        if since > self.protocol {
            return Ok(None);
        }
        let frame = match message {
            Message::Members(body) => self.seal_body(kind, body),
            Message::Roster(body) => self.seal_body(kind, body),
            Message::Digest(body) => self.seal_body(kind, body),
            Message::Versions(body) => self.seal_body(kind, body),
            Message::Want(body) => self.seal_body(kind, body),
            Message::Entries(body) => self.seal_body(kind, body),
            Message::Leaving(body) => self.seal_body(kind, body),
            Message::Load(body) => self.seal_body(kind, body),
            Message::Audit(body) => self.seal_body(kind, body),
            Message::Heartbeat(body) => self.seal_body(kind, body),
            Message::Offers(body) => self.seal_body(kind, body),
            Message::Fetch(body) => self.seal_body(kind, body),
            Message::Part(body) => self.seal_body(kind, body),
        };
        frame.map(Some)
    }

    /// Encodes a body of any kind as the next frame.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame would be too large; the link stays usable.
    pub fn seal_body(&mut self, kind: u64, body: &impl Serialize) -> Result<Vec<u8>, Fault> {
        let mut frame = vec![0; LENGTH];
        write(&self.next_sequence, &mut frame);
        write(&kind, &mut frame);
        write(body, &mut frame);
        if frame.len() > MAX_BYTES {
            return Err(Fault::TooLarge);
        }
        self.next_sequence += 1;
        let mut mac = self.mac.clone();
        mac.update(&frame[LENGTH..]);
        frame[..LENGTH].copy_from_slice(&mac.finalize().into_bytes());
        Ok(frame)
    }
}

impl Opener {
    pub(crate) fn new(mac: Hmac<Sha256>) -> Self {
        Self {
            mac,
            next_sequence: FIRST_SEQUENCE,
        }
    }

    /// Checks and decodes the next frame.
    ///
    /// # Errors
    ///
    /// Returns why the frame is refused; the link has to be closed.
    pub fn open(&mut self, frame: &[u8]) -> Result<Frame, Fault> {
        if frame.len() > MAX_BYTES {
            return Err(Fault::TooLarge);
        }
        let (tag, mut body) = frame.split_at_checked(LENGTH).ok_or(Fault::Tag)?;
        let mut mac = self.mac.clone();
        mac.update(body);
        mac.verify_slice(tag).map_err(|_| Fault::Tag)?;
        if read::<u64>(&mut body)? != self.next_sequence {
            return Err(Fault::Sequence);
        }
        self.next_sequence += 1;
        decode(body)
    }
}

/// Number of a message's kind and the first protocol that knows it.
fn kind(message: &Message) -> (u64, u64) {
    match message {
        Message::Members(_) => (2, 1),
        Message::Digest(_) => (3, 1),
        Message::Versions(_) => (4, 1),
        Message::Entries(_) => (5, 1),
        Message::Leaving(_) => (6, 1),
        Message::Load(_) => (7, 1),
        Message::Audit(_) => (8, 1),
        Message::Heartbeat(_) => (9, 1),
        Message::Roster(_) => (10, 1),
        Message::Want(_) => (11, 1),
        Message::Offers(_) => (12, OFFERS_PROTOCOL),
        Message::Fetch(_) => (13, OFFERS_PROTOCOL),
        Message::Part(_) => (14, OFFERS_PROTOCOL),
    }
}

/// Decodes the kind and the body of a frame whose tag and sequence number were verified.
///
/// # Errors
///
/// Returns an error if the body is malformed.
pub fn decode(mut body: &[u8]) -> Result<Frame, Fault> {
    let body = &mut body;
    let message = match read::<u64>(body)? {
        2 => Message::Members(read(body)?),
        3 => Message::Digest(read(body)?),
        4 => Message::Versions(read(body)?),
        5 => Message::Entries(read(body)?),
        6 => Message::Leaving(read(body)?),
        7 => Message::Load(read(body)?),
        8 => Message::Audit(read(body)?),
        9 => Message::Heartbeat(read(body)?),
        10 => Message::Roster(read(body)?),
        11 => Message::Want(read(body)?),
        12 => Message::Offers(read(body)?),
        13 => Message::Fetch(read(body)?),
        14 => Message::Part(read(body)?),
        unknown => return Ok(Frame::Unknown(unknown)),
    };
    if body.is_empty() {
        Ok(Frame::Known(message))
    } else {
        Err(Fault::Malformed)
    }
}

fn write(value: &impl Serialize, frame: &mut Vec<u8>) {
    ciborium::into_writer(value, frame).expect("messages have a CBOR form");
}

fn read<T: DeserializeOwned>(body: &mut &[u8]) -> Result<T, Fault> {
    ciborium::de::from_reader_with_recursion_limit(body, MAX_DEPTH).map_err(|_| Fault::Malformed)
}
