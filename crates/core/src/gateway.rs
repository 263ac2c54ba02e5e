//! Client session that reads a range of keys through the JSON gateway of etcd v3.
//!
//! The session builds the request bodies and decodes the responses; it does no I/O.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::json;

/// Maximum length of a line of a watch, in bytes: enough for a value of 1 MB in base64 and the JSON
/// around it.
pub const LINE_BYTES: usize = 2_097_152;

data! {
    /// The next request to send.
    pub enum Call {
        /// `POST /v3/kv/range` with this body.
        Range(Box<str>),
        /// `POST /v3/watch` with this body; the response is a stream of lines.
        Watch(Box<str>),
    }

    /// A change of a key, or its current value in a range.
    pub struct Change {
        /// The key.
        pub key: Box<str>,
        /// Revision of the change.
        pub revision: u64,
        /// The value; none for a deletion.
        pub value: Option<Box<str>>,
    }

    /// The decoded content of a response.
    #[derive(Default)]
    pub struct Update {
        /// Changes, in order.
        pub changes: Vec<Change>,
        /// For a range: the revision at which `changes` are all keys that exist.
        pub snapshot_revision: Option<u64>,
        /// Era of a platform's store in which it gave the revisions; none for a service that does not
        /// give revisions again.
        pub era: Option<u64>,
        /// Whether the response confirms that the view was complete when it was sent.
        pub confirmed: bool,
        /// Whether the watch has ended and the next call has to be sent.
        pub ended: bool,
    }

    /// An error in a response.
    pub enum Fault {
        /// The response is not the expected JSON.
        Json(Box<str>),
        /// A key or value is not UTF-8 text in base64.
        Text,
        /// A revision is not a non-negative signed 64-bit integer.
        Revision,
    }
}

/// Session that follows a range of keys: it tracks the revision up to which changes were received.
#[derive(Debug)]
pub struct Session {
    first: Box<str>,
    end: Box<str>,
    /// Revision from which to watch; none if the range has to be read first.
    next: Option<u64>,
}

#[derive(Deserialize)]
struct Header {
    #[serde(default)]
    revision: Box<str>,
}

#[derive(Deserialize)]
struct Pair {
    key: Box<str>,
    #[serde(default)]
    value: Box<str>,
    #[serde(default)]
    mod_revision: Box<str>,
}

#[derive(Deserialize)]
struct Range {
    header: Header,
    #[serde(default)]
    kvs: Vec<Pair>,
}

#[derive(Deserialize)]
struct Line {
    result: Batch,
}

#[derive(Deserialize)]
struct Batch {
    header: Header,
    #[serde(default)]
    created: bool,
    #[serde(default)]
    canceled: bool,
    #[serde(default)]
    compact_revision: Option<Box<str>>,
    #[serde(default)]
    events: Vec<Event>,
}

#[derive(Deserialize)]
struct Event {
    #[serde(default, rename = "type")]
    kind: Box<str>,
    kv: Pair,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Self::Json(cause) => write!(formatter, "response is not the expected JSON: {cause}"),
            Self::Text => formatter.write_str("key or value is not UTF-8 text in base64"),
            Self::Revision => formatter.write_str("revision is not a non-negative 64-bit integer"),
        }
    }
}

impl std::error::Error for Fault {}

impl Session {
    /// A session over the keys from `first` up to, but without, `end`.
    #[must_use]
    pub fn new(first: &str, end: &str) -> Self {
        Self {
            first: first.into(),
            end: end.into(),
            next: None,
        }
    }

    /// The next call to send: a range first, then a watch from the revision after it.
    #[must_use]
    pub fn next_call(&self) -> Call {
        let key = STANDARD.encode(&*self.first);
        let range_end = STANDARD.encode(&*self.end);
        match self.next {
            None => {
                let body = json!({ "key": key, "range_end": range_end });
                Call::Range(body.to_string().into())
            }
            Some(next) => {
                let create = json!({ "create_request": {
                    "key": key,
                    "range_end": range_end,
                    "start_revision": next.to_string(),
                    "progress_notify": true,
                }});
                Call::Watch(create.to_string().into())
            }
        }
    }

    /// Decodes the response to a range.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is malformed; the session is then unchanged.
    pub fn apply_range(&mut self, body: &[u8]) -> Result<Update, Fault> {
        let range: Range = parse(body)?;
        let revision = parse_revision(&range.header.revision)?;
        let changes: Result<_, _> = range
            .kvs
            .iter()
            .map(|pair| decode_change(pair, false))
            .collect();
        let update = Update {
            changes: changes?,
            snapshot_revision: Some(revision),
            confirmed: true,
            ..Update::default()
        };
        self.next = Some(revision + 1);
        Ok(update)
    }

    /// Decodes one line of a watch.
    ///
    /// A message with events advances the session only to its last event, so that a resumed watch
    /// requests events again that may not have been sent. A progress notification advances it to
    /// the revision in its header. If the revision was compacted, the next call is a range.
    ///
    /// # Errors
    ///
    /// Returns an error if the line is malformed; the session is then unchanged.
    pub fn apply_line(&mut self, line: &[u8]) -> Result<Update, Fault> {
        let batch = parse::<Line>(line)?.result;
        let compacted = batch.compact_revision.as_deref().unwrap_or("0");
        if batch.canceled || parse_revision(compacted)? > 0 {
            self.next = None;
            return Ok(Update {
                ended: true,
                ..Update::default()
            });
        }
        let changes: Result<Vec<Change>, Fault> = batch
            .events
            .iter()
            .map(|event| decode_change(&event.kv, &*event.kind == "DELETE"))
            .collect();
        let changes = changes?;
        let reached = match changes.last() {
            Some(last) => last.revision,
            None if batch.created => 0,
            None => parse_revision(&batch.header.revision)?,
        };
        self.next = self.next.max(Some(reached + 1));
        Ok(Update {
            confirmed: !batch.created,
            changes,
            ..Update::default()
        })
    }
}

fn parse<'de, T: Deserialize<'de>>(body: &'de [u8]) -> Result<T, Fault> {
    serde_json::from_slice(body).map_err(|error| Fault::Json(error.to_string().into()))
}

fn decode_change(pair: &Pair, deleted: bool) -> Result<Change, Fault> {
    let value = if deleted {
        None
    } else {
        Some(decode_text(&pair.value)?)
    };
    Ok(Change {
        key: decode_text(&pair.key)?,
        revision: parse_revision(&pair.mod_revision)?,
        value,
    })
}

fn decode_text(encoded: &str) -> Result<Box<str>, Fault> {
    let bytes = STANDARD.decode(encoded).map_err(|_| Fault::Text)?;
    let text = String::from_utf8(bytes).map_err(|_| Fault::Text)?;
    Ok(text.into())
}

// Revisions are non-negative signed 64-bit integers.
fn parse_revision(text: &str) -> Result<u64, Fault> {
    let number: i64 = text.parse().map_err(|_| Fault::Revision)?;
    u64::try_from(number).map_err(|_| Fault::Revision)
}
