//! Operator tool.
fn main() {}
