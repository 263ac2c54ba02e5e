//! Reading session with a key-value service through the etcd v3 JSON gateway.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::json;

/// Longest line of a watch, in bytes: a value of 1 MB in base64 and its frame.
pub const LINE_BYTES: usize = 2_097_152;

data! {
    /// What the session asks next.
    pub enum Call {
        /// `POST /v3/kv/range` with this body.
        Range(Box<str>),
        /// `POST /v3/watch` with this body; a stream of lines follows.
        Watch(Box<str>),
    }

    /// A key as the service holds it.
    pub struct Change {
        /// Key.
        pub key: Box<str>,
        /// Revision of the change.
        pub revision: u64,
        /// Value; none for a deletion.
        pub value: Option<Box<str>>,
    }

    /// What a response says.
    #[derive(Default)]
    pub struct Update {
        /// Changes in order.
        pub changes: Vec<Change>,
        /// For a range: the revision at which `changes` hold all keys.
        pub snapshot_revision: Option<u64>,
        /// Whether the view was complete when the response was made.
        pub confirmed: bool,
        /// Whether the stream has ended and the session has to call again.
        pub ended: bool,
    }

    /// A response that is not understood.
    pub enum Fault {
        /// Not the expected JSON.
        Json(Box<str>),
        /// A key or value that is not text in base64.
        Text,
        /// A revision that is not a number.
        Revision,
    }
}

/// Position in the history of a range of keys.
#[derive(Debug)]
pub struct Session {
    first: Box<str>,
    end: Box<str>,
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
            Self::Json(cause) => write!(formatter, "response is not valid: {cause}"),
            Self::Text => formatter.write_str("key or value is not text in base64"),
            Self::Revision => formatter.write_str("revision is not a number"),
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

    /// The next call: a range first, then a watch from the revision after it.
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

    /// Takes the response to a range.
    ///
    /// # Errors
    ///
    /// Returns why the response is not understood; the session stays where it was.
    pub fn apply_range(&mut self, body: &[u8]) -> Result<Update, Fault> {
        let range: Range = parse(body)?;
        let revision = number(&range.header.revision)?;
        let changes: Result<_, _> = range.kvs.iter().map(|pair| change(pair, false)).collect();
        let news = Update {
            changes: changes?,
            snapshot_revision: Some(revision),
            confirmed: true,
            ended: false,
        };
        self.next = Some(revision + 1);
        Ok(news)
    }

    /// Takes one line of a watch. A message with events confirms the view only up to its last
    /// event, so that a resumed watch asks again for what may not have been sent; a progress
    /// notification confirms all of its revision. A compacted revision leads to a new range.
    ///
    /// # Errors
    ///
    /// Returns why the line is not understood; the session stays where it was.
    pub fn apply_line(&mut self, line: &[u8]) -> Result<Update, Fault> {
        let batch = parse::<Line>(line)?.result;
        let compacted = batch.compact_revision.as_deref().unwrap_or("0");
        if batch.canceled || number(compacted)? > 0 {
            self.next = None;
            return Ok(Update {
                ended: true,
                ..Update::default()
            });
        }
        let changes: Result<Vec<Change>, Fault> = batch
            .events
            .iter()
            .map(|event| change(&event.kv, &*event.kind == "DELETE"))
            .collect();
        let changes = changes?;
        let seen = match changes.last() {
            Some(last) => last.revision,
            None if batch.created => 0,
            None => number(&batch.header.revision)?,
        };
        self.next = self.next.max(Some(seen + 1));
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

fn change(pair: &Pair, deleted: bool) -> Result<Change, Fault> {
    let value = if deleted {
        None
    } else {
        Some(text(&pair.value)?)
    };
    Ok(Change {
        key: text(&pair.key)?,
        revision: number(&pair.mod_revision)?,
        value,
    })
}

fn text(encoded: &str) -> Result<Box<str>, Fault> {
    let bytes = STANDARD.decode(encoded).map_err(|_| Fault::Text)?;
    let text = String::from_utf8(bytes).map_err(|_| Fault::Text)?;
    Ok(text.into())
}

// Revisions are positive 64-bit signed numbers.
fn number(text: &str) -> Result<u64, Fault> {
    let number: i64 = text.parse().map_err(|_| Fault::Revision)?;
    u64::try_from(number).map_err(|_| Fault::Revision)
}
