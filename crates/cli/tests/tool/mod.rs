//! Runs the command-line tool as a process.

use std::process::Command;
use std::process::Output;

/// A command that runs the tool with `arguments` in the root of the repository.
pub fn tool(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_oriolecleat"));
    command
        .args(arguments)
        .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."));
    command
}

/// Runs the tool; returns its exit code, standard output and standard error.
pub fn run(arguments: &[&str]) -> (i32, String, String) {
    let output: Output = tool(arguments).output().expect("the tool starts");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("the tool prints UTF-8");
    let code = output.status.code().expect("the tool exits");
    (code, text(output.stdout), text(output.stderr))
}
