//! Reads JSON objects field by field and collects every fault with its path.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;

use serde_json::Map;
use serde_json::Value;

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
    let value: Value = match serde_json::from_str(text) {
        Ok(value) => value,
        Err(error) => return Err(vec![fault("", &format!("not valid JSON: {error}"))]),
    };
    let Value::Object(fields) = value else {
        return Err(vec![fault("", "must be a JSON object")]);
    };
    let faults = Rc::new(RefCell::new(Vec::new()));
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
        Some(_) | None => Err(faults),
    }
}

fn fault(path: &str, reason: &str) -> Fault {
    Fault {
        path: path.into(),
        reason: reason.into(),
    }
}

impl Reader {
    /// Records a fault of the field `name`.
    pub fn refuse(&self, name: &str, reason: &str) {
        self.faults.borrow_mut().push(fault(&self.at(name), reason));
    }

    /// A required text that is not empty.
    pub fn text(&mut self, name: &str) -> Option<Box<str>> {
        match self.fields.remove(name) {
            Some(Value::String(text)) if !text.is_empty() => Some(text.into()),
            Some(_) => self.none(name, "must be a text that is not empty"),
            None => self.none(name, "is required"),
        }
    }

    /// A required name: 1 to 64 characters of `a-z`, `0-9`, `-` and `.`.
    pub fn name(&mut self, name: &str) -> Option<Box<str>> {
        let text = self.text(name)?;
        if is_name(&text) {
            return Some(text);
        }
        self.none(name, "must be 1 to 64 characters of a-z, 0-9, - and .")
    }

    /// A required IP address with a port.
    pub fn address(&mut self, name: &str) -> Option<SocketAddr> {
        let text = self.text(name)?;
        match text.parse() {
            Ok(address) => Some(address),
            Err(_) => self.none(
                name,
                "must be an IP number with a port, such as 10.0.0.1:7000",
            ),
        }
    }

    /// An address that may be left out.
    pub fn optional_address(&mut self, name: &str) -> Option<SocketAddr> {
        if self.fields.contains_key(name) {
            return self.address(name);
        }
        None
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
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }
}

/// Whether `text` is 1 to 64 characters of `a-z`, `0-9`, `-` and `.`.
#[must_use]
pub fn is_name(text: &str) -> bool {
    let legal = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.');
    (1..=64).contains(&text.len()) && text.bytes().all(legal)
}
