//! Arguments of the command line.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;
use oriolecleat_core::read;

/// Checks settings and catalogues, and shows what the VMs of a fleet do.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    options,
    version,
    footer(
        "Exit codes: 0 nothing is wrong, 1 faults were found, 2 wrong usage or failed input/output."
    )
)]
pub(crate) enum Command {
    /// Check a settings file the way the daemon does
    #[bpaf(command("check-settings"))]
    CheckSettings {
        /// JSON file with the settings of one VM
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },

    /// Check catalogue values before they are published
    ///
    /// NAME.json holds the entry NAME, fleet.json the key fleet. Warns of entries that share
    /// methods with an entry before them, and of other values that are valid but unlikely.
    #[bpaf(command("check-catalogue"))]
    CheckCatalogue {
        /// JSON file, or directory of JSON files
        #[bpaf(positional("FILE|DIR"))]
        path: PathBuf,
    },

    /// Show the state of a VM; exits with 1 if it is not ready or has rejected entries
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        operator: Operator,
    },

    /// Show what is in effect for an entry, a target or a VM, and why
    #[bpaf(command)]
    Explain {
        #[bpaf(external)]
        operator: Operator,
        #[bpaf(external)]
        subject: Subject,
    },

    /// Show the members of the fleet with their state and the age of their view
    #[bpaf(command)]
    Fleet {
        #[bpaf(external)]
        operator: Operator,
    },

    /// Show audit records, the oldest first
    #[bpaf(command)]
    Audit {
        #[bpaf(external)]
        operator: Operator,
        #[bpaf(external)]
        filter: Filter,
    },
}

/// The VM to query, and how to print its answer.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Operator {
    /// Operator address of any VM (listen.operator in its settings)
    #[bpaf(argument("IP:PORT"))]
    pub(crate) operator: SocketAddr,
    /// Output format: table (default) or json, which is the VM's own answer
    #[bpaf(argument("table|json"), fallback(Format::Table))]
    pub(crate) format: Format,
}

/// How to print an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    /// Aligned columns.
    Table,
    /// JSON as the VM sends it; audit records are printed one per line.
    Json,
}

impl FromStr for Format {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err("format must be table or json"),
        }
    }
}

/// What to explain.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum Subject {
    /// An entry of the catalogue
    #[bpaf(command)]
    Entry {
        /// Name of the entry, without the prefix entries/
        #[bpaf(positional("NAME"))]
        name: Name,
    },
    /// A target of a service
    #[bpaf(command)]
    Target {
        /// Name of the service
        #[bpaf(positional("SERVICE"))]
        service: Name,
        /// Name of the target
        #[bpaf(positional("NAME"))]
        name: Name,
    },
    /// An entry VM, or a VM that targets run on
    #[bpaf(command)]
    Vm {
        /// Name of the VM
        #[bpaf(positional("NAME"))]
        name: Name,
    },
}

/// Which audit records to show.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Filter {
    /// Only records about this subject, such as entries/NAME
    #[bpaf(argument::<String>("SUBJECT"), map(String::into_boxed_str), optional)]
    pub(crate) subject: Option<Box<str>>,
    /// Only records of this kind, such as rejected
    #[bpaf(argument::<String>("KIND"), map(String::into_boxed_str), optional)]
    pub(crate) kind: Option<Box<str>>,
    /// Keep polling for new records until interrupted
    pub(crate) follow: bool,
}

/// Name of an entry, service, target or VM. Its characters need no escaping in a URL path.
#[derive(Clone, Debug)]
pub(crate) struct Name(Box<str>);

impl FromStr for Name {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if read::is_name(text) {
            return Ok(Self(text.into()));
        }
        Err("must be 1 to 64 characters of a-z, 0-9, - and .")
    }
}

impl fmt::Display for Name {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
