//! JSON-line logs on standard output.

use logforth::append::Stdout;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;

/// Starts the logger; `RUST_LOG` sets the level, `info` without it.
pub fn init() {
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            let filter = RustLogFilterBuilder::from_default_env_or("info").build();
            dispatch
                .filter(filter)
                .append(Stdout::default().with_layout(JsonLayout::default()))
        })
        .apply();
}
