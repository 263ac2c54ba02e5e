//! Runs one case: `standin CASE ROOT RECORD`. Exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case could not run.

mod cut_watch;
mod get_body;
mod kit;
mod reader_loss;
mod slow_stop;

use std::path::PathBuf;
use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(&'static str),
}

/// What a case gets to run.
pub struct Stage {
    pub record: kit::Record,
    pub program: PathBuf,
    /// Temporary folder, removed at the end.
    pub folder: PathBuf,
    /// Whether the disruption is to happen.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = arguments.as_slice() else {
        eprintln!("usage: standin CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let folder = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&folder) {
        eprintln!("{}: {error}", folder.display());
        return ExitCode::from(2);
    }
    let stage = Stage {
        record: kit::Record::create(&PathBuf::from(record)),
        program: PathBuf::from(root).join("target/release/oriolecleat-platform"),
        folder: folder.clone(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    stage
        .record
        .line(&format!("case {case}, trouble {}", u8::from(stage.trouble)));
    let verdict = match case.as_str() {
        "slow_stop" => slow_stop::run(&stage),
        "cut_watch" => cut_watch::run(&stage),
        "get_body" => get_body::run(&stage),
        "reader_loss" => reader_loss::run(&stage),
        _ => Verdict::NotRun("no such case"),
    };
    // The machines are stopped by now.
    let _ = std::fs::remove_dir_all(&folder);
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken => (1, "the rule was broken".to_owned()),
        Verdict::NotRun(cause) => (2, format!("the case could not run: {cause}")),
    };
    stage.record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
