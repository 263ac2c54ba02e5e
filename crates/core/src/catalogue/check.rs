//! Checks of single offers.

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

/// The verdict on a content that needs no check of its text.
pub(crate) fn settled(record: &Record, mark: Mark) -> Option<Verdict> {
    if record.valid_mark() == Some(mark) || record.rejected_mark() == Some(mark) {
        return Some(Verdict::Known);
    }
    let valid = record.valid_mark().filter(|valid| *valid > mark)?;
    if valid.version == mark.version {
        return Some(Verdict::Conflict { kept: false });
    }
    Some(Verdict::Behind)
}

/// Whether another content with the version of `mark` is known.
pub(crate) fn is_conflict(known: Option<[Option<Mark>; 2]>, mark: Mark) -> bool {
    let mut known = known.into_iter().flatten().flatten();
    known.any(|known| known.version == mark.version)
}

/// Whether the key and the size of an offer are within the bounds.
pub(crate) fn check_offer(
    key: &str,
    text: Option<&str>,
    foreign: bool,
) -> Result<(), &'static str> {
    let is_entry = key.strip_prefix(ENTRY_PREFIX).is_some_and(read::is_name);
    if !is_entry && !foreign && key != FLEET_KEY {
        return Err("the key is neither fleet nor entries/NAME");
    }
    if key == FLEET_KEY && text.is_none() {
        return Err("the key fleet cannot be deleted");
    }
    if text.is_some_and(|text| text.len() > MAX_TEXT_BYTES) {
        return Err("the value exceeds 1 MB");
    }
    Ok(())
}

/// What the text of a key stands for that an adapter decodes.
pub(crate) fn foreign(text: Option<&str>) -> Value {
    if text.is_some() {
        Value::Opaque
    } else {
        Value::Deleted
    }
}

/// What `text` stands for, with the generation that it states; none for a deletion.
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

/// The generation that a text states, even if the text does not hold otherwise.
pub(crate) fn written_generation(text: &str) -> Option<u64> {
    let document = json::parse(text).ok()?;
    match document.value.as_object()?.get("generation") {
        Some(generation) => generation.as_u64(),
        None => Some(0),
    }
}
