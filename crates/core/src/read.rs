//! Reads JSON objects field by field and collects every fault with its path.

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

use serde_json::Map;
use serde_json::Value;

use crate::json;

data! {
    /// A field that does not hold, by path and reason.
    #[derive(serde::Serialize, serde::Deserialize)]
    pub struct Fault {
        /// Path of the field, such as `limits.rate_per_s`.
        pub path: Box<str>,
        /// Why the value is refused.
        pub reason: Box<str>,
    }
}

/// Takes the fields out of one JSON object.
pub struct Reader {
    path: Box<str>,
    fields: Map<String, Value>,
    faults: Rc<RefCell<Vec<Fault>>>,
}

/// Parses `text` as an object, lets `parse` read it, and refuses unknown fields.
///
/// # Errors
///
/// Returns every fault found.
pub fn object<T>(
    text: &str,
    parse: impl FnOnce(&mut Reader) -> Option<T>,
) -> Result<T, Vec<Fault>> {
    let document = match json::parse(text) {
        Ok(document) => document,
        Err(error) => return Err(vec![fault("", &format!("not valid JSON: {error}"))]),
    };
    let Value::Object(fields) = document.value else {
        return Err(vec![fault("", "must be a JSON object")]);
    };
    let repeated = document.repeated.iter();
    let repeated = repeated.map(|path| fault(path, "occurs more than once"));
    let faults = Rc::new(RefCell::new(repeated.collect()));
    let mut reader = Reader {
        path: "".into(),
        fields,
        faults: Rc::clone(&faults),
    };
    let built = parse(&mut reader);
    reader.finish();
    let faults = faults.take();
    match built {
        Some(built) if faults.is_empty() => Ok(built),
        Some(_) | None => Err(bounded(faults)),
    }
}

/// At most [`MAX_FAULTS`], so that a rejected text takes no more memory than a valid one.
fn bounded(mut faults: Vec<Fault>) -> Vec<Fault> {
    if faults.len() > MAX_FAULTS {
        let more = faults.len() - MAX_FAULTS;
        faults.truncate(MAX_FAULTS);
        faults.push(fault("", &format!("has {more} more faults")));
        faults.shrink_to_fit();
    }
    faults
}

fn fault(path: &str, reason: &str) -> Fault {
    Fault {
        path: path.into(),
        reason: reason.into(),
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.path.is_empty() {
            formatter.write_str(&self.reason)
        } else {
            write!(formatter, "{}: {}", self.path, self.reason)
        }
    }
}

impl Reader {
    /// Records a fault of the field `name`.
    pub fn refuse(&self, name: &str, reason: &str) {
        self.faults.borrow_mut().push(fault(&self.at(name), reason));
    }

    /// A required text of 1 to 256 bytes without control characters.
    pub fn text(&mut self, name: &str) -> Option<Box<str>> {
        match self.fields.remove(name) {
            Some(Value::String(text)) if is_text(&text) => Some(text.into()),
            Some(_) => self.none(name, TEXT_REASON),
            None => self.none(name, "is required"),
        }
    }

    /// A required name: 1 to 64 characters of `a-z`, `0-9`, `-` and `.`.
    pub fn name(&mut self, name: &str) -> Option<Box<str>> {
        match self.fields.remove(name) {
            Some(Value::String(text)) if is_name(&text) => Some(text.into()),
            Some(_) => self.none(name, NAME_REASON),
            None => self.none(name, "is required"),
        }
    }

    /// One of the words `names`, as the value beside it.
    pub fn choice<T: Copy>(&mut self, name: &str, names: &[(&str, T)]) -> Option<T> {
        let Some(value) = self.fields.remove(name) else {
            return self.none(name, "is required");
        };
        let found = names.iter().find(|(word, _)| value.as_str() == Some(word));
        if let Some((_, choice)) = found {
            return Some(*choice);
        }
        let words: Vec<&str> = names.iter().map(|(word, _)| *word).collect();
        self.none(name, &format!("must be one of: {}", words.join(", ")))
    }

    /// A required IP address with a port that others can connect to.
    pub fn address(&mut self, name: &str) -> Option<SocketAddr> {
        let address = self.listen_address(name)?;
        if address.port() == 0 {
            return self.none(name, "must have a port above 0");
        }
        Some(address)
    }

    /// A required IP address to listen on; port 0 lets the system choose one.
    pub fn listen_address(&mut self, name: &str) -> Option<SocketAddr> {
        let Some(value) = self.fields.remove(name) else {
            return self.none(name, "is required");
        };
        match socket_address(&value) {
            Ok(address) => Some(address),
            Err(reason) => self.none(name, reason),
        }
    }

    /// An address that may be left out or null.
    pub fn optional_address(&mut self, name: &str) -> Option<SocketAddr> {
        match self.fields.get(name) {
            Some(Value::Null) => {
                self.fields.remove(name);
                None
            }
            Some(_) => self.address(name),
            None => None,
        }
    }

    /// A list of addresses that others can connect to.
    pub fn addresses(&mut self, name: &str) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for (index, value) in self.list(name).into_iter().enumerate() {
            match socket_address(&value) {
                Ok(address) if address.port() == 0 => {
                    self.refuse(&format!("{name}[{index}]"), "must have a port above 0");
                }
                Ok(address) => addresses.push(address),
                Err(reason) => self.refuse(&format!("{name}[{index}]"), reason),
            }
        }
        addresses
    }

    /// An integer within `range`; `default` stands in for a field left out.
    pub fn integer(
        &mut self,
        name: &str,
        range: RangeInclusive<u64>,
        default: Option<u64>,
    ) -> Option<u64> {
        let Some(value) = self.fields.remove(name) else {
            return match default {
                Some(default) => Some(default),
                None => self.none(name, "is required"),
            };
        };
        match value.as_u64() {
            Some(number) if range.contains(&number) => Some(number),
            _ => {
                let reason = format!(
                    "must be an integer from {} to {}",
                    range.start(),
                    range.end()
                );
                self.none(name, &reason)
            }
        }
    }

    /// A decimal number with up to three digits after the point, as thousandths within `range`;
    /// `default` stands in for a field left out.
    pub fn thousandths(
        &mut self,
        name: &str,
        range: RangeInclusive<u32>,
        default: u64,
    ) -> Option<u64> {
        let Some(value) = self.fields.remove(name) else {
            return Some(default);
        };
        let decimal = |thousandths: &u32| f64::from(*thousandths) / 1_000.0;
        let (first, last) = (decimal(range.start()), decimal(range.end()));
        match value.as_f64() {
            // A duration keeps the number's nanoseconds, which round to whole thousandths.
            Some(number) if (first..=last).contains(&number) => {
                let micros = Duration::from_secs_f64(number).as_micros();
                Some(u64::try_from((micros + 500) / 1_000).unwrap_or(u64::MAX))
            }
            _ => self.none(name, &format!("must be a number from {first} to {last}")),
        }
    }

    /// An object whose values are texts, in the order of its names; an empty one stands in for a
    /// field left out.
    pub fn named_texts(&mut self, name: &str) -> Vec<(Box<str>, Box<str>)> {
        let mut texts = Vec::new();
        match self.fields.remove(name) {
            Some(Value::Object(fields)) => {
                for (key, value) in fields {
                    match value {
                        Value::String(text) if is_text(&text) => {
                            texts.push((key.into(), text.into()));
                        }
                        _ => self.refuse(&format!("{name}.{key}"), TEXT_REASON),
                    }
                }
            }
            Some(_) => self.refuse(name, "must be a JSON object"),
            None => {}
        }
        texts
    }

    /// Reads a nested object that may be left out or null; none if it does not hold.
    pub fn optional<T>(
        &mut self,
        name: &str,
        parse: impl FnOnce(&mut Self) -> Option<T>,
    ) -> Option<Option<T>> {
        match self.fields.remove(name) {
            None | Some(Value::Null) => Some(None),
            Some(value) => self.descend(&self.at(name), value, parse).map(Some),
        }
    }

    /// A boolean; `default` stands in for a field left out.
    pub fn flag(&mut self, name: &str, default: bool) -> bool {
        match self.fields.remove(name) {
            Some(Value::Bool(flag)) => flag,
            Some(_) => {
                self.refuse(name, "must be true or false");
                default
            }
            None => default,
        }
    }

    /// A list of texts; an empty list stands in for a field left out.
    pub fn texts(&mut self, name: &str) -> Vec<Box<str>> {
        let mut texts = Vec::new();
        for (index, value) in self.list(name).into_iter().enumerate() {
            match value {
                Value::String(text) => texts.push(text.into()),
                _ => self.refuse(&format!("{name}[{index}]"), "must be a text"),
            }
        }
        texts
    }

    /// Reads a nested object with `parse`; an empty object stands in for a field left out.
    pub fn nested<T>(
        &mut self,
        name: &str,
        parse: impl FnOnce(&mut Self) -> Option<T>,
    ) -> Option<T> {
        let value = self
            .fields
            .remove(name)
            .unwrap_or_else(|| Value::Object(Map::new()));
        self.descend(&self.at(name), value, parse)
    }

    /// Reads each object of a list with `parse`.
    pub fn nested_list<T>(
        &mut self,
        name: &str,
        mut parse: impl FnMut(&mut Self) -> Option<T>,
    ) -> Vec<T> {
        let mut built = Vec::new();
        for (index, value) in self.list(name).into_iter().enumerate() {
            let path = format!("{}[{index}]", self.at(name));
            built.extend(self.descend(&path, value, &mut parse));
        }
        built
    }

    fn list(&mut self, name: &str) -> Vec<Value> {
        match self.fields.remove(name) {
            Some(Value::Array(values)) => values,
            Some(_) => {
                self.refuse(name, "must be a list");
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    fn descend<T>(
        &self,
        path: &str,
        value: Value,
        parse: impl FnOnce(&mut Self) -> Option<T>,
    ) -> Option<T> {
        let Value::Object(fields) = value else {
            self.faults
                .borrow_mut()
                .push(fault(path, "must be a JSON object"));
            return None;
        };
        let mut reader = Self {
            path: path.into(),
            fields,
            faults: Rc::clone(&self.faults),
        };
        let built = parse(&mut reader);
        reader.finish();
        built
    }

    fn finish(self) {
        for name in self.fields.keys() {
            self.refuse(name, "is not a known field");
        }
    }

    fn none<T>(&self, name: &str, reason: &str) -> Option<T> {
        self.refuse(name, reason);
        None
    }

    fn at(&self, name: &str) -> String {
        json::join(&self.path, name)
    }
}

const MAX_FAULTS: usize = 1_000;
const TEXT_REASON: &str = "must be a text of 1 to 256 bytes without control characters";
const NAME_REASON: &str = "must be 1 to 64 characters of a-z, 0-9, - and .";
const ADDRESS_REASON: &str = "must be an IP number with a port, such as 10.0.0.1:7000";

fn socket_address(value: &Value) -> Result<SocketAddr, &'static str> {
    let text = value.as_str().ok_or(ADDRESS_REASON)?;
    let address: SocketAddr = text.parse().map_err(|_| ADDRESS_REASON)?;
    if address.ip().is_unspecified() {
        return Err("must not be the unspecified address");
    }
    Ok(address)
}

fn is_text(text: &str) -> bool {
    (1..=256).contains(&text.len()) && !text.chars().any(char::is_control)
}

/// Whether `text` is 1 to 64 characters of `a-z`, `0-9`, `-` and `.`.
#[must_use]
pub fn is_name(text: &str) -> bool {
    let legal = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.');
    (1..=64).contains(&text.len()) && text.bytes().all(legal)
}
