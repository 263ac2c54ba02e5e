//! `oriolecleat`: checks settings and catalogues, and shows what the VMs of a fleet do.

mod answer;
mod arguments;
mod audit;
mod check;
mod explain;
mod failure;
mod fleet;
mod operator;
mod print;
mod status;

use std::process::ExitCode;

use bpaf::Args;
use error_stack::Report;

use crate::arguments::Command;
use crate::failure::Failure;

/// Result of a command that could do its work.
pub(crate) enum Finding {
    /// Nothing is wrong.
    Fine,
    /// Faults were found and printed.
    Faults,
}

const EXIT_FAULTS: u8 = 1;
const EXIT_FAILURE: u8 = 2;
const HELP_WIDTH: usize = 100;

fn main() -> ExitCode {
    let command = match arguments::command().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(message) => {
            message.print_message(HELP_WIDTH);
            let is_usage_error = message.exit_code() != 0;
            return ExitCode::from(if is_usage_error { EXIT_FAILURE } else { 0 });
        }
    };
    match run(command) {
        Ok(Finding::Fine) => ExitCode::SUCCESS,
        Ok(Finding::Faults) => ExitCode::from(EXIT_FAULTS),
        Err(report) => {
            eprintln!("error: {}", print::line(&format!("{report:#}")));
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn run(command: Command) -> Result<Finding, Report<Failure>> {
    match command {
        Command::CheckSettings { file } => check::settings(&file),
        Command::CheckCatalogue { path } => check::catalogue(&path),
        Command::Status { operator } => status::show(&operator),
        Command::Explain { operator, subject } => explain::show(&operator, &subject),
        Command::Fleet { operator } => fleet::show(&operator),
        Command::Audit { operator, filter } => audit::show(&operator, &filter),
    }
}
