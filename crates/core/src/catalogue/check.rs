//! Validation of one content that is offered to the catalogue.

use super::ENTRY_PREFIX;
use super::FLEET_KEY;
use super::MAX_TEXT_BYTES;
use super::Mark;
use super::Record;
use super::Value;
use super::Verdict;
use crate::constants;
use crate::entry;
use crate::json;
use crate::read;
use crate::read::Fault;

/// The verdict on a content that is already stored or older than the stored one, so that its text
/// needs no validation; none for any other content.
pub(crate) fn verdict_from_marks(record: &Record, mark: Mark) -> Option<Verdict> {
    if record.valid_mark() == Some(mark) || record.rejected_mark() == Some(mark) {
        return Some(Verdict::Known);
    }
    let valid = record.valid_mark().filter(|valid| *valid > mark)?;
    if valid.version == mark.version {
        return Some(Verdict::Conflict { kept: false });
    }
    Some(Verdict::Behind)
}

/// Whether one of the `stored` marks of a key has the version of `mark`.
pub(crate) fn is_conflict(stored: Option<[Option<Mark>; 2]>, mark: Mark) -> bool {
    let mut stored = stored.into_iter().flatten().flatten();
    stored.any(|stored| stored.version == mark.version)
}

/// Checks the key and the length of a text that is offered.
pub(crate) fn check_offer(
    key: &str,
    text: Option<&str>,
    is_opaque: bool,
) -> Result<(), &'static str> {
    let is_entry = key.strip_prefix(ENTRY_PREFIX).is_some_and(read::is_name);
    if !is_entry && !is_opaque && key != FLEET_KEY {
        return Err("the key is neither fleet nor entries/NAME with a valid name");
    }
    if key == FLEET_KEY && text.is_none() {
        return Err("the key fleet cannot be deleted");
    }
    if text.is_some_and(|text| text.len() > MAX_TEXT_BYTES) {
        return Err("the value exceeds 1 MB");
    }
    Ok(())
}

/// The value of a key whose text an adapter decodes; `text` is none for a deletion.
pub(crate) fn opaque_value(text: Option<&str>) -> Value {
    if text.is_some() {
        Value::Opaque
    } else {
        Value::Deleted
    }
}

/// Parses `text` and returns its value with the generation that it states. `text` is none for a
/// deletion, which states no generation.
pub(crate) fn check_text(
    key: &str,
    text: Option<&str>,
) -> Result<(Option<u64>, Value), Vec<Fault>> {
    let Some(text) = text else {
        return Ok((None, Value::Deleted));
    };
    if key == FLEET_KEY {
        let constants = constants::parse(text)?;
        return Ok((Some(constants.generation), Value::Constants(constants)));
    }
    let entry = entry::parse(text)?;
    let generation = Some(entry.generation);
    if entry.deleted {
        return Ok((generation, Value::Deleted));
    }
    Ok((generation, Value::Entry(entry)))
}

/// The generation that a text states, even if the text is otherwise not valid; 0 if the text leaves
/// it out, and none if it cannot be read.
pub(crate) fn written_generation(text: &str) -> Option<u64> {
    let document = json::parse(text).ok()?;
    match document.value.as_object()?.get("generation") {
        Some(generation) => generation.as_u64(),
        None => Some(0),
    }
}
