//! Command `explain`: prints what is in effect for an entry, a target or a VM, and why.

use error_stack::Report;

use crate::Finding;
use crate::answer::entry::Entry;
use crate::answer::machine::Machine;
use crate::answer::target::Candidate;
use crate::answer::target::Cause;
use crate::answer::target::Target;
use crate::arguments::Format;
use crate::arguments::Operator;
use crate::arguments::Subject;
use crate::failure::Failure;
use crate::fleet;
use crate::operator;
use crate::print;

/// Prints what the VM knows of `subject`; an entry with rejected content counts as a fault.
pub(crate) fn show(options: &Operator, subject: &Subject) -> Result<Finding, Report<Failure>> {
    let path = match subject {
        Subject::Entry { name } => format!("/v1/explain/entry/{name}"),
        Subject::Target { service, name } => format!("/v1/explain/target/{service}/{name}"),
        Subject::Vm { name } => format!("/v1/explain/vm/{name}"),
    };
    let answer = operator::get(options.operator, &path)?;
    let (lines, finding) = match subject {
        Subject::Entry { .. } => entry(&operator::parse(&answer)?),
        Subject::Target { .. } => (self::target(&operator::parse(&answer)?), Finding::Fine),
        Subject::Vm { .. } => (vm(&operator::parse(&answer)?), Finding::Fine),
    };
    if options.format == Format::Json {
        print::lines(&[answer.to_string()])?;
    } else {
        print::lines(&lines)?;
    }
    Ok(finding)
}

fn entry(entry: &Entry) -> (Vec<String>, Finding) {
    let methods = match entry.methods.join(", ") {
        methods if methods.is_empty() => "all methods".to_owned(),
        methods => methods,
    };
    let mut lines = vec![
        format!(
            "entry       {}, {}, version {}, from {}",
            entry.name, entry.state, entry.version, entry.source
        ),
        format!(
            "requests    service {}, {methods}, class {}, deadline {}, owner {}",
            entry.service,
            entry.class,
            print::duration(&entry.deadline_ms),
            entry.owner
        ),
    ];
    lines.extend(
        entry
            .shadowed_by
            .iter()
            .map(|by| format!("shadowed by {by}")),
    );
    if let Some(outcomes) = &entry.outcomes {
        lines.push(format!(
            "outcomes    {} ran, {} not run, {} unknown",
            outcomes.ran, outcomes.not_run, outcomes.unknown
        ));
    }
    if let Some(rejected) = &entry.rejected {
        let version = &rejected.version;
        let faults = rejected.faults.iter();
        lines.extend(faults.map(|fault| format!("rejected    {version}: {fault}")));
    }
    lines.extend(reasons(&entry.reasons));
    lines.extend(limits(entry));
    lines.extend(targets(&entry.targets));
    let is_fine = entry.rejected.is_none();
    (
        lines,
        if is_fine {
            Finding::Fine
        } else {
            Finding::Faults
        },
    )
}

fn limits(entry: &Entry) -> Vec<String> {
    if entry.limits.is_empty() {
        return Vec::new();
    }
    let head = ["LIMIT", "CONFIGURED", "THIS VM", "USED", "REFUSED"];
    let rows = entry.limits.iter().map(|limit| {
        let counts = [&limit.configured, &limit.share, &limit.used, &limit.refused];
        let mut row = vec![limit.name.to_string()];
        row.extend(counts.map(ToString::to_string));
        row
    });
    section(print::table(&head, &rows.collect::<Vec<_>>()))
}

fn targets(targets: &[Candidate]) -> Vec<String> {
    if targets.is_empty() {
        return Vec::new();
    }
    let head = ["TARGET", "STANDING", "BECAUSE"];
    let row = |target: &Candidate| {
        let name = match &target.service.0 {
            Some(service) => format!("{service}/{}", target.name),
            None => target.name.to_string(),
        };
        let reasons: Vec<String> = target.reasons.iter().map(reason).collect();
        vec![name, target.standing.to_string(), reasons.join("; ")]
    };
    section(print::table(
        &head,
        &targets.iter().map(row).collect::<Vec<_>>(),
    ))
}

fn target(target: &Target) -> Vec<String> {
    let estimate = &target.estimate;
    let mut lines = vec![
        format!(
            "target      {}/{}, {}",
            target.service, target.name, target.standing
        ),
        format!(
            "place       {}, VM {}, {}, {}, {} slots, entries {}",
            target.address,
            target.vm,
            target.region,
            target.data_center,
            target.slots,
            target.entries.join(", ")
        ),
        format!(
            "chosen      {} times, last {} ago",
            target.chosen.count,
            print::duration(&target.chosen.last_age_ms)
        ),
        format!(
            "estimate    {} free slots, {} in flight, latency {}{}{}",
            estimate.free_slots,
            estimate.in_flight,
            print::duration(&estimate.latency_ms),
            estimate.straggler.note(", straggler"),
            estimate.ejected.note(", ejected")
        ),
    ];
    lines.extend(reasons(&target.reasons));
    let rows = target.evidence.iter().map(|evidence| {
        vec![
            evidence.kind.to_string(),
            print::duration(&evidence.age_ms),
            evidence.source.to_string(),
            evidence.detail.to_string(),
        ]
    });
    let rows: Vec<Vec<String>> = rows.collect();
    if !rows.is_empty() {
        lines.extend(section(print::table(
            &["EVIDENCE", "AGE", "SOURCE", "DETAIL"],
            &rows,
        )));
    }
    lines
}

fn vm(vm: &Machine) -> Vec<String> {
    let listed = vm.vm_list.as_ref().map_or_else(
        || "not in the VM list".to_owned(),
        |listed| {
            format!(
                "{} VM, {}, {}, {}, {} ago",
                listed.role,
                listed.state,
                listed.region,
                listed.data_center,
                print::duration(&listed.age_ms)
            )
        },
    );
    let mut lines = vec![
        format!("vm          {}", vm.name),
        format!("listed      {listed}"),
    ];
    if let Some(member) = &vm.member {
        lines.push(format!(
            "member      {}, incarnation {}, callers at {}",
            member.state, member.incarnation, member.caller
        ));
    }
    lines.extend(reasons(&vm.reasons));
    if let Some(member) = &vm.member {
        lines.extend(section(fleet::table(std::slice::from_ref(member))));
    }
    lines.extend(targets(&vm.targets));
    lines
}

fn reasons(reasons: &[Box<str>]) -> impl Iterator<Item = String> {
    reasons.iter().map(|reason| format!("because     {reason}"))
}

fn reason(reason: &Cause) -> String {
    format!(
        "{} ({}, {})",
        reason.reason,
        print::duration(&reason.age_ms),
        reason.source
    )
}

/// `table` below an empty line.
fn section(table: Vec<String>) -> Vec<String> {
    let mut lines = vec![String::new()];
    lines.extend(table);
    lines
}
