//! Command `fleet`: prints the members of the fleet.

use error_stack::Report;

use crate::Finding;
use crate::answer::fleet::Fleet;
use crate::answer::fleet::Member;
use crate::arguments::Format;
use crate::arguments::Operator;
use crate::failure::Failure;
use crate::operator;
use crate::print;

const HEADER: [&str; 9] = [
    "VM",
    "STATE",
    "REGION",
    "DATA CENTRE",
    "VIEW AGE",
    "READER",
    "HEARD",
    "UP",
    "BUILD",
];

/// Prints the members with the age of their view of the catalogue.
pub(crate) fn show(options: &Operator) -> Result<Finding, Report<Failure>> {
    let answer = operator::get(options.operator, "/v1/fleet")?;
    if options.format == Format::Json {
        print::lines(&[answer.to_string()])?;
        return Ok(Finding::Fine);
    }
    let mut fleet: Fleet = operator::parse(&answer)?;
    let place = |member: &Member| {
        (
            member.region.0.clone(),
            member.data_center.0.clone(),
            member.vm.clone(),
        )
    };
    fleet.members.sort_by_key(place);
    print::lines(&table(&fleet.members))?;
    Ok(Finding::Fine)
}

/// Formats members as a table with aligned columns.
pub(crate) fn table(members: &[Member]) -> Vec<String> {
    let row = |member: &Member| {
        vec![
            member.vm.to_string(),
            member.state.to_string(),
            member.region.to_string(),
            member.data_center.to_string(),
            print::duration(&member.view_age_ms),
            member
                .reader
                .0
                .map_or("-", |reader| if reader { "yes" } else { "no" })
                .to_owned(),
            print::duration(&member.heard_age_ms),
            print::duration(&member.uptime_ms),
            member.build.to_string(),
        ]
    };
    print::table(&HEADER, &members.iter().map(row).collect::<Vec<_>>())
}
