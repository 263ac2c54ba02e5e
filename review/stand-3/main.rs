//! Stand-ins for the scripts of the third review: the platform's store, upstreams, requesters and the
//! start of the project's own processes. Standard library only, loopback addresses only.
//!
//! Usage: stand CASE FOLDER, from the root of the repository. Writes FOLDER/record.txt. Exit status: 0 if
//! the rule held, 1 if it was broken, 2 if the case could not run. TROUBLE=0 leaves the disruption out.

mod common;
mod restored_store;
mod cut_readers;
mod read_ahead;

use std::panic::catch_unwind;
use std::panic::AssertUnwindSafe;
use std::process::exit;

use common::Record;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: stand CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&format!("{folder}/record.txt"));
    record.line(&format!("case {case}, disruption {}", if trouble { "on" } else { "off" }));
    let run: fn(&Record, bool) -> bool = match case.as_str() {
        "restored-store" => restored_store::run,
        "cut-readers" => cut_readers::run,
        "read-ahead" => read_ahead::run,
        _ => {
            eprintln!("no such case: {case}");
            exit(2);
        }
    };
    // Everything that was started ends with the value that owns it, also after a panic.
    match catch_unwind(AssertUnwindSafe(|| run(&record, trouble))) {
        Ok(broken) => {
            record.line(if broken { "RESULT: rule broken" } else { "RESULT: rule held" });
            exit(i32::from(broken));
        }
        Err(_) => {
            record.line("RESULT: could not run");
            exit(2);
        }
    }
}
