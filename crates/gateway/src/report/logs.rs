//! Structured logs as JSON lines on standard error.

use logforth::{append, filter::rustlog::RustLogFilterBuilder, layout::JsonLayout, starter_log};

/// Starts logging of the gateway's own modules at `level` (`error` to `trace`) and above.
pub fn start(level: &str) {
    let filter = RustLogFilterBuilder::from_spec(format!("off,carobwheel={level}")).build();
    let applied = starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(filter)
                .append(append::Stderr::default().with_layout(JsonLayout::default()))
        })
        .try_apply();
    if let Err(err) = applied {
        eprintln!("logging was set up before: {err}");
    }
}
