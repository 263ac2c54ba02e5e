//! Entry VM daemon.
fn main() {}
