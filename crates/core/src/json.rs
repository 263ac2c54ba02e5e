//! Parses JSON text and reports field names that occur twice in one object.

use std::cell::RefCell;
use std::fmt;

use serde::de::DeserializeSeed;
use serde::de::Deserializer;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde_json::Map;
use serde_json::Value;

/// The parsed value and the paths of all fields that occur more than once.
pub(crate) struct Document {
    /// The value; of a repeated field, the last occurrence.
    pub(crate) value: Value,
    /// Paths of the repeated fields.
    pub(crate) repeated: Vec<Box<str>>,
}

/// Parses `text`.
///
/// # Errors
///
/// Returns the parser's error for text that is not JSON.
pub(crate) fn parse(text: &str) -> Result<Document, serde_json::Error> {
    let repeated = RefCell::new(Vec::new());
    let mut parser = serde_json::Deserializer::from_str(text);
    let seed = Seed {
        path: "".into(),
        repeated: &repeated,
    };
    let value = seed.deserialize(&mut parser)?;
    parser.end()?;
    Ok(Document {
        value,
        repeated: repeated.into_inner(),
    })
}

/// The path of the field `name` of the object at `path`.
pub(crate) fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

struct Seed<'a> {
    path: Box<str>,
    repeated: &'a RefCell<Vec<Box<str>>>,
}

impl Seed<'_> {
    fn child(&self, path: &str) -> Self {
        Self {
            path: path.into(),
            repeated: self.repeated,
        }
    }
}

impl<'de> DeserializeSeed<'de> for Seed<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Seed<'_> {
    type Value = Value;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a JSON value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Value, A::Error> {
        let mut values = Vec::new();
        let item = |index: usize| self.child(&format!("{}[{index}]", self.path));
        while let Some(value) = list.next_element_seed(item(values.len()))? {
            values.push(value);
        }
        Ok(Value::Array(values))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut object: A) -> Result<Value, A::Error> {
        let mut fields = Map::new();
        while let Some(name) = object.next_key::<String>()? {
            let path = join(&self.path, &name);
            let value = object.next_value_seed(self.child(&path))?;
            if fields.insert(name, value).is_some() {
                self.repeated.borrow_mut().push(path.into());
            }
        }
        Ok(Value::Object(fields))
    }
}
