//! Command `status`: prints the state of a VM.

use error_stack::Report;

use crate::Finding;
use crate::answer::catalogue::Keys;
use crate::answer::status::Status;
use crate::arguments::Format;
use crate::arguments::Operator;
use crate::failure::Failure;
use crate::operator;
use crate::print;

/// Prints the state; a VM that is not ready or has rejected contents counts as a fault.
pub(crate) fn show(options: &Operator) -> Result<Finding, Report<Failure>> {
    let answer = operator::get(options.operator, "/v1/status")?;
    let mut status: Status = operator::parse(&answer)?;
    status
        .services
        .sort_by(|left, right| left.service.cmp(&right.service));
    if options.format == Format::Json {
        print::lines(&[answer.to_string()])?;
    } else {
        let mut lines = overview(&status);
        if status.catalogue.rejected.0 > Some(0) {
            lines.extend(rejected(options)?);
        }
        lines.extend(services(&status));
        print::lines(&lines)?;
    }
    let is_fine = status.ready && status.catalogue.rejected.0.unwrap_or(0) == 0;
    Ok(if is_fine {
        Finding::Fine
    } else {
        Finding::Faults
    })
}

fn overview(status: &Status) -> Vec<String> {
    let ready = if status.ready {
        "ready".to_owned()
    } else {
        format!("not ready: {}", status.reasons.join(", "))
    };
    let stale = status.view.stale.note(", stale");
    let reader = status.view.reader.note(", reads the configuration service");
    let catalogue = &status.catalogue;
    let members = &status.members;
    vec![
        format!(
            "vm          {} ({}, {}), fleet {}, build {}, incarnation {}",
            status.vm,
            status.region,
            status.data_center,
            status.fleet,
            status.build,
            status.incarnation
        ),
        format!(
            "state       {}, {ready}, up {}",
            status.state,
            print::duration(&status.uptime_ms)
        ),
        format!(
            "view        {} old{stale}{reader}",
            print::duration(&status.view.age_ms)
        ),
        format!(
            "vm list     {} VMs, {} old",
            status.vm_list.vms,
            print::duration(&status.vm_list.age_ms)
        ),
        format!(
            "catalogue   {} entries, {} rejected, {} tombstones, VM ceiling {}, {} calls/s",
            catalogue.entries,
            catalogue.rejected,
            catalogue.tombstones,
            catalogue.vm_ceiling,
            catalogue.configuration_calls_per_s
        ),
        format!(
            "members     {} alive, {} suspect, {} leaving, {} dead, {} links",
            members.alive, members.suspect, members.leaving, members.dead, status.links
        ),
        format!(
            "requests    {} in flight, {} waiting",
            status.requests.in_flight, status.requests.waiting
        ),
    ]
}

/// The faults of rejected contents, as `/v1/catalogue` lists them.
fn rejected(options: &Operator) -> Result<Vec<String>, Report<Failure>> {
    let answer = operator::get(options.operator, "/v1/catalogue")?;
    let catalogue: Keys = operator::parse(&answer)?;
    let mut lines = Vec::new();
    for key in catalogue.keys {
        let Some(rejected) = key.rejected else {
            continue;
        };
        for fault in rejected.faults {
            lines.push(format!(
                "rejected    {} {} ({} stays): {fault}",
                key.key, rejected.version, key.version
            ));
        }
    }
    Ok(lines)
}

fn services(status: &Status) -> Vec<String> {
    if status.services.is_empty() {
        return Vec::new();
    }
    let head = [
        "SERVICE",
        "ENTRIES",
        "TARGETS",
        "USABLE",
        "IN FLIGHT",
        "WAITING",
    ];
    let rows = status.services.iter().map(|service| {
        let counts = [
            &service.entries,
            &service.targets,
            &service.usable,
            &service.in_flight,
            &service.waiting,
        ];
        let mut row = vec![service.service.to_string()];
        row.extend(counts.map(ToString::to_string));
        row
    });
    let mut lines = vec![String::new()];
    lines.extend(print::table(&head, &rows.collect::<Vec<_>>()));
    lines
}
