//! Reads JSON objects field by field, validates each field and collects every fault with its path.

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
    /// A field that is not valid.
    #[derive(serde::Serialize, serde::Deserialize)]
    pub struct Fault {
        /// Path of the field, such as `limits.rate_per_s`; empty for the whole document.
        pub path: Box<str>,
        /// Why the field is not valid.
        pub reason: Box<str>,
    }
}

/// Reads the fields of one JSON object. Each method removes the field that it reads, so that the
/// fields left over are unknown ones.
pub struct Reader {
    path: Box<str>,
    fields: Map<String, Value>,
    faults: Rc<RefCell<Vec<Fault>>>,
}

/// Parses `text` as a JSON object and reads its fields with `parse`. Unknown and repeated fields
/// are faults.
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
    let parsed = parse(&mut reader);
    reader.reject_unknown();
    let faults = faults.take();
    match parsed {
        Some(parsed) if faults.is_empty() => Ok(parsed),
        Some(_) | None => Err(truncate_faults(faults)),
    }
}

/// Keeps the first [`MAX_FAULTS`] faults and the number of the others, so that a rejected text
/// takes no more memory than a valid one.
fn truncate_faults(mut faults: Vec<Fault>) -> Vec<Fault> {
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
    pub fn add_fault(&self, name: &str, reason: &str) {
        self.faults
            .borrow_mut()
            .push(fault(&self.path_of(name), reason));
    }

    /// Reads a required text of 1 to 256 bytes without control characters.
    pub fn text(&mut self, name: &str) -> Option<Box<str>> {
        match self.fields.remove(name) {
            Some(Value::String(text)) if is_text(&text) => Some(text.into()),
            Some(_) => self.reject(name, TEXT_REASON),
            None => self.reject(name, "is required"),
        }
    }

    /// Reads a required name: 1 to 64 characters of `a-z`, `0-9`, `-` and `.`.
    pub fn name(&mut self, name: &str) -> Option<Box<str>> {
        match self.fields.remove(name) {
            Some(Value::String(text)) if is_name(&text) => Some(text.into()),
            Some(_) => self.reject(name, NAME_REASON),
            None => self.reject(name, "is required"),
        }
    }

    /// Reads a required word, one of `names`, and returns the value paired with it.
    pub fn choice<T: Copy>(&mut self, name: &str, names: &[(&str, T)]) -> Option<T> {
        let Some(value) = self.fields.remove(name) else {
            return self.reject(name, "is required");
        };
        let found = names.iter().find(|(word, _)| value.as_str() == Some(word));
        if let Some((_, choice)) = found {
            return Some(*choice);
        }
        let words: Vec<&str> = names.iter().map(|(word, _)| *word).collect();
        self.reject(name, &format!("must be one of: {}", words.join(", ")))
    }

    /// Reads a required IP address with a port above 0, which others can connect to.
    pub fn address(&mut self, name: &str) -> Option<SocketAddr> {
        let address = self.listen_address(name)?;
        if address.port() == 0 {
            return self.reject(name, "must have a port above 0");
        }
        Some(address)
    }

    /// Reads a required IP address to listen on. Port 0 lets the system choose a port.
    pub fn listen_address(&mut self, name: &str) -> Option<SocketAddr> {
        let Some(value) = self.fields.remove(name) else {
            return self.reject(name, "is required");
        };
        match socket_address(&value) {
            Ok(address) => Some(address),
            Err(reason) => self.reject(name, reason),
        }
    }

    /// Reads an address to connect to that may be left out or null.
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

    /// Reads a list of addresses that others can connect to; a missing field is an empty list.
    pub fn addresses(&mut self, name: &str) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for (index, value) in self.list(name).into_iter().enumerate() {
            match socket_address(&value) {
                Ok(address) if address.port() == 0 => {
                    self.add_fault(&format!("{name}[{index}]"), "must have a port above 0");
                }
                Ok(address) => addresses.push(address),
                Err(reason) => self.add_fault(&format!("{name}[{index}]"), reason),
            }
        }
        addresses
    }

    /// Reads an integer within `range`. A missing field has the value `default`, or is a fault if
    /// there is none.
    pub fn integer(
        &mut self,
        name: &str,
        range: RangeInclusive<u64>,
        default: Option<u64>,
    ) -> Option<u64> {
        let Some(value) = self.fields.remove(name) else {
            return match default {
                Some(default) => Some(default),
                None => self.reject(name, "is required"),
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
                self.reject(name, &reason)
            }
        }
    }

    /// Reads a decimal number, rounded to three digits after the point, as thousandths within
    /// `range`. A missing field has the value `default`.
    pub fn thousandths(
        &mut self,
        name: &str,
        range: RangeInclusive<u32>,
        default: u64,
    ) -> Option<u64> {
        match self.fields.remove(name) {
            Some(value) => self.thousandths_of(name, &value, &range),
            None => Some(default),
        }
    }

    fn thousandths_of(
        &self,
        name: &str,
        value: &Value,
        range: &RangeInclusive<u32>,
    ) -> Option<u64> {
        let decimal = |thousandths: &u32| f64::from(*thousandths) / 1_000.0;
        let (first, last) = (decimal(range.start()), decimal(range.end()));
        match value.as_f64() {
            // The conversion to a duration rounds to nanoseconds, which are then rounded to whole
            // thousandths.
            Some(number) if (first..=last).contains(&number) => {
                let micros = Duration::from_secs_f64(number).as_micros();
                Some(u64::try_from((micros + 500) / 1_000).unwrap_or(u64::MAX))
            }
            _ => self.reject(name, &format!("must be a number from {first} to {last}")),
        }
    }

    /// Reads an object whose names are ranks from 0 to 255 and whose values are numbers in `range`,
    /// which counts thousandths. A missing field is an empty object.
    pub fn ranked_thousandths(&mut self, name: &str, range: RangeInclusive<u32>) -> Vec<(u8, u64)> {
        let mut numbers = Vec::new();
        match self.fields.remove(name) {
            Some(Value::Object(fields)) => {
                for (key, value) in fields {
                    let path = format!("{name}.{key}");
                    match key
                        .parse::<u8>()
                        .ok()
                        .filter(|rank| rank.to_string() == key)
                    {
                        Some(rank) => {
                            let number = self.thousandths_of(&path, &value, &range);
                            numbers.extend(number.map(|number| (rank, number)));
                        }
                        None => self.add_fault(&path, "must be named by an integer from 0 to 255"),
                    }
                }
            }
            Some(_) => self.add_fault(name, "must be a JSON object"),
            None => {}
        }
        numbers
    }

    /// Reads an object whose values are texts, in the order of its names. A missing field is an
    /// empty object.
    pub fn named_texts(&mut self, name: &str) -> Vec<(Box<str>, Box<str>)> {
        let mut texts = Vec::new();
        match self.fields.remove(name) {
            Some(Value::Object(fields)) => {
                for (key, value) in fields {
                    match value {
                        Value::String(text) if is_text(&text) => {
                            texts.push((key.into(), text.into()));
                        }
                        _ => self.add_fault(&format!("{name}.{key}"), TEXT_REASON),
                    }
                }
            }
            Some(_) => self.add_fault(name, "must be a JSON object"),
            None => {}
        }
        texts
    }

    /// Reads a nested object that may be left out or null. Returns none if it is not valid, and
    /// `Some(None)` if it is left out.
    pub fn optional<T>(
        &mut self,
        name: &str,
        parse: impl FnOnce(&mut Self) -> Option<T>,
    ) -> Option<Option<T>> {
        match self.fields.remove(name) {
            None | Some(Value::Null) => Some(None),
            Some(value) => self.descend(&self.path_of(name), value, parse).map(Some),
        }
    }

    /// Reads a boolean. A missing field has the value `default`.
    pub fn flag(&mut self, name: &str, default: bool) -> bool {
        match self.fields.remove(name) {
            Some(Value::Bool(flag)) => flag,
            Some(_) => {
                self.add_fault(name, "must be true or false");
                default
            }
            None => default,
        }
    }

    /// Reads a list of texts. A missing field is an empty list.
    pub fn texts(&mut self, name: &str) -> Vec<Box<str>> {
        let mut texts = Vec::new();
        for (index, value) in self.list(name).into_iter().enumerate() {
            match value {
                Value::String(text) => texts.push(text.into()),
                _ => self.add_fault(&format!("{name}[{index}]"), "must be a text"),
            }
        }
        texts
    }

    /// Reads a nested object with `parse`. A missing field is an empty object.
    pub fn nested<T>(
        &mut self,
        name: &str,
        parse: impl FnOnce(&mut Self) -> Option<T>,
    ) -> Option<T> {
        let value = self
            .fields
            .remove(name)
            .unwrap_or_else(|| Value::Object(Map::new()));
        self.descend(&self.path_of(name), value, parse)
    }

    /// Reads each object of a list with `parse`. A missing field is an empty list.
    pub fn nested_list<T>(
        &mut self,
        name: &str,
        mut parse: impl FnMut(&mut Self) -> Option<T>,
    ) -> Vec<T> {
        let mut parsed = Vec::new();
        for (index, value) in self.list(name).into_iter().enumerate() {
            let path = format!("{}[{index}]", self.path_of(name));
            parsed.extend(self.descend(&path, value, &mut parse));
        }
        parsed
    }

    fn list(&mut self, name: &str) -> Vec<Value> {
        match self.fields.remove(name) {
            Some(Value::Array(values)) => values,
            Some(_) => {
                self.add_fault(name, "must be a list");
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
        let parsed = parse(&mut reader);
        reader.reject_unknown();
        parsed
    }

    /// Records a fault for each field that was not read.
    fn reject_unknown(self) {
        for name in self.fields.keys() {
            self.add_fault(name, "is not a known field");
        }
    }

    /// Records a fault of the field `name` and returns none.
    fn reject<T>(&self, name: &str, reason: &str) -> Option<T> {
        self.add_fault(name, reason);
        None
    }

    fn path_of(&self, name: &str) -> String {
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
