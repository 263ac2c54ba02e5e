//! Command line of the daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use oriolecleat_core::settings;

/// Load balancer daemon for one entry VM.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Arguments {
    /// Settings file in JSON; docs/settings.md lists the fields.
    #[bpaf(short, long, argument("FILE"))]
    settings: PathBuf,
    /// Check the settings and exit: status 0 if they hold, 1 otherwise.
    #[bpaf(long)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let text = match std::fs::read_to_string(&arguments.settings) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{}: {error}", arguments.settings.display());
            return ExitCode::from(2);
        }
    };
    let settings = match settings::parse(&text) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!(
                    "{}: {}: {}",
                    arguments.settings.display(),
                    fault.path,
                    fault.reason
                );
            }
            return ExitCode::from(1);
        }
    };
    if arguments.check {
        println!("{}: the settings hold", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    oriolecleatd::init_logs();
    match oriolecleatd::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            log::error!(cause:% = format!("{report:?}"); "the daemon stopped on an error");
            ExitCode::from(2)
        }
    }
}
