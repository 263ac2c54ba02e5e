//! Command line of the daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;

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
    let settings = match oriolecleatd::read_settings(&arguments.settings) {
        Ok(settings) => settings,
        Err(status) => return status,
    };
    if arguments.check {
        println!("{}: the settings hold", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    oriolecleatd::run_to_end(|| oriolecleatd::run(settings, &arguments.settings))
}
