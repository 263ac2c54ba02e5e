//! Shared by the binaries: reads the settings file and maps results to exit statuses.

use std::fmt;
use std::path::Path;
use std::process::ExitCode;

use error_stack::Report;
use oriolecleat_core::read::Fault;
use oriolecleat_core::settings;
use oriolecleat_core::settings::Settings;

use crate::logs;
use crate::start::Failure;

/// Exit status for a settings file that is not valid.
const INVALID: u8 = 1;
/// Exit status for a file that cannot be read, and for a daemon that stopped on an error.
const FAILED: u8 = 2;

/// Why settings cannot be used.
#[derive(Debug)]
pub enum Error {
    /// The file could not be read.
    Unreadable(std::io::Error),
    /// The file was read, but its settings have these faults.
    Invalid(Vec<Fault>),
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(error) => error.fmt(formatter),
            Self::Invalid(faults) => {
                let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
                formatter.write_str(&faults.join("; "))
            }
        }
    }
}

/// Reads and checks the settings file.
///
/// # Errors
///
/// Returns why the settings cannot be used.
pub fn load(path: &Path) -> Result<Settings, Error> {
    let text = std::fs::read_to_string(path).map_err(Error::Unreadable)?;
    settings::parse(&text).map_err(Error::Invalid)
}

/// Reads the settings file; reports what is wrong with it on standard error.
///
/// # Errors
///
/// Returns the exit status if the settings cannot be used.
pub fn read_settings(path: &Path) -> Result<Settings, ExitCode> {
    load(path).map_err(|error| match error {
        Error::Unreadable(error) => {
            eprintln!("{}: {error}", path.display());
            ExitCode::from(FAILED)
        }
        Error::Invalid(faults) => {
            for fault in faults {
                eprintln!("{}: {}: {}", path.display(), fault.path, fault.reason);
            }
            ExitCode::from(INVALID)
        }
    })
}

/// Runs the daemon with logs on standard output and returns its exit status.
pub fn run_to_end(run: impl FnOnce() -> Result<(), Report<Failure>>) -> ExitCode {
    logs::init();
    let status = match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            log::error!(cause:% = format!("{report:?}"); "the daemon stopped on an error");
            ExitCode::from(FAILED)
        }
    };
    log::logger().flush();
    status
}
