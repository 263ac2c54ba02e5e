//! Commands `check-settings` and `check-catalogue`: check files before they are used.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use error_stack::Report;
use error_stack::ResultExt;
use oriolecleat_core::catalogue::Catalogue;
use oriolecleat_core::catalogue::ENTRY_PREFIX;
use oriolecleat_core::catalogue::FLEET_KEY;
use oriolecleat_core::catalogue::Source;
use oriolecleat_core::catalogue::Verdict;
use oriolecleat_core::entry::Entry;
use oriolecleat_core::entry::Target;
use oriolecleat_core::map::Map;
use oriolecleat_core::read;
use oriolecleat_core::route::Table;
use oriolecleat_core::settings;

use crate::Finding;
use crate::failure::Failure;
use crate::print;

/// Checks a settings file.
pub(crate) fn settings(file: &Path) -> Result<Finding, Report<Failure>> {
    let text = text(file)?;
    let faults = settings::parse(&text).err().unwrap_or_default();
    let faults = faults.iter().map(ToString::to_string).collect();
    report(&[(file.to_owned(), faults)], &[])
}

/// Checks the value of one key, or of all keys in a directory.
pub(crate) fn catalogue(path: &Path) -> Result<Finding, Report<Failure>> {
    let is_directory = path.is_dir();
    let files = if is_directory {
        files(path)?
    } else {
        vec![path.to_owned()]
    };
    let mut catalogue = Catalogue::default();
    let mut checked = Vec::new();
    for file in files {
        let faults = match key(&file) {
            Some(key) => add(&mut catalogue, &key, &text(&file)?),
            None => vec![format!("the name must be NAME.json; {NAME_REASON}")],
        };
        checked.push((file, faults));
    }
    let mut warnings = warnings(&catalogue);
    if is_directory && catalogue.get(FLEET_KEY).is_none() {
        warnings.push("there is no fleet.json".to_owned());
    }
    report(&checked, &warnings)
}

const NAME_REASON: &str = "NAME is 1 to 64 characters of a-z, 0-9, - and .";

fn text(file: &Path) -> Result<String, Report<Failure>> {
    let failure = || Failure::new(format!("cannot read {}", file.display()));
    fs::read_to_string(file).change_context_lazy(failure)
}

/// The JSON files of a directory, sorted by name.
fn files(directory: &Path) -> Result<Vec<PathBuf>, Report<Failure>> {
    let failure = || Failure::new(format!("cannot read {}", directory.display()));
    let mut files = Vec::new();
    for found in fs::read_dir(directory).change_context_lazy(failure)? {
        let path = found.change_context_lazy(failure)?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            files.push(path);
        }
    }
    files.sort();
    if files.is_empty() {
        let reason = format!("{} holds no JSON file", directory.display());
        return Err(Report::new(Failure::new(reason)));
    }
    Ok(files)
}

/// Key of the catalogue whose value `file` holds; none if its name is not that of a key.
fn key(file: &Path) -> Option<String> {
    let name = file.file_name()?.to_str()?.strip_suffix(".json")?;
    if name == FLEET_KEY {
        return Some(name.to_owned());
    }
    read::is_name(name).then(|| format!("{ENTRY_PREFIX}{name}"))
}

/// Adds a value to the catalogue and returns its faults.
fn add(catalogue: &mut Catalogue, key: &str, text: &str) -> Vec<String> {
    let version = catalogue.version(key, 1, Some(text));
    match catalogue.offer(key, version, Some(text), Source::Service) {
        Verdict::Rejected(faults) => faults.iter().map(ToString::to_string).collect(),
        Verdict::Refused(reason) => vec![reason.into()],
        Verdict::Accepted | Verdict::Known | Verdict::Behind | Verdict::Conflict { .. } => {
            Vec::new()
        }
    }
}

fn warnings(catalogue: &Catalogue) -> Vec<String> {
    let mut entries: Vec<(&str, &Entry)> = catalogue.entries().collect();
    entries.sort_by_key(|(name, _)| *name);
    let mut warnings: Vec<String> = Table::build(catalogue.cloned_entries())
        .shadows()
        .iter()
        .map(|shadow| {
            let methods = match shadow.methods.join(", ") {
                methods if methods.is_empty() => "all methods".to_owned(),
                methods => methods,
            };
            format!(
                "entry {} gets no {} requests with {methods}: entry {} comes first by name",
                shadow.entry, shadow.service, shadow.by
            )
        })
        .collect();
    let empty = entries.iter().filter(|(_, entry)| entry.targets.is_empty());
    warnings.extend(empty.map(|(name, _)| format!("entry {name} has no targets")));
    warnings.extend(differing_targets(&entries));
    let generations = entries.iter().map(|(_, entry)| entry.generation);
    if let (Some(low), Some(high)) = (generations.clone().min(), generations.max())
        && low != high
    {
        warnings.push(format!("entries have generations from {low} to {high}"));
    }
    warnings
}

/// Warnings of targets that two entries of a service describe differently.
fn differing_targets(entries: &[(&str, &Entry)]) -> Vec<String> {
    let mut known: Map<(&str, &str), (&str, &Target)> = Map::default();
    let mut warnings = Vec::new();
    for (name, entry) in entries {
        for target in &entry.targets {
            let key = (&*entry.service, &*target.name);
            let (first, first_target) = *known.entry(key).or_insert((name, target));
            if first_target != target {
                let service = &entry.service;
                let target = &target.name;
                warnings.push(format!(
                    "entries {first} and {name} of {service} describe target {target} differently"
                ));
            }
        }
    }
    warnings
}

fn report(
    checked: &[(PathBuf, Vec<String>)],
    warnings: &[String],
) -> Result<Finding, Report<Failure>> {
    let mut lines = Vec::new();
    let mut faults = 0;
    for (file, found) in checked {
        let file = file.display();
        faults += found.len();
        if found.is_empty() {
            lines.push(format!("{file}: ok"));
        }
        lines.extend(found.iter().map(|fault| format!("{file}: {fault}")));
    }
    lines.extend(warnings.iter().map(|warning| format!("warning: {warning}")));
    lines.push(format!(
        "{} checked, {} found, {}",
        count(checked.len(), "file"),
        count(faults, "fault"),
        count(warnings.len(), "warning")
    ));
    print::lines(&lines)?;
    Ok(if faults == 0 {
        Finding::Fine
    } else {
        Finding::Faults
    })
}

fn count(number: usize, noun: &str) -> String {
    let plural = if number == 1 { "" } else { "s" };
    format!("{number} {noun}{plural}")
}
